"""An HTTP/1.1 connection to an upstream, on top of h11.

An exchange is one request and its answer. Unless ends_by_close is set, an
answer must have a Content-Length or be chunked, so that its end can be
distinguished from a broken connection.
"""

import errno
import socket
import struct
from collections.abc import AsyncIterator, Callable
from contextlib import suppress

import attrs
import h11
import trio

from chestnutshift.conf import defaults
from chestnutshift.exceptions import CodedError
from chestnutshift.upstreams.chunk_pace import ChunkPace
from chestnutshift.upstreams.connection_end import (
    SendProgress,
    find_reset,
    has_reset_arrived,
)

READ_B = 65_536
# Interim (1xx) answers that may come before the final one.
INTERIM_ANSWERS_MAX = 32
SWITCHING_PROTOCOLS = 101
# Of the three digits that the parser takes (RFC 9110, 15).
STATUS_MAX = 599
BODILESS_STATUSES = frozenset((204, 304))
# TCP keepalive and user timeout, after which the kernel closes a connection
# whose peer acknowledges nothing.
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 3
UNACKNOWLEDGED_MS = 5000
# struct linger: on, with a timeout of 0 s.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_RESET_ERRNOS = frozenset((errno.ECONNRESET, errno.EPIPE))

Headers = list[tuple[bytes, bytes]]


def _read_most() -> int:
    return READ_B


@attrs.frozen
class ConnectionOptions:
    """Options of the connections to one kind of upstream.

    A connection idle for longer than idle_s is not reused; connect_s is the
    connect timeout; a connection whose data stays unacknowledged for
    unacknowledged_ms is closed. With ends_by_close, an answer without a
    length ends when the upstream closes the connection. find_read_b returns
    how many bytes to read at a time.
    """

    idle_s: float = 15.0
    connect_s: float = 1.0
    unacknowledged_ms: int = UNACKNOWLEDGED_MS
    ends_by_close: bool = False
    find_read_b: Callable[[], int] = _read_most


DEFAULT_OPTIONS = ConnectionOptions()


class UpstreamError(CodedError):
    """An attempt at an upstream gave no usable answer."""

    code = 'upstreams.failed'


class ExchangeBrokenError(UpstreamError):
    """The exchange failed after bytes may have reached the upstream."""

    code = 'upstreams.broken'


class ExchangeLostError(ExchangeBrokenError):
    """The upstream's side closed or reset the connection in an exchange."""


@attrs.frozen
class OutboundRequest:
    """The head of a request to an upstream; the body is sent separately."""

    method: bytes
    target: bytes
    headers: Headers


@attrs.frozen
class AnswerPart:
    """A chunk of an answer's body, and whether it is the last one."""

    content: bytes
    is_last: bool


@attrs.frozen
class UpstreamAnswer:
    """The head of an answer; its body is read from the connection."""

    status: int
    headers: Headers
    _connection: 'UpstreamConnection'

    @property
    def is_sized(self) -> bool:
        """Whether the head states the length of the body."""
        return any(name == b'content-length' for name, _ in self.headers)

    def receive_nowait(self) -> AnswerPart:
        """Return body bytes already received; raises ExchangeBrokenError."""
        return self._connection.receive_nowait()

    async def receive(self) -> AnswerPart:
        """Wait for more body bytes; raises ExchangeBrokenError."""
        return await self._connection.receive()

    def check_unbroken(self) -> None:
        """Raise ExchangeLostError if the upstream has reset the connection.

        Its rest is not read while nobody takes what has come.
        """
        if has_reset_arrived(self._connection.socket):
            raise ExchangeLostError('the upstream reset the connection')


def enable_tcp_keepalive(
    sock: trio.socket.SocketType,
    unacknowledged_ms: int = UNACKNOWLEDGED_MS,
) -> None:
    """Set TCP keepalive and user timeout, to detect a dead peer in seconds."""
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, unacknowledged_ms)


