"""Long-poll the store's tables and apply their changes to the state."""

import math
import random
from collections.abc import Callable

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.exceptions import EarlierEraError, LostHistoryError
from chestnutshift.edge.state import LAPSE_GRACE_S, EdgeState
from chestnutshift.edge.store_tables import Evacuation, Source, View
from chestnutshift.exceptions import CodedError
from chestnutshift.fleet.members import Member
from chestnutshift.fleet.store_polling import PollPace, StorePosition
from chestnutshift.fleet.view import FleetView
from chestnutshift.routes.model import RouteTable
from chestnutshift.steering.upstreams import Registration

RETRY_S = 0.2
RETRY_MAX_S = 0.5


@attrs.define
class TablePoller:
    """Reads a table, then long-polls for its changes.

    pace returns how long a poll waits for changes, and the pause after a
    change.
    """

    _state: EdgeState
    _source: Source
    _name: str
    _pace: Callable[[], PollPace]
    _apply: Callable[[View, float], None]
    _rng: random.Random = attrs.field(factory=random.Random)
    _failures: int = 0
    _position: StorePosition | None = None
    _open_poll: trio.CancelScope | None = None
    _skips_wait: bool = False

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self._step()
            except LostHistoryError as error:
                self._state.event_log.emit(
                    events.HISTORY_LOST,
                    source=self._name,
                    detail=error.detail,
                )
                self._position = None
            except CodedError as error:
                await self._back_off(error)

    def poll_now(self, now: float) -> None:
        """Cancel the open long poll and poll again without waiting."""
        if self._open_poll is None or self._skips_wait:
            return
        self._skips_wait = True
        self._open_poll.cancel()
        self._count('hurried')
        age_s = self._state.freshness.age_s(now)
        self._state.event_log.emit(
            events.POLL_RESTARTED,
            source=self._name,
            proof_age_s=round(age_s, 3),
        )

    def poll_if_outdated(self, now: float) -> None:
        """Poll again at once if the store is in a later era by now."""
        position = self._position
        if position is not None and position.era < self._state.store_era:
            self.poll_now(now)

    async def _step(self) -> None:
        position = self._position
        view = await self._poll(position)
        if view is None:
            return
        if not view.era:
            view = attrs.evolve(view, era=self._state.store_era)
        now = boot_time()
        self._count('answered')
        self._log_recovery()
        self._check_era(view)
        self._state.record_store_answer(now, now)
        self._apply(view, now)
        self._position = max(view.position, position or StorePosition())
        if position is not None and view.changes:
            await trio.sleep(self._pace().settle_s)

    async def _poll(self, position: StorePosition | None) -> View | None:
        """Return the answer, or None if the poll was cancelled."""
        if position is None or position.era < self._state.store_era:
            return await self._source.read()
        version = position.version
        wait_s = 0 if self._skips_wait else self._pace().wait_s
        if not wait_s:
            self._skips_wait = False
            return await self._source.follow(version, wait_s)
        with trio.CancelScope() as poll_scope:
            self._open_poll = poll_scope
            try:
                return await self._source.follow(version, wait_s)
            finally:
                self._open_poll = None
        return None

    def _check_era(self, view: View) -> None:
        """Raise an error unless the view follows in the current era.

        In a later era versions were given out again, so that changes after a
        version known before are not all that is new: LostHistoryError.
        """
        before = self._state.store_era
        if self._state.record_era(view.era):
            self._state.event_log.emit(
                events.STORE_RETURNED,
                source=self._name,
                era=view.era,
                before=before,
                version=view.version,
                known_version=self._position.version if self._position else 0,
            )
        if view.era < self._state.store_era:
            raise EarlierEraError(f'an answer of era {view.era}')
        if not view.is_whole and view.era > self._position.era:
            raise LostHistoryError(f'the store is in era {view.era}')

    def _log_recovery(self) -> None:
        if self._failures:
            self._state.event_log.emit(
                events.STORE_REGAINED,
                source=self._name,
                failures=self._failures,
            )
        self._failures = 0

    def _count(self, outcome: str) -> None:
        self._state.metrics.store_calls.labels(self._name, outcome).inc()

    async def _back_off(self, error: CodedError) -> None:
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
class StateUpdater:
    """Applies views of the store's tables to the VM's state."""

    _state: EdgeState
    _evacuations: dict[str, Evacuation] = attrs.field(factory=dict)
    # Evacuations that an older copy of the store lacks, and until when they
    # stay in force unless the operator asks for them again.
    _held: dict[str, Evacuation] = attrs.field(factory=dict)
    _held_until: float = -math.inf
    # The newest position of the views of each table.
    _positions: dict[str, StorePosition] = attrs.field(factory=dict)
    # Malformed operator rows: their content is unknown, so no proof counts.
    _malformed_keys: set[str] = attrs.field(factory=set)

    def apply_operators(
        self,
        view: View[RouteTable | Evacuation],
        now: float,
    ) -> None:
        """Apply the route table and evacuations."""
        self._state.operators_changes.record_answer(
            view.changed_position, view.position
        )
        self._prepare_for_copy(view, now)
        if view.is_whole:
            self._evacuations.clear()
            self._malformed_keys.clear()
        for change in view.changes:
            self._log_malformed_row('operators', change.key, change.problem)
            self._malformed_keys.discard(change.key)
            if change.problem:
                self._malformed_keys.add(change.key)
                continue
            self._held.pop(change.key, None)
            if isinstance(change.state, RouteTable):
                self._adopt(change.state)
            elif isinstance(change.state, Evacuation):
                self._evacuations[change.key] = change.state
            else:
                self._evacuations.pop(change.key, None)
        if not self._malformed_keys and not self._state.is_in_doubt(now):
            self._state.record_proof(self._sent_at_bound(view, now), now)
        self._evacuate(now)

    def end_held_evacuations(self, now: float) -> None:
        """End those that the operator did not ask for again in time."""
        if self._held and now >= self._held_until:
            self._held.clear()
            self._evacuate(now)

    def apply_upstreams(self, view: View[Registration], now: float) -> None:
        """Apply the registrations of upstreams."""
        directory = self._state.directory
        self._state.upstreams_changes.record_answer(
            view.changed_position, view.position
        )
        is_copy = self._is_copy('upstreams', view)
        if view.is_whole:
            listed = [change.key for change in view.changes if change.state]
            grace_s = LAPSE_GRACE_S if is_copy else 0
            directory.keep_only(listed, now, grace_s)
        removed: list[str] = []
        # A view may list a row several times, with its newest state last.
        latest = {change.key: change for change in view.changes}
        for change in latest.values():
            self._log_malformed_row('upstreams', change.key, change.problem)
            if change.state is None:
                removed.append(change.key)
            else:
                upstream = directory.register(
                    change.state, now, is_copy=is_copy
                )
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
        """Apply the list of VMs."""
        fleet = self._state.fleet
        is_copy = self._is_copy('members', view)
        if view.is_whole:
            fleet.keep_only({change.key for change in view.changes}, now)
        for change in view.changes:
            self._log_malformed_row('members', change.key, change.problem)
            if change.state is None:
                fleet.remove_member(change.key)
            elif not (is_copy and _is_earlier(fleet, change.state)):
                fleet.add_member(change.state, now)
        self._check_registration(view)

    def _prepare_for_copy(self, view: View, now: float) -> None:
        """Note what an older copy of the operators' table may lack."""
        bounds = self._state.settings.bounds
        is_first = 'operators' not in self._positions
        is_copy = self._is_copy('operators', view)
        if is_first or is_copy:
            self._state.doubted_until = now + bounds.withdrawal_s
        if is_copy:
            self._held |= self._evacuations
            self._held_until = now + bounds.evacuation_s

    def _check_registration(self, view: View[Member]) -> None:
        """Have this VM register again if the store lacks its row."""
        state = self._state
        rows = [
            change.state
            for change in view.changes
            if change.key == state.settings.vm
        ]
        is_registered = any(
            row and row.incarnation == state.incarnation for row in rows
        )
        if not is_registered and (rows or view.is_whole):
            state.registration_lost.set()

    def _is_copy(self, source: str, view: View) -> bool:
        """Return whether the view may lack rows that are known.

        That is the first view of the table after the store returned from an
        older copy, and a whole view from behind one that was applied before.
        """
        before = self._positions.get(source)
        position = view.position
        if before is None:
            self._positions[source] = position
            return False
        self._positions[source] = max(position, before)
        is_behind = view.is_whole and position < before
        return is_behind or position.era > before.era

    def _sent_at_bound(self, view: View, now: float) -> float:
        """Return a time at or before the store's answer."""
        if view.store_now is None:
            return view.requested_at
        clock = self._state.store_clock
        return clock.sent_at_bound(view.store_now, view.requested_at, now)

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
            evacuation.failure_domain
            for evacuation in (self._held | self._evacuations).values()
        )
        if domains == state.directory.evacuated:
            return
        state.directory.evacuate(domains, state.cold_s(), now)
        self._state.event_log.emit(
            events.EVACUATIONS_CHANGED,
            domains=sorted(domains),
        )

    def _log_malformed_row(self, source: str, key: str, problem: str) -> None:
        if problem:
            self._state.event_log.emit(
                events.ROW_MALFORMED,
                source=source,
                key=key,
                detail=problem,
            )


def _is_earlier(fleet: FleetView, member: Member) -> bool:
    """Return whether the row is of an earlier run of a known VM."""
    known = fleet.find(member.vm)
    return known is not None and member.incarnation < known.member.incarnation
