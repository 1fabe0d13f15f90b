"""The platform over HTTP, with writes that survive a lost answer."""

import contextlib
import ssl
from collections.abc import AsyncIterator
from typing import Any
from urllib.parse import quote, urlencode

import attrs
import cattrs
import httpx
import trio

from chestnutshift.conf import defaults
from chestnutshift.storage.backends.base import BACKENDS, SCAN_LIMIT, Platform
from chestnutshift.storage.exceptions import (
    ConflictError,
    MissingTlsContextError,
    OutcomeUnknownError,
    OverLimitError,
    PlatformUnavailableError,
    RequestRejectedError,
)
from chestnutshift.storage.records import Row, Transaction, VmList

COMMIT_ATTEMPTS = 3
CONNECT_TIMEOUT_S = defaults.PLATFORM_TIMEOUT_S / 2
CONNECTIONS_MAX = 16
RETRY_PAUSE_S = 0.05
RETRY_AFTER_S = 1.0

# The request was never sent when one of these is raised.
_UNSENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
_REFUSALS = (PlatformUnavailableError, OverLimitError, RequestRejectedError)


class _AnswerLostError(Exception):
    """A request was sent, but its answer did not come whole."""


@attrs.define(eq=False)
class _Pool:
    """One generation of connections; closed by its last user if retired."""

    client: httpx.AsyncClient
    users: int = 0
    retired: bool = False


class ConnectionPools:
    """The current connections, replaced as soon as one of them fails.

    A connection may go silent for good while new ones work; so a failure
    retires the whole generation without breaking its other requests.
    """

    def __init__(self, **client_options: Any) -> None:
        """Keep the options of each HTTPX client."""
        self._options = client_options
        self._current: _Pool | None = None

    @contextlib.asynccontextmanager
    async def client(self) -> AsyncIterator[httpx.AsyncClient]:
        """Lend the current client; retire it if the block raises."""
        pool = self._current or self._open()
        pool.users += 1
        try:
            yield pool.client
        except BaseException:
            self._retire(pool)
            raise
        finally:
            pool.users -= 1
            await self._close_unused(pool)

    async def aclose(self) -> None:
        """Close the connections when their last user is done."""
        pool = self._current
        if pool is not None:
            self._retire(pool)
            await self._close_unused(pool)

    def _open(self) -> _Pool:
        self._current = _Pool(httpx.AsyncClient(**self._options))
        return self._current

    def _retire(self, pool: _Pool) -> None:
        pool.retired = True
        if self._current is pool:
            self._current = None

    async def _close_unused(self, pool: _Pool) -> None:
        if pool.retired and not pool.users:
            with trio.CancelScope(shield=True):
                await pool.client.aclose()


