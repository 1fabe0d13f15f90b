"""This VM's pool of connections to one upstream.

A connection carries one exchange at a time and becomes idle again only after
a complete answer, so that no request can receive the answer to another.
"""

import errno
import math
import socket
from collections import deque
from collections.abc import AsyncIterator, Awaitable, Callable, Collection

import trio

from chestnutshift.conf import defaults
from chestnutshift.exceptions import CodedError
from chestnutshift.upstreams.connection import (
    DEFAULT_OPTIONS,
    ConnectionOptions,
    ExchangeBrokenError,
    OutboundRequest,
    UpstreamAnswer,
    UpstreamConnection,
    UpstreamError,
)

# If an exchange is abandoned after this long without a byte from the upstream,
# idle connections that have received nothing since it began are presumed dead
# and closed too.
STALL_S = 0.5

# This host lacks descriptors, memory or ports; tells nothing of the upstream.
_LOCAL_ERRNOS = frozenset(
    (
        errno.EADDRNOTAVAIL,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    )
)

AnswerHandler = Callable[[UpstreamAnswer], Awaitable[None]]


class NotConnectedError(UpstreamError):
    """No connection could be made, so the request has certainly not run."""

    code = 'upstreams.not_connected'

    @property
    def is_refused(self) -> bool:
        """Whether the host answered that nothing listens at the address."""
        return isinstance(self.__cause__, ConnectionRefusedError)


class ConnectionsExhaustedError(UpstreamError):
    """This VM may not, or can't, open another connection to the upstream."""

    code = 'upstreams.connections'


