"""Long answers that wait for their turn on a pipelined connection."""

import socket
from contextlib import suppress

import attrs
import trio
from trio.testing import trio_test

from chestnutshift.edge.attempts import FOLLOWED_BUFFER_B
from chestnutshift.upstreams.connection import RESET_ON_CLOSE
from tests.callers.clients import calling
from tests.edge.stand_ins import REQUEST_ID
from tests.edge.world import SEARCH, running_edge_at, until
from tests.processes.world import raw_head

READ_B = 65_536
LENGTH_B = 2 * FOLLOWED_BUFFER_B
BEGUN_B = FOLLOWED_BUFFER_B + 1_000_000
BODY = b'body'
BROKEN_S = 0.3
SEND_S = 0.5
_HEAD = (
    b'HTTP/1.1 200 OK\r\nx-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-server-seal: s\r\ncontent-length: %d\r\n\r\n%b'
)


@attrs.define
class BreakingUpstream:
    """An upstream that begins an answer and resets, for the header `long`.

    Its next answer to such a request is short. Requests with the header
    `first` wait for released.
    """

    released: trio.Event = attrs.field(factory=trio.Event)
    broken: trio.Event = attrs.field(factory=trio.Event)
    answered: trio.Event = attrs.field(factory=trio.Event)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            with suppress(trio.BrokenResourceError):
                while received := await stream.receive_some(READ_B):
                    await self._answer(stream, received)

    async def _answer(self, stream: trio.SocketStream, received: bytes) -> None:
        request_id = REQUEST_ID.search(received)[1]
        if b'long: 1' in received and not self.broken.is_set():
            begun = _HEAD % (request_id, LENGTH_B, b'd' * BEGUN_B)
            with trio.move_on_after(SEND_S):
                await stream.send_all(begun)
            stream.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )
            stream.socket.close()
            self.broken.set()
            raise trio.BrokenResourceError
        if b'first: 1' in received:
            await self.released.wait()
        await stream.send_all(_HEAD % (request_id, len(BODY), BODY))
        if b'long: 1' not in received:
            self.answered.set()


# LOST: of a long answer that waited for its turn, the first byte was written
# after its upstream had broken off; the answer behind it, which was complete,
# was lost with the connection.
@trio_test
async def test_upstream_that_breaks_off_before_the_turn() -> None:
    """The request is tried again or refused, and those behind it answered."""
    upstream = BreakingUpstream()
    heads = (
        raw_head('GET', SEARCH, ('first', '1')),
        raw_head('GET', SEARCH, ('long', '1')),
        raw_head('GET', SEARCH),
    )
    async with running_edge_at(upstream.serve) as world:
        async with calling(world.state.settings.callers.port) as caller:
            await caller.send(b''.join(heads))
            await until(upstream.broken.is_set)
            await until(upstream.answered.is_set)
            await trio.sleep(BROKEN_S)
            upstream.released.set()
            assert (await caller.answer()).body == BODY
            assert (await caller.answer()).status in {200, 502}
            assert (await caller.answer()).body == BODY