class UpstreamConnection:
    """A connection to an upstream, which carries one exchange at a time."""

    def __init__(
        self,
        stream: trio.SocketStream,
        options: ConnectionOptions = DEFAULT_OPTIONS,
    ) -> None:
        """Take ownership of a stream that has just connected."""
        self.socket = stream.socket
        self._stream = stream
        self._options = options
        self._h11 = h11.Connection(
            h11.CLIENT,
            max_incomplete_event_size=defaults.HEADER_LIMIT_B,
        )
        self._sent_at = trio.current_time()
        self._received_at = self._sent_at
        self._sent_b = 0
        self._has_ended = False
        # Whether nothing has come since the last request began.
        self._is_unanswered = False
        self._progress = SendProgress(self._sent_at)
        # Whether the answer ends when the upstream closes the connection.
        self._is_open_ended = False
        # Whether chunks of the body were read that are not parsed yet.
        self._has_unparsed = False
        self._pace = ChunkPace()
        enable_tcp_keepalive(stream.socket, options.unacknowledged_ms)

    @property
    def sent_b(self) -> int:
        """Bytes handed to the kernel so far, over all exchanges."""
        return self._sent_b

    @property
    def sent_at(self) -> float:
        """When the last request began."""
        return self._sent_at

    @property
    def received_at(self) -> float:
        """When bytes last came from the upstream, or the stream connected."""
        return self._received_at

    @property
    def is_readable(self) -> bool:
        """Whether unread data, or the end of the stream, has arrived."""
        return self._stream.socket.is_readable()

    def reset_for_reuse(self) -> bool:
        """Prepare for the next exchange; False if there can be none.

        A connection is reusable only after a complete request and a complete
        answer, with no byte after the answer.
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
        """Close at once, which the upstream treats as a cancellation.

        What a cut holds up of a request without an answer must not arrive
        later, when the request may run elsewhere: a reset discards it.
        """
        if self._is_unanswered:
            # One that the other side has reset already can't be set.
            with suppress(OSError):
                self._stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
        self._stream.socket.close()

    async def send_buffered(
        self,
        request: OutboundRequest,
        body: bytes,
    ) -> None:
        """Send a request together with its buffered body."""
        if self._progress.is_streamed:
            _limit_silence(self._stream.socket, self._options.unacknowledged_ms)
        self._progress.is_streamed = False
        head = self._begin(request)
        content = self._h11.send(h11.Data(data=body)) if body else b''
        ending = self._h11.send(h11.EndOfMessage())
        await self._send(head + content + ending)

    async def send_streamed(
        self,
        request: OutboundRequest,
        body: AsyncIterator[bytes],
    ) -> None:
        """Send a request and stream its body as it arrives.

        The upstream may pause reading for as long as the caller waits: the
        kernel takes a pause for silence.
        """
        self._progress.is_streamed = True
        _limit_silence(self._stream.socket, 0)
        await self._send(self._begin(request))
        async for chunk in body:
            await self._send(self._h11.send(h11.Data(data=chunk)))
        await self._send(self._h11.send(h11.EndOfMessage()))

    async def receive_answer(self, method: bytes) -> UpstreamAnswer:
        """Wait for the head of the final answer; raises ExchangeBrokenError."""
        event = self._next_event()
        interim_count = 0
        while not _is_final(event):
            if event is h11.NEED_DATA:
                await self._read()
            else:
                interim_count += 1
            if interim_count > INTERIM_ANSWERS_MAX:
                raise ExchangeBrokenError('too many interim answers')
            event = self._next_event()
        if event.status_code > STATUS_MAX:
            raise ExchangeBrokenError(f'no status: {event.status_code}')
        headers = _without_void_length(list(event.headers))
        has_end = _has_end(method, event.status_code, headers)
        self._is_open_ended = not has_end
        if not has_end and not self._options.ends_by_close:
            raise ExchangeBrokenError(
                'the answer has neither Content-Length nor Transfer-Encoding',
            )
        return UpstreamAnswer(event.status_code, headers, self)

    def receive_nowait(self) -> AnswerPart:
        """Return body bytes already received, without waiting.

        More may be left: a read may bring thousands of tiny chunks.
        """
        chunks: list[bytes] = []
        while len(chunks) < defaults.CHUNKS_AT_ONCE:
            event = self._next_event()
            if event is h11.NEED_DATA:
                self._has_unparsed = False
                return AnswerPart(b''.join(chunks), is_last=False)
            if not isinstance(event, h11.Data):
                return AnswerPart(b''.join(chunks), is_last=True)
            chunks.append(event.data)
        self._has_unparsed = True
        return AnswerPart(b''.join(chunks), is_last=False)

    async def receive(self) -> AnswerPart:
        """Wait for bytes from the upstream and return those of the body."""
        if self._has_unparsed:
            await self._pace.wait()
        else:
            await self._read()
        return self.receive_nowait()

    def _begin(self, request: OutboundRequest) -> bytes:
        self._sent_at = trio.current_time()
        self._is_unanswered = True
        self._has_unparsed = False
        self._pace = ChunkPace()
        return self._h11.send(
            h11.Request(
                method=request.method,
                target=request.target,
                headers=request.headers,
            ),
        )

    async def _send(self, content: bytes) -> None:
        self._sent_b += len(content)
        self._progress.is_sending = True
        try:
            await self._stream.send_all(content)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            failure = _failure_of(error)(f'sending the request failed: {error}')
            self._progress.failure = failure
            raise failure from error
        finally:
            self._progress.is_sending = False
        self._progress.written_at = trio.current_time()

    def _next_event(self) -> h11.Event:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            failure = (
                ExchangeLostError if self._has_ended else ExchangeBrokenError
            )
            raise failure(
                f'the answer is malformed or incomplete: {error}',
            ) from error

    async def _read(self) -> None:
        try:
            content = await self._stream.receive_some(
                self._options.find_read_b()
            )
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise _failure_of(error)(
                f'receiving the answer failed: {error}',
            ) from error
        self._has_ended = not content
        if content:
            self._received_at = trio.current_time()
            self._is_unanswered = False
        elif self._is_open_ended:
            await _check_end(self._progress, self._stream.socket, self._h11)
        self._h11.receive_data(content)


def _limit_silence(
    sock: trio.socket.SocketType, unacknowledged_ms: int
) -> None:
    """Set after how long the kernel ends a silent connection; 0 for never.

    A closed connection raises when it is sent on.
    """
    with suppress(OSError):
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms
        )


async def _check_end(
    progress: SendProgress, sock: trio.socket.SocketType, parser: h11.Connection
) -> None:
    """Raise ExchangeBrokenError if the end is that of a crash or a cut."""
    reset = await find_reset(
        progress, sock, lambda: parser.our_state is h11.DONE
    )
    if isinstance(reset, ExchangeBrokenError):
        raise type(reset)(reset.detail) from reset
    if reset is not None:
        raise ExchangeLostError(f'reset after its end: {reset}')


def _failure_of(
    error: trio.BrokenResourceError | trio.ClosedResourceError,
) -> type[ExchangeBrokenError]:
    """Return the error to raise: a link that is cut times out instead."""
    cause = error.__cause__
    if isinstance(cause, OSError) and cause.errno in _RESET_ERRNOS:
        return ExchangeLostError
    return ExchangeBrokenError


def _is_final(event: h11.Event) -> bool:
    """Return whether the event is the head of a final (not 1xx) answer."""
    if not isinstance(event, h11.InformationalResponse):
        return isinstance(event, h11.Response)
    if event.status_code == SWITCHING_PROTOCOLS:
        raise ExchangeBrokenError('the upstream switched protocols (101)')
    return False


def _without_void_length(headers: Headers) -> Headers:
    """Return the headers without a length that chunks override.

    Nothing checks it, so it must not be passed on (RFC 9112, 6.3).
    """
    if not any(name == b'transfer-encoding' for name, _ in headers):
        return headers
    return [header for header in headers if header[0] != b'content-length']


def _has_end(method: bytes, status: int, headers: Headers) -> bool:
    if method == b'HEAD' or status in BODILESS_STATUSES:
        return True
    return any(
        name in {b'content-length', b'transfer-encoding'} for name, _ in headers
    )
