"""Periodic updates of the state that depends on the time."""

import trio

from chestnutshift.metrics.names import CONFIGURATION, HEADROOM
from chestnutshift.vms.drains import DrainReporter
from chestnutshift.vms.state import VmState

TICK_PERIOD_S = 0.1


async def run_upkeep(state: VmState) -> None:
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
    upstreams = state.local_upstreams
    state.steering.tick(frozenset(upstreams.loads(now)), now)
    preset = state.holder.current.preset
    state.lookups.tick(upstreams.headroom(now), state.phase, preset, now)
    upstreams.close_upstreams(
        state.steering.drain_tracker.closed_upstreams(now)
    )
    state.update_freshness(now)
    state.measures.gauge(HEADROOM, upstreams.headroom(now))
    state.measures.gauge(CONFIGURATION, state.holder.number)
