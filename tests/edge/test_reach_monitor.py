"""A VM's wait for evidence of its links to upstreams."""

import trio
from trio.testing import wait_all_tasks_blocked

from chestnutshift.clocks import boot_time
from chestnutshift.edge.reach_monitor import EXPLAINED_S, ReachMonitor
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from chestnutshift.steering.reachability import SILENCE_S, Reach
from chestnutshift.steering.upstreams import Upstream
from tests.edge.world import make_settings
from tests.steering.factories import register
from tests.virtual_time import in_virtual_time

# Tasks that become ready together run in any order.
ORDERS = 20
SLACK_S = 0.01


async def _raise_doubt() -> tuple[ReachMonitor, list[Upstream]]:
    """Return the monitor of a VM, and the upstreams that are silent."""
    state = EdgeState(make_settings(store_port=1), 1, EventLog('vm-0'))
    upstreams = [register(state.directory, name) for name in ('i-0', 'i-1')]
    for upstream in upstreams:
        state.directory.reach.begin_attempt(upstream, 0.3, boot_time())
    await trio.sleep(SILENCE_S + SLACK_S)
    return ReachMonitor(state), upstreams


async def _wait(monitor: ReachMonitor, reaches: list[Reach]) -> None:
    await monitor.wait_while_silent()
    reaches.append(monitor.review(boot_time()))


async def _read(monitor: ReachMonitor, arrived: trio.Event) -> None:
    await arrived.wait()
    monitor.record_answer(boot_time())


# RECOVER: a VM that was paused took the time for silence of its upstreams,
# before it read what they had answered.
@in_virtual_time
async def test_wait_of_a_late_vm() -> None:
    """Answers that arrived during the pause are read before the wait ends."""
    for _ in range(ORDERS):
        monitor, _ = await _raise_doubt()
        arrived = trio.Event()
        reaches = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_wait, monitor, reaches)
            nursery.start_soon(_read, monitor, arrived)
            await wait_all_tasks_blocked()
            trio.lowlevel.current_clock().jump(EXPLAINED_S + 1)
            arrived.set()
        assert reaches == [Reach.CONNECTED]


@in_virtual_time
async def test_wait_without_an_answer() -> None:
    """It ends in time."""
    monitor, _ = await _raise_doubt()
    started_at = trio.current_time()
    await monitor.wait_while_silent()
    assert trio.current_time() - started_at <= EXPLAINED_S + SLACK_S
    assert monitor.review(boot_time()) is Reach.IN_DOUBT


@in_virtual_time
async def test_wait_for_failures() -> None:
    """It ends as soon as as many upstreams have failed as raise a doubt."""
    monitor, upstreams = await _raise_doubt()
    started_at = boot_time()
    reaches = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_wait, monitor, reaches)
        await wait_all_tasks_blocked()
        for upstream in upstreams:
            monitor.record_failure(upstream, started_at, boot_time())
    assert boot_time() - started_at <= SLACK_S
    assert reaches == [Reach.IN_DOUBT]
