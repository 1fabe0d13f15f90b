"""Periodic updates of the state that depends on the time."""

import trio

from chestnutshift.metrics.names import CONFIGURATION, HEADROOM
from chestnutshift.vms.drains import DrainReporter
from chestnutshift.vms.state import VmState

TICK_PERIOD_S = 0.1


async def keep_ticking(state: VmState) -> None:
    """Update ramps, look-ups, drains and key trust every TICK_PERIOD_S."""
    drain_reporter = DrainReporter()
    while True:
        now = trio.current_time()
        if state.holder.number:
            tick(state, now)
            drain_reporter.report_changes(state, now)
        await trio.sleep(TICK_PERIOD_S)


def tick(state: VmState, now: float) -> None:
    """Run one periodic update."""
    work = state.work
    state.steering.tick(frozenset(work.loads(now)), now)
    preset = state.holder.current.preset
    state.lookups.tick(work.headroom(now), state.phase, preset, now)
    work.close_upstreams(state.steering.drain_tracker.closed_upstreams(now))
    state.update_freshness(now)
    state.measures.gauge(HEADROOM, work.headroom(now))
    state.measures.gauge(CONFIGURATION, state.holder.number)
