"""Look-ups at one VM, and updates of the view that answers them."""

import attrs

from chestnutshift.conf.settings import Settings
from chestnutshift.configuration.model import Preset
from chestnutshift.events.log import EventLog
from chestnutshift.lookup.answers import LookupAnswer, Question
from chestnutshift.lookup.directory import LookupDirectory
from chestnutshift.lookup.outstanding import MoveBudget, OutstandingAnswers
from chestnutshift.lookup.ranking import EntryState, EntryVM
from chestnutshift.lookup.table import TableBuilder
from chestnutshift.lookup.view import LookupView, Shift
from chestnutshift.regions.model import Place
from chestnutshift.vms.membership import Membership, Peer, VmPhase
from chestnutshift.vms.steering import RegionSteering

LIFETIME_MAX_S = 300.0
# Requests per second that each cached answer is assumed to cause.
ANSWER_RATE_PER_S = 1.0
# Moved fraction above which a region counts as drained.
FULLY_MOVED_RATIO = 0.999


class LookupResponder:
    """Answers the look-ups of one VM from an up-to-date view."""

    def __init__(
        self,
        settings: Settings,
        membership: Membership,
        steering: RegionSteering,
        event_log: EventLog,
        now: float,
    ) -> None:
        """Create a view with only this VM, until the first tick."""
        self._settings = settings
        self._membership = membership
        self._steering = steering
        view = LookupView((self._own_entry(1),), TableBuilder().build(0))
        outstanding = OutstandingAnswers(now, LIFETIME_MAX_S)
        self.directory = LookupDirectory(view, outstanding, event_log)

    def answer(
        self,
        question: Question,
        preset: Preset,
        now: float,
    ) -> LookupAnswer:
        """Answer one look-up; raise the errors of malformed questions."""
        return self.directory.answer(question, preset, now)

    def tick(
        self,
        headroom: float,
        phase: VmPhase,
        preset: Preset,
        now: float,
    ) -> None:
        """Update the view that look-ups are answered from."""
        self.directory.update(self._make_view(headroom, phase, preset, now))

    def _make_view(
        self,
        headroom: float,
        phase: VmPhase,
        preset: Preset,
        now: float,
    ) -> LookupView:
        own_entry = self._own_entry(headroom)
        state = EntryState.LIVE if phase is VmPhase.LIVE else EntryState.LEAVING
        entries = [self._mark_drained(attrs.evolve(own_entry, state=state))]
        live_names = {peer.name for peer in self._membership.live_peers(now)}
        for peer in self._membership.peers:
            entry = _peer_entry(peer, is_live=peer.name in live_names)
            entries.append(self._mark_drained(entry))
        return LookupView(
            entries=tuple(entries),
            table=self.directory.table,
            default_order=self._steering.region_order,
            drained_regions=self._drained_regions(now),
            shifts=self._make_shifts(preset, now),
        )

    def _own_entry(self, headroom: float) -> EntryVM:
        vm = self._settings.vm
        return EntryVM(
            name=vm.name,
            url=self._settings.callers.url,
            region=vm.region,
            failure_domain=vm.failure_domain,
            headroom=headroom,
        )

    def _mark_drained(self, entry: EntryVM) -> EntryVM:
        names = {entry.name, entry.failure_domain}
        if names.isdisjoint(self._steering.drain_tracker.targets):
            return entry
        return attrs.evolve(entry, state=EntryState.DRAINED)

    def _regions(self) -> set[str]:
        return {place.region for place in self._steering.places.values()}

    def _drained_regions(self, now: float) -> frozenset[str]:
        return frozenset(
            region
            for region in self._regions() & self._steering.drain_tracker.targets
            if self._moved_fraction(region, now) > FULLY_MOVED_RATIO
        )

    def _moved_fraction(self, region: str, now: float) -> float:
        return self._steering.drain_tracker.moved_fraction(
            Place('', '', region), now
        )

    def _make_shifts(
        self,
        preset: Preset,
        now: float,
    ) -> tuple[Shift, ...]:
        """Return a shift for each region that is being drained."""
        draining = self._regions() & self._steering.drain_tracker.targets
        open_regions = [
            region
            for region in self._steering.region_order
            if region not in draining
        ]
        if not draining or not open_regions:
            return ()
        target = open_regions[0]
        cap = preset.shift.requests_per_s / len(self._steering.places)
        budget = MoveBudget(cap_rate=cap, answer_rate=ANSWER_RATE_PER_S)
        self.directory.budgets.update(
            {(region, target): budget for region in draining},
        )
        return tuple(
            Shift(region, target, self._moved_fraction(region, now))
            for region in sorted(draining)
        )


def _peer_entry(peer: Peer, *, is_live: bool) -> EntryVM:
    address = peer.address
    report = peer.report
    state = EntryState.SILENT
    if is_live and report is not None:
        in_service = report.phase == VmPhase.LIVE
        state = EntryState.LIVE if in_service else EntryState.LEAVING
    return EntryVM(
        name=address.name,
        url=address.url,
        region=address.region,
        failure_domain=address.failure_domain,
        state=state,
        headroom=report.headroom if report else 0,
        last_heartbeat_at=peer.requested_at,
    )
