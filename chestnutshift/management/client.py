"""HTTP client of a VM's operators' port."""

import ssl

import attrs
import httpx

from chestnutshift.conf.loader import read_secret
from chestnutshift.conf.settings import Settings
from chestnutshift.management.exceptions import (
    OutcomeUnknownError,
    RemoteError,
    UnreachableError,
)

TIMEOUT_S = 20.0


@attrs.frozen
class OperatorsClient:
    """Client of the operators' port of the VM that the settings describe."""

    _settings: Settings

    def get(self, path: str, **arguments: object) -> dict:
        """Return the document at path; raise UnreachableError, RemoteError."""
        return self._request('GET', path, params=arguments)

    def post(self, path: str, document: dict) -> dict:
        """Send a document.

        Raises UnreachableError if the VM did not receive it,
        OutcomeUnknownError if it may have, and RemoteError if it refused.
        """
        return self._request('POST', path, json=document)

    def _request(self, method: str, path: str, **options: object) -> dict:
        operators = self._settings.operators
        secret = read_secret(operators.secret_file).decode()
        certificate = operators.tls.certificate_file
        scheme = 'https' if certificate else 'http'
        verify = _tls_context(certificate) if certificate else False
        url = f'{scheme}://{operators.address}:{operators.port}{path}'
        with httpx.Client(
            verify=verify,
            trust_env=False,
            timeout=TIMEOUT_S,
        ) as client:
            try:
                answer = client.request(
                    method,
                    url,
                    headers={'Authorization': f'Bearer {secret}'},
                    **options,
                )
            except (httpx.ConnectError, httpx.ConnectTimeout) as error:
                raise UnreachableError(f'{url}: {error!r}') from error
            except httpx.HTTPError as error:
                if method == 'POST':
                    raise OutcomeUnknownError(f'{url}: {error!r}') from error
                raise UnreachableError(f'{url}: {error!r}') from error
        if answer.is_success:
            return answer.json()
        raise _remote_error(answer)


def _tls_context(certificate: str) -> ssl.SSLContext:
    """Return a context that trusts the VM's certificate, whoever issued it."""
    context = ssl.create_default_context(cafile=certificate)
    context.verify_flags |= ssl.VERIFY_X509_PARTIAL_CHAIN
    return context


def _remote_error(answer: httpx.Response) -> RemoteError:
    if answer.headers.get('Content-Type') != 'application/json':
        return RemoteError('operators.failed', f'HTTP {answer.status_code}')
    document = answer.json()
    return RemoteError(document['code'], document['detail'])