class UpstreamConnections:
    """Pool of idle and busy connections to one upstream."""

    def __init__(
        self,
        address: str,
        port: int,
        pace_s: float = defaults.CONNECTION_PACE_S,
        maximum: int = defaults.CONNECTIONS_MAX,
        options: ConnectionOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Create an empty pool; connections open at least pace_s apart."""
        self._address = address
        self._port = port
        self._pace_s = pace_s
        self._maximum = maximum
        self._options = options
        # The most recently used connection is at the right end.
        self._idle: deque[UpstreamConnection] = deque()
        self._open_count = 0
        # The earliest time at which the next connection may be opened.
        self._dial_at = -math.inf

    @property
    def port(self) -> int:
        """The port of the upstream."""
        return self._port

    @property
    def maximum(self) -> int:
        """The most connections that may be open at a time."""
        return self._maximum

    @property
    def open_count(self) -> int:
        """Number of open connections, idle or busy."""
        return self._open_count

    @property
    def idle_count(self) -> int:
        """Number of idle connections."""
        return len(self._idle)

    async def acquire(
        self,
        idle_s: float = math.inf,
        excluded: Collection[UpstreamConnection] = (),
    ) -> UpstreamConnection:
        """Return an idle connection that is still open, or a new one.

        One that was idle for more than idle_s seconds, or is in excluded, is
        not used. The caller passes the connection to `exchange` or `release`.
        Raises NotConnectedError or ConnectionsExhaustedError.
        """
        now = trio.current_time()
        self._discard_silent_since(now - self._options.idle_s)
        connection = self._take_idle(now - idle_s, excluded)
        if connection is not None:
            return connection
        if self._open_count >= self._maximum and self._idle:
            self._discard(self._idle.popleft())
        if self._open_count >= self._maximum:
            raise ConnectionsExhaustedError(
                f'all {self._maximum} connections to the upstream are in use',
            )
        return await self._dial()

    async def exchange(
        self,
        connection: UpstreamConnection,
        request: OutboundRequest,
        body: bytes | AsyncIterator[bytes],
        handle_answer: AnswerHandler,
    ) -> None:
        """Send the request and call handle_answer with the answer.

        Returns when handle_answer has returned. On return and on errors
        alike, the connection is idle again or closed. Raises
        ExchangeBrokenError, and what body and handle_answer raise.
        """
        try:
            if isinstance(body, bytes):
                await connection.send_buffered(request, body)
                answer = await connection.receive_answer(request.method)
                await handle_answer(answer)
            else:
                await _StreamedExchange(
                    connection,
                    request,
                    body,
                    handle_answer,
                ).run()
        finally:
            self.release(connection)

    def release(self, connection: UpstreamConnection) -> None:
        """Keep the connection for reuse if possible, else close it."""
        if connection.reset_for_reuse():
            self._idle.append(connection)
            return
        now = trio.current_time()
        is_silent = connection.received_at < connection.sent_at
        if is_silent and now - connection.sent_at >= STALL_S:
            self._discard_silent_since(connection.sent_at)
        self._discard(connection)

    async def aclose(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._discard(self._idle.pop())

    async def connect(self) -> UpstreamConnection:
        """Return a new connection; raises OSError and trio.TooSlowError."""
        # An upstream needs pace_s to accept each new connection.
        dial_at = max(trio.current_time(), self._dial_at)
        self._dial_at = dial_at + self._pace_s
        await trio.sleep_until(dial_at)
        with trio.fail_after(self._options.connect_s):
            stream = await _open_stream(self._address, self._port)
        return UpstreamConnection(stream, self._options)

    def _take_idle(
        self, since: float, excluded: Collection[UpstreamConnection]
    ) -> UpstreamConnection | None:
        """Return the most recently used idle connection that may be used."""
        for connection in tuple(reversed(self._idle)):
            if connection.received_at < since:
                return None
            if connection in excluded:
                continue
            self._idle.remove(connection)
            if not connection.is_readable:
                return connection
            self._discard(connection)
        return None

    async def _dial(self) -> UpstreamConnection:
        self._open_count += 1
        try:
            return await self.connect()
        except (OSError, trio.TooSlowError) as error:
            self._open_count -= 1
            if getattr(error, 'errno', None) in _LOCAL_ERRNOS:
                raise ConnectionsExhaustedError(f'{error!r}') from error
            raise NotConnectedError(f'{error!r}') from error
        except BaseException:
            self._open_count -= 1
            raise

    def _discard_silent_since(self, since: float) -> None:
        silent = [
            connection
            for connection in self._idle
            if connection.received_at <= since
        ]
        for connection in silent:
            self._idle.remove(connection)
            self._discard(connection)

    def _discard(self, connection: UpstreamConnection) -> None:
        self._open_count -= 1
        connection.close()


async def _open_stream(address: str, port: int) -> trio.SocketStream:
    """Connect to a numeric address; raises OSError."""
    family = socket.AF_INET6 if ':' in address else socket.AF_INET
    sock = trio.socket.socket(family, socket.SOCK_STREAM)
    try:
        await sock.connect((address, port))
    except BaseException:
        sock.close()
        raise
    return trio.SocketStream(sock)


class _StreamedExchange:
    """An exchange whose answer may begin while its body still streams."""

    def __init__(
        self,
        connection: UpstreamConnection,
        request: OutboundRequest,
        body: AsyncIterator[bytes],
        handle_answer: AnswerHandler,
    ) -> None:
        self._connection = connection
        self._request = request
        self._body = body
        self._handle_answer = handle_answer
        self._failure: CodedError | None = None

    async def run(self) -> None:
        """Stream the body until the answer has been passed on."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send, nursery.cancel_scope)
            try:
                await self._answer()
            except CodedError as error:
                self._failure = self._failure or error
            # Only the sending is left to cancel: a deadline that passes
            # meanwhile must not cancel the answer, which is complete.
            nursery.cancel_scope.shield = True
            nursery.cancel_scope.cancel()
        if self._failure is not None:
            raise self._failure

    async def _answer(self) -> None:
        answer = await self._connection.receive_answer(self._request.method)
        await self._handle_answer(answer)

    async def _send(self, scope: trio.CancelScope) -> None:
        try:
            await self._connection.send_streamed(self._request, self._body)
        except ExchangeBrokenError:
            # The upstream reads no more; it may have answered early. The
            # connection tells the reading task if the answer's end is a reset.
            return
        except CodedError as error:
            self._failure = error
            scope.cancel()
