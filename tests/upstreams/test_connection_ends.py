"""How the end of a connection tells whether an answer is complete."""

import errno
import os
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import suppress

import attrs
import trio
from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.upstreams.connection import (
    ConnectionOptions,
    ExchangeBrokenError,
    ExchangeLostError,
    OutboundRequest,
    UpstreamAnswer,
    UpstreamConnection,
)
from chestnutshift.upstreams.connection_end import RESET_S
from chestnutshift.upstreams.connections import UpstreamConnections
from tests.links import LINGER_ZERO

READ_B = 65_536
CHUNK_B = 65_536
# More than the buffers of a connection hold, so that sending blocks.
CHUNKS = 400
SLOW_CHUNK_S = 0.04
TIMEOUT_S = 10.0
REQUEST = OutboundRequest(
    b'POST',
    b'/',
    [(b'host', b'h'), (b'transfer-encoding', b'chunked')],
)
UNSIZED = b'HTTP/1.1 200 OK\r\nconnection: close\r\n\r\nfirst'
OPTIONS = ConnectionOptions(ends_by_close=True)

Script = Callable[[trio.SocketStream], Awaitable[None]]


async def _chunks() -> AsyncIterator[bytes]:
    for _ in range(CHUNKS):
        yield b'd' * CHUNK_B


@attrs.define
class _Reader:
    """Reads an answer, the rest of it only after pause_s."""

    pause_s: float
    content: bytes = b''

    async def read(self, answer: UpstreamAnswer) -> None:
        part = answer.receive_nowait()
        self.content += part.content
        await trio.sleep(self.pause_s)
        while not part.is_last:
            part = await answer.receive()
            self.content += part.content


async def _exchange(
    script: Script,
    reader: _Reader,
    body: AsyncIterator[bytes] | bytes | None = None,
) -> ExchangeBrokenError | None:
    """Stream a long body to a scripted upstream; return how it failed."""
    failure = None
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    address, port = listeners[0].socket.getsockname()
    pool = UpstreamConnections(address, port, pace_s=0, options=OPTIONS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, script, listeners)
        with trio.fail_after(TIMEOUT_S):
            connection = await pool.acquire()
            try:
                await pool.exchange(
                    connection, REQUEST, body or _chunks(), reader.read
                )
            except ExchangeBrokenError as error:
                failure = error
        nursery.cancel_scope.cancel()
    return failure


async def _begin_early(stream: trio.SocketStream) -> None:
    """Read the head of the request and send a part of the answer."""
    await stream.receive_some(READ_B)
    await stream.send_all(UNSIZED)
    await trio.sleep(0.1)


async def _crash_midway(stream: trio.SocketStream) -> None:
    await _begin_early(stream)
    await stream.send_all(b'second')
    stream.socket.setsockopt(
        trio.socket.SOL_SOCKET, trio.socket.SO_LINGER, LINGER_ZERO
    )
    stream.socket.close()


async def _end_orderly(stream: trio.SocketStream) -> None:
    """Close the sending side, and read the rest of the body."""
    await _begin_early(stream)
    await stream.send_all(b'second')
    await stream.send_eof()
    with suppress(trio.BrokenResourceError):
        while await stream.receive_some(READ_B):
            await trio.lowlevel.checkpoint()


async def _end_unread(stream: trio.SocketStream) -> None:
    """Close the sending side, and leave the rest of the body unread."""
    await _begin_early(stream)
    await stream.send_all(b'second')
    await stream.send_eof()
    await trio.sleep_forever()


async def _crash_with_nothing_unread(stream: trio.SocketStream) -> None:
    """End as a process does that is killed when it has read all that came.

    Its kernel ends the connection orderly, and resets it at the next bytes.
    """
    await _begin_early(stream)
    await stream.send_all(b'second')
    await stream.send_eof()
    stream.socket.close()


async def _slow_chunks() -> AsyncIterator[bytes]:
    for _ in range(CHUNKS):
        await trio.sleep(SLOW_CHUNK_S)
        yield b'd'


# A reset that the sending task was told of let a cut answer look complete.
@params(0, 0.4)
@trio_test
async def test_reset_amid_an_early_unsized_answer(pause_s):
    """It is not complete, whichever task the kernel tells of the reset."""
    failure = await _exchange(_crash_midway, _Reader(pause_s))
    assert isinstance(failure, ExchangeLostError)


# A crash at a moment without unread bytes let a cut answer look complete.
@params(0, 0.4)
@trio_test
async def test_crash_that_looks_like_an_orderly_end(pause_s):
    """The answer is not complete: the rest of the request is reset."""
    failure = await _exchange(
        _crash_with_nothing_unread, _Reader(pause_s), _slow_chunks()
    )
    assert isinstance(failure, ExchangeLostError)


@params((_end_orderly, 0), (_end_orderly, 0.4), (_end_unread, 0))
@trio_test
async def test_orderly_end_of_an_early_unsized_answer(script, pause_s):
    """It is complete, whether or not the upstream reads the rest."""
    reader = _Reader(pause_s)
    assert await _exchange(script, reader) is None
    assert reader.content == b'firstsecond'


@trio_test
async def test_unsized_answer_to_a_short_request():
    """It is not held up: nothing is sent any more that could be reset."""

    async def answer_and_close(stream: trio.SocketStream) -> None:
        async with stream:
            await stream.receive_some(READ_B)
            await stream.send_all(UNSIZED)

    began_at = trio.current_time()
    reader = _Reader(0)
    assert await _exchange(answer_and_close, reader, b'short') is None
    assert reader.content == b'first'
    assert trio.current_time() - began_at < RESET_S


@attrs.define
class _FailingStream:
    """A stream on which sending fails first, and reading then finds an end."""

    socket: trio.socket.SocketType
    error: int
    arrived: bytes
    _has_failed: trio.Event = attrs.field(factory=trio.Event)

    async def send_all(self, _content: bytes) -> None:
        await trio.lowlevel.checkpoint()
        self._has_failed.set()
        raise trio.BrokenResourceError from OSError(
            self.error, os.strerror(self.error)
        )

    async def receive_some(self, _limit: int) -> bytes:
        await self._has_failed.wait()
        arrived = self.arrived
        self.arrived = b''
        return arrived


async def _failure_over(
    stream: _FailingStream, reader: _Reader
) -> ExchangeBrokenError | None:
    pool = UpstreamConnections('127.0.0.1', 1, options=OPTIONS)
    connection = UpstreamConnection(stream, OPTIONS)
    try:
        await pool.exchange(connection, REQUEST, _chunks(), reader.read)
    except ExchangeBrokenError as error:
        return error
    return None


# An error of the sending task must not be lost for the one that reads.
@params((errno.ECONNRESET, True), (errno.ETIMEDOUT, False))
@trio_test
async def test_error_that_sending_was_told_of(error, is_lost):
    """Data that is never acknowledged ends a connection like a reset."""
    with trio.socket.socket() as sock:
        stream = _FailingStream(sock, error, UNSIZED)
        failure = await _failure_over(stream, _Reader(0))
    assert failure is not None
    assert isinstance(failure, ExchangeLostError) is is_lost


@trio_test
async def test_sized_answer_after_a_reset():
    """An answer that has arrived whole counts, whatever comes after it."""
    answer = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'
    reader = _Reader(0)
    with trio.socket.socket() as sock:
        stream = _FailingStream(sock, errno.ECONNRESET, answer)
        assert await _failure_over(stream, reader) is None
    assert reader.content == b'whole'
