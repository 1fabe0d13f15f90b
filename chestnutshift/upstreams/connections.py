"""The connections of this VM to one upstream.

A connection carries one exchange at a time and goes back to the idle ones
only after a whole answer, so an answer can never be taken for another's.
"""

from collections.abc import AsyncIterator

import attrs
import httpcore
import trio

from chestnutshift.conf import defaults
from chestnutshift.exceptions import CodedError

CONNECT_S = 1.0

_CONNECT_FAILED = (
    httpcore.ConnectError,
    httpcore.ConnectTimeout,
    OSError,
)
_EXCHANGE_FAILED = (
    httpcore.NetworkError,
    httpcore.ProtocolError,
    httpcore.TimeoutException,
)


class NotConnectedError(CodedError):
    """No connection could be made, so the request surely did not run."""

    code = 'upstreams.not_connected'


class ExchangeBrokenError(CodedError):
    """The exchange broke after bytes may have reached the upstream."""

    code = 'upstreams.broken'


class ConnectionsExhaustedError(CodedError):
    """The upstream takes no more connections from this VM."""

    code = 'upstreams.connections'


@attrs.frozen
class OutboundRequest:
    """The head of a request to an upstream; the body is passed beside it."""

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]


@attrs.define
class UpstreamAnswer:
    """The head of an answer, and its body as it arrives."""

    status: int
    headers: list[tuple[bytes, bytes]]
    _response: httpcore.Response
    _connection: httpcore.AsyncHTTP11Connection
    _owner: 'UpstreamConnections'

    async def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body; raise ExchangeBrokenError if it ends early."""
        try:
            async for chunk in self._response.stream:
                yield chunk
        except _EXCHANGE_FAILED as error:
            raise ExchangeBrokenError(f'the answer broke: {error!r}') from error

    async def aclose(self) -> None:
        """Give the connection back after a whole answer, else close it."""
        await self._response.aclose()
        await self._owner.give_back(self._connection)


class UpstreamConnections:
    """Idle and busy connections to one upstream."""

    def __init__(
        self,
        address: str,
        port: int,
        pace_s: float = defaults.CONNECTION_PACE_S,
        maximum: int = defaults.CONNECTIONS_MAX,
    ) -> None:
        """Connect when needed, one new connection each pace_s."""
        self._origin = httpcore.Origin(b'http', address.encode(), port)
        self._pace_s = pace_s
        self._maximum = maximum
        self._idle: list[httpcore.AsyncHTTP11Connection] = []
        self._open_count = 0
        self._backend = httpcore.TrioBackend()
        self._dialling = trio.Lock()

    @property
    def open_count(self) -> int:
        """Connections that stand, idle or busy."""
        return self._open_count

    async def exchange(
        self,
        connection: httpcore.AsyncHTTP11Connection,
        request: OutboundRequest,
        body: bytes | AsyncIterator[bytes],
        timeout_s: float,
    ) -> UpstreamAnswer:
        """Send the request and return the head of the answer.

        Raises ExchangeBrokenError; the request may have run then.
        """
        url = httpcore.URL(
            scheme=self._origin.scheme,
            host=self._origin.host,
            port=self._origin.port,
            target=request.target,
        )
        outbound = httpcore.Request(
            request.method,
            url,
            headers=request.headers,
            content=body,
            extensions={'timeout': {'read': timeout_s, 'write': timeout_s}},
        )
        try:
            response = await connection.handle_async_request(outbound)
        except _EXCHANGE_FAILED as error:
            await self._discard(connection)
            raise ExchangeBrokenError(f'{error!r}') from error
        except BaseException:
            await self._discard(connection)
            raise
        return UpstreamAnswer(
            status=response.status,
            headers=response.headers,
            response=response,
            connection=connection,
            owner=self,
        )

    async def take(
        self,
        *,
        fresh: bool = False,
    ) -> httpcore.AsyncHTTP11Connection:
        """Return an idle connection that still stands, or a new one.

        Raises NotConnectedError or ConnectionsExhaustedError.
        """
        while self._idle and not fresh:
            connection = self._idle.pop()
            if connection.is_idle() and not connection.has_expired():
                return connection
            await self._discard(connection)
        if self._open_count >= self._maximum:
            raise ConnectionsExhaustedError(f'{self._maximum} are open')
        return await self._dial()

    async def give_back(
        self,
        connection: httpcore.AsyncHTTP11Connection,
    ) -> None:
        """Keep the connection if its exchange is whole, else close it."""
        if connection.is_idle() and not connection.has_expired():
            self._idle.append(connection)
            return
        await self._discard(connection)

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            await self._discard(self._idle.pop())

    async def _dial(self) -> httpcore.AsyncHTTP11Connection:
        self._open_count += 1
        try:
            async with self._dialling:
                stream = await self._backend.connect_tcp(
                    self._origin.host.decode(),
                    self._origin.port,
                    timeout=CONNECT_S,
                )
                # The upstream needs this long for each new connection.
                await trio.sleep(self._pace_s)
        except _CONNECT_FAILED as error:
            self._open_count -= 1
            raise NotConnectedError(f'{error!r}') from error
        except BaseException:
            self._open_count -= 1
            raise
        return httpcore.AsyncHTTP11Connection(self._origin, stream)

    async def _discard(
        self,
        connection: httpcore.AsyncHTTP11Connection,
    ) -> None:
        self._open_count -= 1
        with trio.CancelScope(shield=True):
            await connection.aclose()
