"""What a VM does again and again between messages."""

import trio

from chestnutshift.metrics.names import CONFIGURATION, HEADROOM
from chestnutshift.vms.drains import DrainReporter
from chestnutshift.vms.state import VmState

TICK_S = 0.1


async def keep_ticking(state: VmState) -> None:
    """Move ramps, look-ups, drains and key trust on, every TICK_S."""
    drains = DrainReporter()
    while True:
        now = trio.current_time()
        if state.holder.number:
            tick(state, now)
            drains.report_changes(state, now)
        await trio.sleep(TICK_S)


def tick(state: VmState, now: float) -> None:
    """Do once what depends on the time."""
    work = state.work
    state.steering.tick(frozenset(work.loads(now)), now)
    preset = state.holder.current.preset
    state.lookups.tick(work.headroom(now), state.phase, preset, now)
    work.close_upstreams(state.steering.drain_tracker.closed_upstreams(now))
    state.update_freshness(now)
    state.measures.gauge(HEADROOM, work.headroom(now))
    state.measures.gauge(CONFIGURATION, state.holder.number)
