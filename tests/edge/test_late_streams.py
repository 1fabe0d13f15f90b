"""Answers that are being streamed as their deadline passes."""

from contextlib import suppress

import attrs
import trio

from chestnutshift.edge.attempts import ANSWER_BUFFER_B
from chestnutshift.edge.forwarder import BEGUN_EXTENSION_S
from tests.callers.clients import calling
from tests.edge.stand_ins import REQUEST_ID
from tests.edge.world import SEARCH, running_edge_at
from tests.processes.world import raw_head
from tests.virtual_time import in_virtual_time

DEADLINE_S = 1.0
# A request must have its answer by then after its deadline.
ANSWERED_BY_S = 0.5
AHEAD_S = 0.05
LONG_B = ANSWER_BUFFER_B + 100_000
# More than the buffers of the kernel hold.
WIDE_B = 20_000_000
READ_B = 65_536
_HEAD = (
    b'HTTP/1.1 200 OK\r\nx-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-server-seal: s\r\ncontent-length: %d\r\n\r\n'
)


@attrs.frozen
class LateUpstream:
    """An upstream whose answers lack their last byte for a while."""

    ends_after_s: float

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            while received := await stream.receive_some(READ_B):
                begun = b'd' * (LONG_B - 1)
                head = _HEAD % (REQUEST_ID.search(received)[1], LONG_B)
                await stream.send_all(head + begun)
                await trio.sleep(self.ends_after_s)
                with suppress(trio.BrokenResourceError):
                    await stream.send_all(b'd')


async def _receive(late_s: float) -> tuple[int, float]:
    """Return how much of an answer comes that ends so late.

    With it, how long after the deadline it has come, or its connection ended.
    """
    upstream = LateUpstream(DEADLINE_S + late_s)
    async with running_edge_at(upstream.serve) as world:
        async with calling(world.state.settings.callers.port) as caller:
            sent_at = trio.current_time()
            deadline_ms = round(DEADLINE_S * 1000)
            await caller.send(raw_head('GET', SEARCH, deadline_ms=deadline_ms))
            body = b''
            with suppress(trio.BrokenResourceError):
                while len(body.partition(b'\r\n\r\n')[2]) < LONG_B:
                    body += await caller.stream.receive_some(READ_B)
            body = body.partition(b'\r\n\r\n')[2]
            return len(body), trio.current_time() - sent_at - DEADLINE_S


# LOST: a stream whose end was on the way was cut at its deadline, and all
# requests behind it with it.
@in_virtual_time
async def test_stream_that_ends_soon_after_its_deadline() -> None:
    """It is delivered to its end."""
    length_b, _ = await _receive(BEGUN_EXTENSION_S - AHEAD_S)
    assert length_b == LONG_B


@in_virtual_time
async def test_stream_that_goes_on_after_its_deadline() -> None:
    """It is cut within half a second."""
    length_b, late_s = await _receive(ANSWERED_BY_S)
    assert length_b < LONG_B
    assert late_s < ANSWERED_BY_S


@attrs.frozen
class TardyUpstream:
    """An upstream whose long answer comes just before the deadline."""

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            while received := await stream.receive_some(READ_B):
                await trio.sleep(DEADLINE_S - AHEAD_S)
                head = _HEAD % (REQUEST_ID.search(received)[1], WIDE_B)
                with suppress(trio.BrokenResourceError):
                    await stream.send_all(head + b'd' * WIDE_B)


# LOST: a stream was cut at its deadline if its first part had not been taken
# whole by then.
@in_virtual_time
async def test_stream_whose_first_part_is_taken_late() -> None:
    """It is delivered to its end."""
    async with running_edge_at(TardyUpstream().serve) as world:
        async with calling(world.state.settings.callers.port) as caller:
            deadline_ms = round(DEADLINE_S * 1000)
            await caller.send(raw_head('GET', SEARCH, deadline_ms=deadline_ms))
            await trio.sleep(DEADLINE_S + AHEAD_S)
            assert len((await caller.answer()).body) == WIDE_B
