"""One HTTP/1.1 connection to an upstream, driven through h11.

An answer must say its length or be chunked, so that its end can be told
from a break.
"""

import socket
from collections.abc import AsyncIterator

import attrs
import h11
import trio

from chestnutshift.conf import defaults
from chestnutshift.exceptions import CodedError

READ_B = 65_536
SWITCHING_PROTOCOLS = 101
BODILESS_STATUSES = frozenset((204, 304))
# The kernel gives up a connection whose other end acknowledges nothing.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MS = 5000

Headers = list[tuple[bytes, bytes]]


@attrs.frozen
class ConnectionOptions:
    """How connections to one kind of upstream behave.

    An idle connection older than idle_s is not used again; a path that
    acknowledges nothing for unacknowledged_ms is given up. Where
    ends_by_close, an answer without a length ends with its connection.
    """

    idle_s: float = 15.0
    connect_s: float = 1.0
    unacknowledged_ms: int = UNACKNOWLEDGED_MS
    ends_by_close: bool = False


DEFAULT_OPTIONS = ConnectionOptions()


class UpstreamError(CodedError):
    """An attempt at an upstream gave no answer to pass on."""

    code = 'upstreams.failed'


class ExchangeBrokenError(UpstreamError):
    """The exchange broke after bytes may have reached the upstream."""

    code = 'upstreams.broken'


@attrs.frozen
class OutboundRequest:
    """The head of a request to an upstream; the body is passed beside it."""

    method: bytes
    target: bytes
    headers: Headers


@attrs.frozen
class AnswerPart:
    """A part of an answer's body, and whether the answer is whole with it."""

    content: bytes
    is_last: bool


@attrs.frozen
class UpstreamAnswer:
    """The head of an answer, and the connection that brings its body."""

    status: int
    headers: Headers
    _connection: 'UpstreamConnection'

    def arrived(self) -> AnswerPart:
        """Return what has arrived; raises ExchangeBrokenError."""
        return self._connection.arrived()

    async def receive(self) -> AnswerPart:
        """Wait for more of the body; raises ExchangeBrokenError."""
        return await self._connection.receive()


def watch_path(
    sock: trio.socket.SocketType,
    unacknowledged_ms: int = UNACKNOWLEDGED_MS,
) -> None:
    """Let the kernel notice a path that has gone silent, within seconds."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


class UpstreamConnection:
    """One connection; it carries one exchange at a time."""

    def __init__(
        self,
        stream: trio.SocketStream,
        options: ConnectionOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Take over a stream that has just connected."""
        self._stream = stream
        self._options = options
        self._h11 = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=defaults.HEADER_LIMIT_B,
        )
        self._sent_at = trio.current_time()
        self._heard_at = self._sent_at
        self._sent_b = 0
        watch_path(stream.socket, options.unacknowledged_ms)

    @property
    def sent_b(self) -> int:
        """Bytes handed to the kernel so far, over all exchanges."""
        return self._sent_b

    @property
    def sent_at(self) -> float:
        """When the last request began."""
        return self._sent_at

    @property
    def heard_at(self) -> float:
        """When the upstream last sent anything, or connected."""
        return self._heard_at

    @property
    def is_readable(self) -> bool:
        """Whether something arrived unasked, an end included."""
        return self._stream.socket.is_readable()

    def renew(self) -> bool:
        """Prepare for the next exchange; False if there can be none.

        Only a connection whose request and answer are both whole, with no
        byte after the answer, can carry another exchange.
        """
        if (
            self._h11.our_state is not h11.DONE
            or self._h11.their_state is not h11.DONE
            or self._h11.trailing_data[0]
        ):
            return False
        self._h11.start_next_cycle()
        return True

    def close(self) -> None:
        """Close at once; the upstream takes it as cancellation."""
        self._stream.socket.close()

    async def send_whole(self, request: OutboundRequest, body: bytes) -> None:
        """Send a request with its body in one piece."""
        head = self._begin(request)
        content = self._h11.send(h11.Data(data=body)) if body else b''
        ending = self._h11.send(h11.EndOfMessage())
        await self._send(head + content + ending)

    async def send_stream(
        self,
        request: OutboundRequest,
        body: AsyncIterator[bytes],
    ) -> None:
        """Send a request whose body is still arriving."""
        await self._send(self._begin(request))
        async for chunk in body:
            await self._send(self._h11.send(h11.Data(data=chunk)))
        await self._send(self._h11.send(h11.EndOfMessage()))

    async def receive_answer(self, method: bytes) -> UpstreamAnswer:
        """Return the head of the final answer; raises ExchangeBrokenError."""
        event = self._take_event()
        while not _is_final(event):
            if event is h11.NEED_DATA:
                await self._read()
            event = self._take_event()
        headers = list(event.headers)
        has_end = _has_end(method, event.status_code, headers)
        if not has_end and not self._options.ends_by_close:
            raise ExchangeBrokenError('the answer does not say its length')
        return UpstreamAnswer(event.status_code, headers, self)

    def arrived(self) -> AnswerPart:
        """Return what of the body has arrived, without waiting."""
        chunks = []
        while True:
            event = self._take_event()
            if event is h11.NEED_DATA:
                return AnswerPart(b''.join(chunks), is_last=False)
            if not isinstance(event, h11.Data):
                return AnswerPart(b''.join(chunks), is_last=True)
            chunks.append(event.data)

    async def receive(self) -> AnswerPart:
        """Wait for bytes and return what of the body has arrived."""
        await self._read()
        return self.arrived()

    def _begin(self, request: OutboundRequest) -> bytes:
        self._sent_at = trio.current_time()
        return self._h11.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=request.headers,
            ),
        )

    async def _send(self, content: bytes) -> None:
        self._sent_b += len(content)
        try:
            await self._stream.send_all(content)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeBrokenError(f'sending failed: {error}') from error

    def _take_event(self) -> h11.Event:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise ExchangeBrokenError(f'the answer broke: {error}') from error

    async def _read(self) -> None:
        try:
            content = await self._stream.receive_some(READ_B)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise ExchangeBrokenError(f'the answer broke: {error}') from error
        if content:
            self._heard_at = trio.current_time()
        self._h11.receive_data(content)


def _is_final(event: h11.Event) -> bool:
    """Tell whether the event is the head of a final answer."""
    if not isinstance(event, h11.InformationalResponse):
        return isinstance(event, h11.Response)
    if event.status_code == SWITCHING_PROTOCOLS:
        raise ExchangeBrokenError('the upstream switched protocols')
    return False


def _has_end(method: bytes, status: int, headers: Headers) -> bool:
    if method == b'HEAD' or status in BODILESS_STATUSES:
        return True
    return any(
        name in {b'content-length', b'transfer-encoding'} for name, _ in headers
    )
