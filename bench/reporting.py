"""The messages and measurements of the experiment's fleet."""

import attrs

from bench.world import NEAR_S, FakeUpstream
from chestnutshift.regions.model import VmLoad
from chestnutshift.upstreams.loans import Outgoing

PLAN_S = 0.05
REPORT_S = 0.5
STEER_S = 0.2


class Reporting:
    """Carries slot loans, load reports and health between the fakes.

    lag_s makes reports late without telling; factor makes them too low.
    """

    def __init__(self, fleet) -> None:
        """Serve a fleet with timely and true reports."""
        self.lag_s = 0.1
        self.factor: float = 1
        self._fleet = fleet
        self._clock = fleet.clock

    def begin(self) -> None:
        """Carry from now on."""
        if self._fleet.policies.slots == 'divided':
            self._clock.every(PLAN_S, self._plan)
        self._clock.every(REPORT_S, self._report)
        self._clock.every(STEER_S, self._steer)

    def _plan(self) -> None:
        for vm in self._fleet.vms.values():
            domain = vm.place.failure_domain
            peers = [
                f'{domain}-{number}'
                for number in (0, 1)
                if not vm.place.vm.endswith(f'-{number}')
            ]
            messages = vm.slot_lending.plan(self._clock.now, vm.lengths, peers)
            self._send(messages)

    def _send(self, messages: list[Outgoing]) -> None:
        for message in messages:
            self._clock.after(NEAR_S, self._receive, message)

    def _receive(self, sent: Outgoing) -> None:
        vm = self._fleet.vms[sent.recipient]
        self._send(
            vm.slot_lending.handle_message(sent.message, self._clock.now)
        )
        for service in vm.queues:
            vm.pump(service)

    def _report(self) -> None:
        now = self._clock.now
        for upstream in self._fleet.upstreams:
            load = self.factor * upstream.running / upstream.spec.slots
            self._clock.after(self.lag_s, self._hear_load, upstream, load)
        for vm in self._fleet.vms.values():
            for service in vm.queues:
                slots, busy = vm.table.service_load(service, now)
                in_use = int(busy * self.factor)
                wait_s = vm.queues[service].wait_s('', slots)
                load = VmLoad(vm.place, service, slots, in_use, now, wait_s)
                self._clock.after(self.lag_s, self._hear_vm, load)

    def _hear_load(self, upstream: FakeUpstream, load: float) -> None:
        for vm in self._fleet.vms.values():
            link = vm.links.get(upstream.spec.name)
            if link:
                link.candidate.record_report(load, self._clock.now)

    def _hear_vm(self, load: VmLoad) -> None:
        told = attrs.evolve(load, measured_at=self._clock.now)
        for vm in self._fleet.vms.values():
            others = vm.place != load.place
            if others and self._fleet.reach(vm.place, load.place):
                vm.loads.record(told)

    def _steer(self) -> None:
        services = frozenset(self._fleet.callers.loads)
        for vm in self._fleet.vms.values():
            vm.steering.advance(services, self._clock.now)
