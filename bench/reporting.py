"""The periodic messages between the VMs of a simulated fleet."""

import attrs

from bench.model import SAME_REGION_DELAY_S, FakeUpstream
from chestnutshift.regions.model import VmLoad
from chestnutshift.upstreams.loans import Outgoing

PLAN_PERIOD_S = 0.05
REPORT_PERIOD_S = 0.5
STEERING_PERIOD_S = 0.2


class Reporting:
    """Carries slot loans and load reports, and advances the steering.

    Load reports arrive lag_s late but look current; load_factor scales the
    reported loads.
    """

    def __init__(self, fleet) -> None:
        """Create the reporting of a fleet, with prompt and accurate reports."""
        self.lag_s = 0.1
        self.load_factor: float = 1
        self._fleet = fleet
        self._clock = fleet.clock

    def start(self) -> None:
        """Start the periodic messages."""
        if self._fleet.policies.slots == 'divided':
            self._clock.every(PLAN_PERIOD_S, self._plan)
        self._clock.every(REPORT_PERIOD_S, self._report)
        self._clock.every(STEERING_PERIOD_S, self._steer)

    def _plan(self) -> None:
        for vm in self._fleet.vms.values():
            domain = vm.place.failure_domain
            peers = [
                f'{domain}-{number}'
                for number in (0, 1)
                if not vm.place.vm.endswith(f'-{number}')
            ]
            messages = vm.slot_lending.plan(
                self._clock.now, vm.queue_lengths, peers
            )
            self._send(messages)

    def _send(self, messages: list[Outgoing]) -> None:
        for message in messages:
            self._clock.after(SAME_REGION_DELAY_S, self._receive, message)

    def _receive(self, outgoing: Outgoing) -> None:
        vm = self._fleet.vms[outgoing.recipient]
        self._send(
            vm.slot_lending.handle_message(outgoing.message, self._clock.now)
        )
        for service in vm.queues:
            vm.start_queued(service)

    def _report(self) -> None:
        now = self._clock.now
        for upstream in self._fleet.upstreams:
            load = self.load_factor * upstream.running / upstream.spec.slots
            self._clock.after(
                self.lag_s, self._record_upstream_load, upstream, load
            )
        for vm in self._fleet.vms.values():
            for service in vm.queues:
                slots, busy = vm.table.service_load(service, now)
                in_use = int(busy * self.load_factor)
                wait_s = vm.queues[service].wait_s('', slots)
                load = VmLoad(vm.place, service, slots, in_use, now, wait_s)
                self._clock.after(self.lag_s, self._record_vm_load, load)

    def _record_upstream_load(
        self, upstream: FakeUpstream, load: float
    ) -> None:
        for vm in self._fleet.vms.values():
            link = vm.links.get(upstream.spec.name)
            if link:
                link.candidate.record_report(load, self._clock.now)

    def _record_vm_load(self, load: VmLoad) -> None:
        received = attrs.evolve(load, measured_at=self._clock.now)
        for vm in self._fleet.vms.values():
            is_other = vm.place != load.place
            if is_other and self._fleet.is_reachable(vm.place, load.place):
                vm.loads.record(received)

    def _steer(self) -> None:
        services = frozenset(self._fleet.callers.loads)
        for vm in self._fleet.vms.values():
            vm.steering.advance(services, self._clock.now)
