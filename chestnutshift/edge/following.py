"""Keep up with the store: routes, evacuations, upstreams and VMs."""

import random
from collections.abc import Callable

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.exceptions import LostHistoryError
from chestnutshift.edge.sources import Evacuation, Source, View
from chestnutshift.edge.state import EdgeState
from chestnutshift.exceptions import CodedError
from chestnutshift.fleet.members import Member
from chestnutshift.routes.model import RouteTable
from chestnutshift.steering.upstreams import Registration

# A question that nothing changes is answered after this; it bounds how old
# the proof of the newest table gets, and how late a dead path is noticed.
WAIT_S = 2.4
WAIT_MEMBERS_S = 8.0
# After a change, so that those that follow come in one answer.
SETTLE_S = 0.4
# VMs come one after the other at a start, and none is in a hurry to know.
SETTLE_MEMBERS_S = 1.5
RETRY_S = 0.2
RETRY_MAX_S = 0.5
# The store was away if it was silent for so long; entries of upstreams that
# live may have lapsed, and are back this long after its return.
AWAY_S = 2.0
LAPSE_S = 2.0


@attrs.define
class Follower:
    """Read a source, then its changes, for ever."""

    _state: EdgeState
    _source: Source
    _name: str
    _wait_s: float
    _apply: Callable[[View, float], None]
    _settle_s: float = SETTLE_S
    _rng: random.Random = attrs.field(factory=random.Random)
    _failures: int = 0
    _answered_at: float | None = None
    _version: int | None = None

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except LostHistoryError as error:
                self._state.event_log.emit(
                    events.HISTORY_LOST,
                    source=self._name,
                    detail=error.detail,
                )
                self._version = None
            except CodedError as error:
                await self._pause(error)

    async def _step(self) -> None:
        version = self._version
        if version is None:
            view = await self._source.read()
        else:
            view = await self._source.follow(version, self._wait_s)
        now = boot_time()
        self._count('answered')
        self._note_return(now)
        self._apply(view, now)
        self._version = max(view.version, version or 0)
        if version is not None and view.changes:
            await trio.sleep(self._settle_s)

    def _note_return(self, now: float) -> None:
        if self._failures:
            self._state.event_log.emit(
                events.STORE_REGAINED,
                source=self._name,
                failures=self._failures,
            )
        self._failures = 0
        last = self._answered_at
        self._answered_at = now
        self._state.store_heard_at = now
        if last is not None and now - last > self._wait_s + AWAY_S:
            self._state.directory.expect_lapses(now + LAPSE_S)

    def _count(self, outcome: str) -> None:
        self._state.metrics.store_calls.labels(self._name, outcome).inc()

    async def _pause(self, error: CodedError) -> None:
        self._count(error.code)
        if not self._failures:
            self._state.event_log.emit(
                events.STORE_LOST,
                source=self._name,
                code=error.code,
                detail=error.detail,
            )
        self._failures += 1
        pause_s = min(RETRY_MAX_S, RETRY_S * self._failures)
        await trio.sleep(pause_s * self._rng.uniform(0.5, 1))


@attrs.define
class StateKeeper:
    """Bring what the sources say into the VM's state."""

    _state: EdgeState
    _evacuations: dict[str, Evacuation] = attrs.field(factory=dict)
    # Rows of operators that can't be read: what they say is not known.
    _unread: set[str] = attrs.field(factory=set)

    def apply_operators(
        self,
        view: View[RouteTable | Evacuation],
        now: float,
    ) -> None:
        """Take routes and evacuations."""
        if view.is_whole:
            self._evacuations.clear()
            self._unread.clear()
        for change in view.changes:
            self._note_problem('operators', change.key, change.problem)
            self._unread.discard(change.key)
            if change.problem:
                self._unread.add(change.key)
                continue
            if isinstance(change.state, RouteTable):
                self._adopt(change.state)
            elif isinstance(change.state, Evacuation):
                self._evacuations[change.key] = change.state
            else:
                self._evacuations.pop(change.key, None)
        if not self._unread:
            self._state.freshness.prove(self._given_at(view, now))
        self._evacuate(now)

    def apply_upstreams(self, view: View[Registration], now: float) -> None:
        """Take what upstreams say of themselves."""
        directory = self._state.directory
        if view.is_whole:
            named = [change.key for change in view.changes if change.state]
            directory.keep_only(named, now)
        removed: list[str] = []
        for change in view.changes:
            self._note_problem('upstreams', change.key, change.problem)
            if change.state is None:
                removed.append(change.key)
            else:
                upstream = directory.register(change.state, now)
                self._state.event_log.emit(
                    events.UPSTREAM_LISTED,
                    upstream=change.key,
                    service=change.state.service,
                    condition=upstream.condition.value if upstream else 'gone',
                    sequence=change.state.sequence,
                    cold_for_s=change.state.cold_for_s,
                )
        for name in directory.unregister(removed, now):
            self._state.event_log.emit(events.UPSTREAM_GONE, upstream=name)

    def apply_members(self, view: View[Member], now: float) -> None:
        """Take the list of VMs."""
        fleet = self._state.fleet
        if view.is_whole:
            named = {change.key for change in view.changes if change.state}
            for vm in set(fleet.names) - named:
                fleet.forget(vm)
        for change in view.changes:
            self._note_problem('members', change.key, change.problem)
            if change.state is None:
                fleet.forget(change.key)
            else:
                fleet.enlist(change.state, now)

    def _given_at(self, view: View, now: float) -> float:
        """Return a time, not before which the store gave the answer."""
        if view.store_now is None:
            return view.asked_at
        clock = self._state.store_clock
        return clock.given_at(view.store_now, view.asked_at, now)

    def _adopt(self, table: RouteTable) -> None:
        before = self._state.table
        if self._state.adopt(table):
            self._state.event_log.emit(
                events.TABLE_IN_FORCE,
                version=table.version,
                before=before.version if before else 0,
                routes=len(table.routes),
                accounts=len(table.accounts),
            )

    def _evacuate(self, now: float) -> None:
        state = self._state
        domains = frozenset(
            one.failure_domain for one in self._evacuations.values()
        )
        if domains == state.directory.evacuated:
            return
        state.directory.evacuate(domains, state.cold_s(), now)
        self._state.event_log.emit(
            events.EVACUATIONS_CHANGED,
            domains=sorted(domains),
        )

    def _note_problem(self, source: str, key: str, problem: str) -> None:
        if problem:
            self._state.event_log.emit(
                events.ROW_MALFORMED,
                source=source,
                key=key,
                detail=problem,
            )
