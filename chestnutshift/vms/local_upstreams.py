"""The upstreams of a VM's failure domain, and the VM's use of them."""

import random
from collections.abc import Iterable

from chestnutshift.conf.settings import Settings
from chestnutshift.configuration.model import Preset
from chestnutshift.events.log import EventLog
from chestnutshift.regions.model import Place
from chestnutshift.storage.records import ListedState
from chestnutshift.upstreams.candidates import CandidatePool
from chestnutshift.upstreams.directory import UpstreamDirectory
from chestnutshift.upstreams.dispatch import Dispatcher
from chestnutshift.upstreams.division import Seat, UpstreamSlots
from chestnutshift.upstreams.exceptions import NoUpstreamError
from chestnutshift.upstreams.health import HealthTable
from chestnutshift.upstreams.lending import SlotLending
from chestnutshift.upstreams.loans import LoanTerms
from chestnutshift.upstreams.model import ServiceLoad
from chestnutshift.upstreams.slots import SlotTable

NO_SEAT_RETRY_S = 2.0


class LocalUpstreams:
    """Slots, queues and health of the upstreams in a VM's failure domain.

    A VM without a seat has no slots: another process may use them.
    """

    def __init__(
        self,
        settings: Settings,
        rng: random.Random,
        event_log: EventLog,
    ) -> None:
        """Create the state without a seat, slots or upstreams."""
        self._settings = settings
        self._rng = rng
        self._event_log = event_log
        self._preset: Preset | None = None
        self._fence = 0
        self._table: SlotTable | None = None
        self.health = HealthTable()
        self.directory = UpstreamDirectory(len(self.domain_vms))
        self.slot_lending: SlotLending | None = None
        self.pool: CandidatePool | None = None
        self._dispatcher: Dispatcher | None = None

    @property
    def place(self) -> Place:
        """The name, failure domain and region of this VM."""
        vm = self._settings.vm
        return Place(vm.name, vm.failure_domain, vm.region)

    @property
    def table(self) -> SlotTable | None:
        """The slot table, None until this VM first holds a seat."""
        return self._table

    @property
    def dispatcher(self) -> Dispatcher:
        """The dispatcher of slots; raises NoUpstreamError without a seat."""
        if self._dispatcher is None:
            raise NoUpstreamError('this VM holds no seat', NO_SEAT_RETRY_S)
        return self._dispatcher

    @property
    def domain_vms(self) -> tuple[str, ...]:
        """The VMs of this failure domain, this one included, sorted by name."""
        vm = self._settings.vm
        peers = self._settings.peers.vms
        others = (
            peer.name
            for peer in peers
            if peer.failure_domain == vm.failure_domain
        )
        return tuple(sorted((vm.name, *others)))

    def adopt(self, preset: Preset) -> None:
        """Apply a new preset."""
        self._preset = preset
        if self.pool is not None:
            self.pool.adopt(preset.upstreams)

    def apply_seat(self, fence: int, now: float) -> None:
        """Create the slot table after the seat was acquired with a new fence.

        fence is the fencing token of the seat.
        """
        if fence == self._fence or self._preset is None:
            return
        if self.pool is not None and any(self.pool.in_flight.values()):
            # Slots of the former lease are in use: accept no requests, and
            # create the new table on a later call.
            self._dispatcher = None
            return
        self._fence = fence
        vms = self.domain_vms
        seat = Seat(
            vm=self._settings.vm.name,
            region=self._settings.vm.region,
            position=vms.index(self._settings.vm.name),
            positions=len(vms),
            incarnation=fence,
            joined_at=now,
        )
        terms = LoanTerms(
            start_s=self._preset.shares.loan_s,
            run_s=self._preset.deadline_s,
        )
        table = SlotTable(
            seat,
            self._domain_slots(),
            terms,
            self._preset.shift.region_ceiling,
        )
        self._table = table
        self.slot_lending = SlotLending(table)
        self.pool = CandidatePool(
            table,
            self.health,
            self._preset.upstreams,
            self._rng,
            self._event_log,
        )
        self._dispatcher = Dispatcher(table, self.pool)
        table.queue_lengths = self._dispatcher.queue_lengths

    def update_directory(self, records: Iterable, now: float) -> None:
        """Apply the platform's list of upstreams."""
        self.directory.update(records)
        leaving = [
            upstream.name
            for upstream in self.directory
            if upstream.record.state is ListedState.LEAVING
        ]
        live = [
            upstream.name
            for upstream in self.directory
            if upstream.record.state is ListedState.LIVE
        ]
        changes = self.health.record_list(live, leaving, now)
        if self.pool is not None:
            self.pool.log_transitions(changes)
        if self._table is not None:
            self._table.division.update(self._domain_slots())

    def close_upstreams(self, drained: frozenset[str]) -> None:
        """Send no new work to upstreams that are drained, leaving or gone."""
        if self._table is not None:
            self._table.closed = drained | self.health.closed()

    def headroom(self, now: float) -> float:
        """Return the free fraction, 0 to 1, of this VM's usable slots."""
        loads = self.loads(now)
        slots = sum(load.slots for load in loads.values())
        if not slots:
            return 0
        return 1 - sum(load.in_use for load in loads.values()) / slots

    def loads(self, now: float) -> dict[str, ServiceLoad]:
        """Return this VM's load by service."""
        if self._table is None or self._dispatcher is None:
            return {}
        return {
            service: ServiceLoad(
                *self._table.service_load(service, now),
                wait_s=self._dispatcher.expected_wait_s(service, now),
            )
            for service in self._table.division
        }

    def _domain_slots(self) -> list[UpstreamSlots]:
        domain = self._settings.vm.failure_domain
        return [
            UpstreamSlots(
                upstream.name,
                upstream.record.service,
                upstream.record.slots,
            )
            for upstream in self.directory
            if upstream.record.failure_domain == domain
        ]