@BACKENDS.register('http')
class HttpPlatform(Platform):
    """The platform's HTTP interface.

    timeout_s bounds each exchange, from the request to the end of the answer;
    connect_timeout_s bounds a new connection. A commit takes at the most
    attempts times two exchanges and a short pause.
    """

    def __init__(
        self,
        url: str,
        *,
        timeout_s: float = defaults.PLATFORM_TIMEOUT_S,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        attempts: int = COMMIT_ATTEMPTS,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Keep the options; connections are opened when needed.

        Raises MissingTlsContextError for an https URL without tls.
        """
        if url.startswith('https:') and tls is None:
            raise MissingTlsContextError(f'{url} needs a TLS context')
        self._timeout_s = timeout_s
        self._attempts = attempts
        self._pools = ConnectionPools(
            base_url=url,
            # An explicit context: HTTPX would look for a file of certificates.
            verify=tls or False,
            trust_env=False,
            timeout=httpx.Timeout(timeout_s, connect=connect_timeout_s),
            limits=httpx.Limits(max_connections=CONNECTIONS_MAX),
        )

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it is absent."""
        path = f'/tables/{_quote(table)}/rows/{_quote(key)}'
        response = await self._fetch(path)
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return _row(table, _json(response))

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str = '',
        limit: int = SCAN_LIMIT,
    ) -> tuple[Row, ...]:
        """Return up to limit rows by key, from the first key beyond after."""
        query = urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit},
        )
        path = f'/tables/{_quote(table)}/rows?{query}'
        payload = _json(await self._fetch(path))
        return tuple(_row(table, found) for found in payload['rows'])

    async def commit(self, transaction: Transaction) -> tuple[Row, ...]:
        """Apply the transaction once and return the rows that it wrote.

        After a lost answer the outcome is read back by operation id; if none
        is recorded, the same operation is sent again.
        """
        lost = False
        for attempt in range(self._attempts):
            try:
                return await self._attempt(transaction, look_up=lost)
            except _AnswerLostError:
                lost = True
            except _REFUSALS:
                # Once an answer was lost, a later refusal proves nothing.
                if not lost:
                    raise
            await trio.sleep(RETRY_PAUSE_S * 2**attempt)
        raise OutcomeUnknownError(
            f'no answer about operation {transaction.operation_id}',
        )

    async def get_object(self, name: str) -> bytes | None:
        """Return the object's content, or None if it is absent."""
        response = await self._fetch(f'/objects/{_quote(name)}')
        if response.status_code == httpx.codes.NOT_FOUND:
            return None
        return response.content

    async def put_object(self, name: str, body: bytes) -> None:
        """Replace the object; after an error it may or may not be replaced."""
        path = f'/objects/{_quote(name)}'
        try:
            _check(await self._exchange('PUT', path, content=body))
        except _AnswerLostError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def list_vms(self) -> VmList:
        """Return the platform's lagging list of VMs."""
        return cattrs.structure(_json(await self._fetch('/vms')), VmList)

    async def aclose(self) -> None:
        """Close every connection."""
        await self._pools.aclose()

    async def _attempt(
        self,
        transaction: Transaction,
        *,
        look_up: bool,
    ) -> tuple[Row, ...]:
        if look_up:
            path = f'/operations/{_quote(transaction.operation_id)}'
            response = await self._fetch(path)
            if response.status_code == httpx.codes.OK:
                recorded = _json(response)
                return _settle(transaction, recorded['status'], recorded)
        response = await self._exchange(
            'POST',
            '/transactions',
            json=cattrs.unstructure(transaction),
        )
        if response.status_code != httpx.codes.CONFLICT:
            _check(response)
        try:
            payload = response.json()
        except ValueError as error:
            raise _AnswerLostError('the answer is no JSON') from error
        return _settle(transaction, response.status_code, payload)

    async def _fetch(self, path: str) -> httpx.Response:
        """Return the answer to a GET; only 200 and 404 come through."""
        try:
            return await self._read_exchange(path)
        except _AnswerLostError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def _read_exchange(self, path: str) -> httpx.Response:
        response = await self._exchange('GET', path)
        if response.status_code != httpx.codes.NOT_FOUND:
            _check(response)
        return response

    async def _exchange(
        self,
        method: str,
        path: str,
        **options: Any,
    ) -> httpx.Response:
        try:
            with trio.fail_after(self._timeout_s):
                async with self._pools.client() as client:
                    return await client.request(method, path, **options)
        except _UNSENT as error:
            raise PlatformUnavailableError(
                f'no connection to the platform: {error!r}',
            ) from error
        except (httpx.TransportError, trio.TooSlowError) as error:
            raise _AnswerLostError(
                f'no whole answer from the platform: {error!r}',
            ) from error


def _quote(name: str) -> str:
    return quote(name, safe='')


def _row(table: str, payload: dict[str, Any]) -> Row:
    return Row(table, payload['key'], payload['value'], payload['version'])


def _json(response: httpx.Response) -> Any:
    try:
        return response.json()
    except ValueError as error:
        raise PlatformUnavailableError('the answer is no JSON') from error


def _settle(
    transaction: Transaction,
    status: int,
    payload: dict[str, Any],
) -> tuple[Row, ...]:
    """Return the written rows, or raise the conflict."""
    if status == httpx.codes.CONFLICT:
        raise ConflictError(cattrs.structure(payload['rows'], list[Row]))
    written = {(write.table, write.key): write for write in transaction.writes}
    return tuple(
        Row(
            found['table'],
            found['key'],
            written[(found['table'], found['key'])].value,
            found['version'],
        )
        for found in payload['rows']
    )


def _check(response: httpx.Response) -> None:
    """Raise the error that the status code stands for."""
    status = response.status_code
    if response.is_success:
        return
    if status == httpx.codes.TOO_MANY_REQUESTS:
        raise OverLimitError(
            'the platform is over its rate limit',
            retry_after_s=_retry_after_s(response),
        )
    if status == httpx.codes.SERVICE_UNAVAILABLE:
        raise PlatformUnavailableError('the platform refuses service')
    if response.is_client_error:
        raise RequestRejectedError(f'{status}: {response.text}')
    raise _AnswerLostError(f'the platform answered {status}')


def _retry_after_s(response: httpx.Response) -> float:
    try:
        return float(response.headers['retry-after'])
    except (KeyError, ValueError):
        return RETRY_AFTER_S
