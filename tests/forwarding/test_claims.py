"""Operations with an idempotency key continue after a disconnect."""

import trio
from trio.testing import trio_test

from bench.one_vm import list_upstreams
from tests.callers.clients import get
from tests.forwarding.world import (
    AUTHORIZED,
    ScriptedUpstream,
    forwarding,
    listen,
    reply,
)

ANSWER = reply(b'booked and paid')
BOOKING = get(
    '/bookings/1',
    AUTHORIZED,
    'idempotency-key: "one"',
    'content-length: 0',
    method='POST',
)


class PausedBooking:
    """An upstream that pauses its answer until the caller has disconnected."""

    def __init__(self) -> None:
        """Pause in the middle of the answer until `resume`."""
        self.upstream = ScriptedUpstream(self._run)
        self._resumed = trio.Event()
        self._ended = trio.Event()

    async def resume(self) -> None:
        """Send the rest of the answer."""
        self._resumed.set()
        with trio.fail_after(10):
            await self._ended.wait()
        await trio.sleep(0.1)

    async def _run(self, upstream, stream) -> None:
        await upstream.next_head(stream)
        await stream.send_all(ANSWER[:-8])
        await self._resumed.wait()
        # The first piece triggers the reset; the second arrives after it.
        await stream.send_all(ANSWER[-8:-4])
        await trio.sleep(0.3)
        await stream.send_all(ANSWER[-4:])
        self._ended.set()
        await upstream.next_head(stream)


@trio_test
async def test_repeat_gets_outcome():
    """A repeat gets the outcome after a disconnect during the answer."""
    paused = PausedBooking()
    async with trio.open_nursery() as nursery, forwarding() as world:
        port = await listen(nursery, paused.upstream.serve)
        upstreams = list_upstreams([port], service='bookings')
        world.state.update_vm_list(upstreams, trio.current_time())
        async with world.calling() as caller:
            await caller.send(BOOKING)
            assert await caller.stream.receive_some(10)
        await paused.resume()
        async with world.calling() as caller:
            await caller.send(BOOKING)
            answer = await caller.answer()
            assert (answer.status, answer.body) == (200, b'booked and paid')
        assert len(paused.upstream.heads) == 1
        nursery.cancel_scope.cancel()
