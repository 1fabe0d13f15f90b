"""Apply views of the store's tables to the state of the VM."""

import attrs

from chestnutshift.edge import events
from chestnutshift.edge.containment import contained, report_fault
from chestnutshift.edge.evacuations import Evacuations
from chestnutshift.edge.state import LAPSE_GRACE_S, EdgeState
from chestnutshift.edge.store_tables import Change, Evacuation, View
from chestnutshift.fleet.members import Member
from chestnutshift.fleet.store_polling import StorePosition
from chestnutshift.fleet.view import FleetView
from chestnutshift.routes.model import RouteTable
from chestnutshift.steering.store_clock import StoreClock
from chestnutshift.steering.upstreams import Registration

# Logged parts of a route table that can't be read; there may be thousands.
PROBLEMS_LOGGED_MAX = 16


@attrs.define
class StateUpdater:
    """Applies views of the store's tables to the VM's state."""

    _state: EdgeState
    _evacuations: Evacuations = attrs.field(factory=Evacuations)
    _store_clock: StoreClock = attrs.field(factory=StoreClock)
    # The newest position of the views of each table.
    _positions: dict[str, StorePosition] = attrs.field(factory=dict)
    # Operator rows that can't be read, with the reason: no proof counts.
    _malformed_rows: dict[str, str] = attrs.field(factory=dict)

    def apply_operators(
        self,
        view: View[RouteTable | Evacuation],
        now: float,
    ) -> None:
        """Apply the route table and evacuations."""
        self._state.operators_changes.record_answer(
            view.changed_position, view.position
        )
        trust = self._state.trust
        self._prepare_for_copy(view, now)
        if view.is_whole:
            self._evacuations.clear_requested()
            self._malformed_rows.clear()
        for change in view.changes:
            self._log_malformed_row('operators', change)
            self._malformed_rows.pop(change.key, None)
            if change.problem:
                self._malformed_rows[change.key] = change.problem
                continue
            if isinstance(change.state, RouteTable):
                self._adopt(change.state)
            else:
                self._evacuations.update(change.key, change.state)
        # A store that returned from an older copy lacks the newest table until
        # the operator writes it again, and proves none.
        trust.table_problem = '; '.join(self._malformed_rows.values())
        if not self._malformed_rows and not trust.is_behind:
            self._state.record_proof(self._sent_at_bound(view, now), now)
        self._evacuate(now)

    def end_held_evacuations(self, now: float) -> None:
        """End those that the operator did not ask for again in time."""
        self._evacuations.end_held(now)
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
            self._log_malformed_row('upstreams', change)
            if change.state is None:
                removed.append(change.key)
                continue
            with contained(self._state, 'row', key=change.key):
                self._register(change.state, now, is_copy=is_copy)
        for name in directory.unregister(removed, now):
            self._state.event_log.emit(events.UPSTREAM_GONE, upstream=name)

    def apply_members(self, view: View[Member], now: float) -> None:
        """Apply the list of VMs."""
        fleet = self._state.fleet
        is_copy = self._is_copy('members', view)
        if view.is_whole:
            fleet.keep_only({change.key for change in view.changes}, now)
        for change in view.changes:
            self._log_malformed_row('members', change)
            if change.state is None:
                fleet.remove_member(change.key)
                continue
            with contained(self._state, 'row', key=change.key):
                if not (is_copy and _is_earlier(fleet, change.state)):
                    fleet.add_member(change.state, now)
        self._check_registration(view)

    def _prepare_for_copy(self, view: View, now: float) -> None:
        """Note what an older copy of the operators' table may lack."""
        bounds = self._state.settings.bounds
        is_first = 'operators' not in self._positions
        is_copy = self._is_copy('operators', view)
        if is_first:
            self._state.trust.hears_peers_by = now + self._state.fleet.silence_s
        if is_first or is_copy:
            self._state.trust.older_copy_until = now + bounds.withdrawal_s
        if is_copy:
            self._evacuations.hold(now + bounds.evacuation_s)

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
        return self._store_clock.sent_at_bound(
            view.store_now, view.requested_at, now
        )

    def _adopt(self, table: RouteTable) -> None:
        before = self._state.table
        if self._state.adopt(table):
            self._state.event_log.emit(
                events.TABLE_IN_FORCE,
                version=table.version,
                before=before.version if before else 0,
                routes=len(table.routes),
                accounts=len(table.accounts),
                unreadable=len(table.problems),
            )
            for problem in table.problems[:PROBLEMS_LOGGED_MAX]:
                self._state.event_log.emit(
                    events.TABLE_PART_UNREADABLE,
                    version=table.version,
                    detail=problem,
                )

    def _evacuate(self, now: float) -> None:
        state = self._state
        domains = self._evacuations.domains
        if domains == state.directory.evacuated:
            return
        state.directory.evacuate(domains, state.cold_s(), now)
        self._state.event_log.emit(
            events.EVACUATIONS_CHANGED,
            domains=sorted(domains),
        )

    def _register(
        self, registration: Registration, now: float, *, is_copy: bool
    ) -> None:
        upstream = self._state.directory.register(
            registration, now, is_copy=is_copy
        )
        self._state.event_log.emit(
            events.UPSTREAM_LISTED,
            upstream=registration.upstream,
            service=registration.service,
            condition=upstream.condition.value if upstream else 'gone',
            sequence=registration.sequence,
            cold_for_s=registration.cold_for_s,
        )

    def _log_malformed_row(self, source: str, change: Change) -> None:
        if change.fault is not None:
            report_fault(self._state, 'row', change.fault, key=change.key)
        if change.problem:
            self._state.metrics.store.rows_malformed.labels(source).inc()
            self._state.event_log.emit(
                events.ROW_MALFORMED,
                source=source,
                key=change.key,
                detail=change.problem,
            )


def _is_earlier(fleet: FleetView, member: Member) -> bool:
    """Return whether the row is of an earlier run of a known VM."""
    known = fleet.find(member.vm)
    return known is not None and member.incarnation < known.member.incarnation
