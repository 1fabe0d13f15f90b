"""Polling of the store's tables that an edge VM needs."""

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge.backend import Backend
from chestnutshift.edge.containment import keep_running
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.state_updater import StateUpdater
from chestnutshift.edge.table_polling import TablePoller
from chestnutshift.fleet.store_polling import (
    IDLE_SETTLE_RATIO,
    POLL_TIMEOUT_LONG_S,
    POLL_TIMEOUT_S,
    SETTLE_LONG_S,
    SETTLE_S,
    PollPace,
    is_proof_due,
    is_small_fleet,
    is_watcher,
)

MEMBERS_POLL_TIMEOUT_S = 8.0
# At a fleet start VMs register one after the other; a longer settling time
# batches them, as new members are not urgent.
MEMBERS_SETTLE_S = 1.5
MEMBERS_SETTLE_LONG_S = 4.0


@attrs.define
class StorePoller:
    """The pollers of the tables of operators, upstreams and VMs."""

    _state: EdgeState
    _backend: Backend
    _updater: StateUpdater = attrs.field(init=False)
    _operators: TablePoller = attrs.field(init=False)
    _upstreams: TablePoller = attrs.field(init=False)
    _members: TablePoller = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create one poller for each table."""
        updater, backend = StateUpdater(self._state), self._backend
        self._updater = updater
        self._operators = TablePoller(
            self._state,
            backend.operators,
            'operators',
            self._operators_pace,
            updater.apply_operators,
        )
        self._upstreams = TablePoller(
            self._state,
            backend.upstreams,
            'upstreams',
            self._upstreams_pace,
            updater.apply_upstreams,
        )
        self._members = TablePoller(
            self._state,
            backend.members,
            'members',
            self._members_pace,
            updater.apply_members,
        )

    def start(self, nursery: trio.Nursery) -> None:
        """Start the pollers in the nursery."""
        pollers = {
            'operators': self._operators,
            'upstreams': self._upstreams,
            'members': self._members,
        }
        for table, poller in pollers.items():
            name = f'poll_{table}'
            nursery.start_soon(keep_running, self._state, name, poller.run)

    def poll_if_due(self, now: float) -> None:
        """Poll at once for changes that peers know, or for a due proof."""
        state = self._state
        self._updater.end_held_evacuations(now)
        state.update_known_changes(now)
        age_s = state.freshness.age_s(now)
        bound_s = state.settings.bounds.withdrawal_s
        for poller in (self._operators, self._upstreams, self._members):
            poller.poll_if_outdated(now)
        is_due = not self._is_watcher() and is_proof_due(age_s, bound_s)
        is_due = is_due or state.trust.is_proof_due(now)
        if state.operators_changes.is_due(now, is_proof_due=is_due):
            state.trust.record_poll(now)
            self._operators.poll_now(now)
        if state.upstreams_changes.is_due(now):
            self._upstreams.poll_now(now)

    def _is_watcher(self) -> bool:
        state = self._state
        return is_watcher(state.settings.vm, state.live_peer_names)

    def _is_small(self) -> bool:
        return is_small_fleet(self._state.live_peer_names)

    def _operators_pace(self) -> PollPace:
        wait_s = POLL_TIMEOUT_S if self._is_watcher() else POLL_TIMEOUT_LONG_S
        return PollPace(wait_s, SETTLE_S)

    def _upstreams_pace(self) -> PollPace:
        if self._is_small():
            return PollPace(POLL_TIMEOUT_S, SETTLE_S)
        settle_s = SETTLE_LONG_S
        if not self._state.is_serving_callers(boot_time()):
            drain_s = self._state.settings.bounds.drain_s
            settle_s = max(settle_s, drain_s * IDLE_SETTLE_RATIO)
        return PollPace(POLL_TIMEOUT_LONG_S, settle_s)

    def _members_pace(self) -> PollPace:
        if self._is_small():
            return PollPace(MEMBERS_POLL_TIMEOUT_S, MEMBERS_SETTLE_S)
        return PollPace(POLL_TIMEOUT_LONG_S, MEMBERS_SETTLE_LONG_S)
