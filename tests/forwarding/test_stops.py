"""Requests that are in progress as a VM's grace ends."""

import attrs
import trio
from trio.testing import trio_test

from tests.callers.serving import LIMITS
from tests.forwarding.world import ScriptedUpstream, forwarding

STOPPING = attrs.evolve(LIMITS, grace_s=0.2, last_answers_s=1.0)


# LOST: the end of the grace reset the connection of a request in progress.
@trio_test
async def test_request_that_the_stop_ends():
    """It is refused with a true word on its run, before its connection ends."""

    async def script(upstream, stream) -> None:
        await upstream.next_head(stream)
        world.port.stopping.set()
        await trio.sleep_forever()

    upstream = ScriptedUpstream(script)
    async with forwarding(upstream, limits=STOPPING) as world:
        answer = await world.get()
        assert answer.status == 504
        assert answer.headers['chestnutshift-ran'] == 'unknown'
        assert answer.headers['connection'] == 'close'
        assert b'vm.stopped' in answer.body
        with trio.fail_after(STOPPING.last_answers_s):
            await world.port.stopped.wait()
