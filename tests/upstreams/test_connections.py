"""Exchanges of a pool of connections to one upstream."""

from collections.abc import AsyncIterator, Callable
from contextlib import suppress

import attrs
import trio
from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.upstreams.connection import OutboundRequest, UpstreamAnswer
from chestnutshift.upstreams.connections import UpstreamConnections

READ_B = 65_536
REQUEST = OutboundRequest(
    b'POST',
    b'/',
    [(b'host', b'h'), (b'transfer-encoding', b'chunked')],
)
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nwhole'


async def _answer_early(stream: trio.SocketStream) -> None:
    """Answer as soon as a request begins, and read on."""
    with suppress(trio.BrokenResourceError):
        await stream.receive_some(READ_B)
        await stream.send_all(ANSWER)
        while await stream.receive_some(READ_B):
            await trio.lowlevel.checkpoint()


def _short() -> bytes:
    return b'body'


async def _endless() -> AsyncIterator[bytes]:
    yield b'body'
    await trio.sleep_forever()


@attrs.define
class _LateReader:
    """Reads an answer; the deadline passes with its last byte."""

    deadline: trio.CancelScope
    content: bytes = b''

    async def read(self, answer: UpstreamAnswer) -> None:
        """Read the whole answer."""
        part = answer.receive_nowait()
        self.content += part.content
        while not part.is_last:
            part = await answer.receive()
            self.content += part.content
        self.deadline.cancel()


# An answer that was complete as the deadline passed became 504: it was thrown
# away while the exchange ended the sending of the rest of the request's body.
@params(_short, _endless)
def test_deadline_passes_with_the_last_byte(
    body: Callable[[], bytes | AsyncIterator[bytes]],
) -> None:
    """A complete answer is returned, however its request's body was sent."""

    @trio_test
    async def run() -> None:
        listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
        address, port = listeners[0].socket.getsockname()
        pool = UpstreamConnections(address, port, pace_s=0)
        is_returned = False
        async with trio.open_nursery() as nursery:
            nursery.start_soon(trio.serve_listeners, _answer_early, listeners)
            connection = await pool.acquire()
            with trio.CancelScope() as deadline:
                reader = _LateReader(deadline)
                await pool.exchange(connection, REQUEST, body(), reader.read)
                is_returned = True
            nursery.cancel_scope.cancel()
        assert reader.content == b'whole'
        assert is_returned

    run()
