"""HTTP backend, which resolves commits whose answer was lost."""

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
from chestnutshift.decimals import UnreadableNumberError, read_decimal
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
# Doubles after each attempt of a commit.
RETRY_DELAY_S = 0.05
DEFAULT_RETRY_AFTER_S = 1.0
RETRY_AFTER_MAX_S = 60.0

# Raised only before the request is sent.
_NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)
# The platform did not apply the request that got one of these.
_NOT_APPLIED_ERRORS = (
    PlatformUnavailableError,
    OverLimitError,
    RequestRejectedError,
)


class _AnswerLostError(Exception):
    """A request was sent, but no complete answer was received."""


@attrs.define(eq=False)
class _Pool:
    """HTTP client and its user count; closed by its last user if retired."""

    client: httpx.AsyncClient
    users: int = 0
    retired: bool = False


class ConnectionPools:
    """Connection pool that is replaced as soon as a request on it fails.

    Existing connections may hang forever while new ones work. A failure
    therefore retires the whole pool; its other requests run to their end.
    """

    def __init__(self, **client_options: Any) -> None:
        """Create no client yet; the options are passed to each HTTPX client."""
        self._options = client_options
        self._current: _Pool | None = None

    @contextlib.asynccontextmanager
    async def client(self) -> AsyncIterator[httpx.AsyncClient]:
        """Yield the current client; retire its pool if the block raises."""
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
        """Retire the current pool; close it once it has no users."""
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
    """Client of the platform's HTTP interface.

    timeout_s limits each exchange, from the request to the end of the answer;
    connect_timeout_s limits the set-up of a connection. Each attempt of a
    commit takes at most two exchanges, followed by a short delay.
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
        """Create a client; connections are opened on demand.

        Raises MissingTlsContextError for an https URL without tls.
        """
        if url.startswith('https:') and tls is None:
            raise MissingTlsContextError(f'{url} needs a TLS context')
        self._timeout_s = timeout_s
        self._attempts = attempts
        self._pools = ConnectionPools(
            base_url=url,
            # With True, HTTPX would load a certificate bundle from a file.
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
        """Return up to limit rows in key order, starting beyond after."""
        query = urlencode(
            {'prefix': prefix, 'after': after, 'limit': limit},
        )
        path = f'/tables/{_quote(table)}/rows?{query}'
        payload = _json(await self._fetch(path))
        return tuple(_row(table, entry) for entry in payload['rows'])

    async def commit(self, transaction: Transaction) -> tuple[Row, ...]:
        """Apply the transaction once and return the rows that it wrote.

        After a lost answer, the recorded outcome is looked up by operation
        id; if there is none, the same operation is sent again.
        """
        answer_lost = False
        for attempt in range(self._attempts):
            try:
                return await self._attempt(transaction, look_up=answer_lost)
            except _AnswerLostError:
                answer_lost = True
            except _NOT_APPLIED_ERRORS:
                # After a lost answer, a refusal of a later attempt does not
                # show that the first one was not applied.
                if not answer_lost:
                    raise
            await trio.sleep(RETRY_DELAY_S * 2**attempt)
        raise OutcomeUnknownError(
            f'outcome of operation {transaction.operation_id} is unknown',
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
            _raise_for_status(await self._exchange('PUT', path, content=body))
        except _AnswerLostError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def list_vms(self) -> VmList:
        """Return the list of live and leaving VMs, which may lag behind."""
        return cattrs.structure(_json(await self._fetch('/vms')), VmList)

    async def aclose(self) -> None:
        """Close all connections."""
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
                return _written_rows(transaction, recorded['status'], recorded)
        response = await self._exchange(
            'POST',
            '/transactions',
            json=cattrs.unstructure(transaction),
        )
        if response.status_code != httpx.codes.CONFLICT:
            _raise_for_status(response)
        try:
            payload = response.json()
        except ValueError as error:
            raise _AnswerLostError('answer is not JSON') from error
        return _written_rows(transaction, response.status_code, payload)

    async def _fetch(self, path: str) -> httpx.Response:
        """Send a GET; return its answer if successful or 404, else raise."""
        try:
            return await self._read_exchange(path)
        except _AnswerLostError as error:
            raise PlatformUnavailableError(str(error)) from error

    async def _read_exchange(self, path: str) -> httpx.Response:
        response = await self._exchange('GET', path)
        if response.status_code != httpx.codes.NOT_FOUND:
            _raise_for_status(response)
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
        except _NOT_SENT_ERRORS as error:
            raise PlatformUnavailableError(
                f'cannot connect to the platform: {error!r}',
            ) from error
        except (httpx.TransportError, trio.TooSlowError) as error:
            raise _AnswerLostError(
                f'no complete answer from the platform: {error!r}',
            ) from error


def _quote(name: str) -> str:
    return quote(name, safe='')


def _row(table: str, payload: dict[str, Any]) -> Row:
    return Row(table, payload['key'], payload['value'], payload['version'])


def _json(response: httpx.Response) -> Any:
    try:
        return response.json()
    except ValueError as error:
        raise PlatformUnavailableError('answer is not JSON') from error


def _written_rows(
    transaction: Transaction,
    status: int,
    payload: dict[str, Any],
) -> tuple[Row, ...]:
    """Return the written rows; raise ConflictError if status is 409."""
    if status == httpx.codes.CONFLICT:
        raise ConflictError(cattrs.structure(payload['rows'], list[Row]))
    written = {(write.table, write.key): write for write in transaction.writes}
    return tuple(
        Row(
            entry['table'],
            entry['key'],
            written[(entry['table'], entry['key'])].value,
            entry['version'],
        )
        for entry in payload['rows']
    )


def _raise_for_status(response: httpx.Response) -> None:
    """Raise the error for the status code of an unsuccessful answer."""
    status = response.status_code
    if response.is_success:
        return
    if status == httpx.codes.TOO_MANY_REQUESTS:
        raise OverLimitError(
            'rate limit of the platform exceeded',
            retry_after_s=_retry_after_s(response),
        )
    if status == httpx.codes.SERVICE_UNAVAILABLE:
        raise PlatformUnavailableError(
            'platform answered 503 Service Unavailable'
        )
    if response.is_client_error:
        raise RequestRejectedError(f'{status}: {response.text}')
    raise _AnswerLostError(f'platform answered {status}')


def _retry_after_s(response: httpx.Response) -> float:
    text = response.headers.get('retry-after')
    try:
        return read_decimal(text, RETRY_AFTER_MAX_S)
    except UnreadableNumberError:
        return DEFAULT_RETRY_AFTER_S
