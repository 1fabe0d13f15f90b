"""Follow every table of the store that this VM needs."""

import attrs
import trio

from chestnutshift.edge.backend import Backing
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.table_polling import Follower, StateKeeper
from chestnutshift.fleet.watching import (
    SETTLE_LONG_S,
    SETTLE_S,
    WAIT_LONG_S,
    WAIT_S,
    Pace,
    is_proof_due,
    is_small,
    is_watcher,
)

WAIT_MEMBERS_S = 8.0
# VMs come one after the other at a start, and none is in a hurry to know.
SETTLE_MEMBERS_S = 1.5
SETTLE_MEMBERS_LONG_S = 4.0


@attrs.define
class StoreWatch:
    """The followers of operators, upstreams and VMs."""

    _state: EdgeState
    _backing: Backing
    _operators: Follower = attrs.field(init=False)
    _upstreams: Follower = attrs.field(init=False)
    _members: Follower = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Make the followers."""
        keeper, backing = StateKeeper(self._state), self._backing
        self._operators = Follower(
            self._state,
            backing.operators,
            'operators',
            self._operators_pace,
            keeper.apply_operators,
        )
        self._upstreams = Follower(
            self._state,
            backing.upstreams,
            'upstreams',
            self._upstreams_pace,
            keeper.apply_upstreams,
        )
        self._members = Follower(
            self._state,
            backing.members,
            'members',
            self._members_pace,
            keeper.apply_members,
        )

    def start(self, nursery: trio.Nursery) -> None:
        """Follow until the nursery is cancelled."""
        for follower in (self._operators, self._upstreams, self._members):
            nursery.start_soon(follower.run)

    def keep_up(self, now: float) -> None:
        """Ask at once for what peers know or what must be proven."""
        state = self._state
        state.hear_news(now)
        age_s = state.freshness.age_s(now)
        bound_s = state.settings.bounds.withdrawal_s
        is_due = not self._is_watcher() and is_proof_due(age_s, bound_s)
        if state.operators_news.is_due(now, is_proof_due=is_due):
            self._operators.hurry(now)
        if state.upstreams_news.is_due(now):
            self._upstreams.hurry(now)

    def _is_watcher(self) -> bool:
        state = self._state
        return is_watcher(state.settings.vm, state.heard)

    def _is_small(self) -> bool:
        return is_small(self._state.heard)

    def _operators_pace(self) -> Pace:
        wait_s = WAIT_S if self._is_watcher() else WAIT_LONG_S
        return Pace(wait_s, SETTLE_S)

    def _upstreams_pace(self) -> Pace:
        if self._is_small():
            return Pace(WAIT_S, SETTLE_S)
        return Pace(WAIT_LONG_S, SETTLE_LONG_S)

    def _members_pace(self) -> Pace:
        if self._is_small():
            return Pace(WAIT_MEMBERS_S, SETTLE_MEMBERS_S)
        return Pace(WAIT_LONG_S, SETTLE_MEMBERS_LONG_S)
