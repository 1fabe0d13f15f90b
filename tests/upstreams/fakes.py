"""Fake VMs of a failure domain, and a network that can fail in tests.

The network may lose, delay and repeat messages.
"""

import random

import attrs

from chestnutshift.upstreams.division import Seat, UpstreamSlots
from chestnutshift.upstreams.lending import SlotLending
from chestnutshift.upstreams.loans import LoanTerms, Message
from chestnutshift.upstreams.slots import SlotLease, SlotTable

TERMS = LoanTerms(start_s=2, run_s=5, margin_s=1)
UPSTREAMS = (
    UpstreamSlots('listings-1', 'listings', 9),
    UpstreamSlots('listings-2', 'listings', 9),
    UpstreamSlots('documents-1', 'documents', 3),
)


@attrs.define(eq=False)
class RunningRequest:
    """A request that runs until it is finished or until its deadline.

    started tells whether it was sent, after its slot was acquired.
    """

    lease: SlotLease
    deadline_at: float
    started: bool = False


@attrs.define
class FakeVm:
    """A VM's slots, and its requests at upstreams."""

    seat: Seat
    table: SlotTable
    slot_lending: SlotLending
    running: list[RunningRequest] = attrs.field(factory=list)
    paused: bool = False


def start_vm(seat: Seat) -> FakeVm:
    """Return a VM that has just started at a seat."""
    table = SlotTable(seat, UPSTREAMS, TERMS)
    return FakeVm(seat, table, SlotLending(table))


@attrs.define(eq=False)
class FakeDomain:
    """The VMs of one failure domain and the messages between them."""

    rng: random.Random
    vms: dict[str, FakeVm] = attrs.field(factory=dict)
    in_transit: list[tuple[str, Message]] = attrs.field(factory=list)
    now: float = 0

    def start(self, names: tuple[str, ...]) -> 'FakeDomain':
        """Start one VM at each position."""
        for position, name in enumerate(names):
            seat = Seat(name, 'marmara', position, len(names))
            self.vms[name] = start_vm(seat)
        return self

    def restart(self, name: str) -> None:
        """Replace a VM's process; its connections are closed."""
        seat = self.vms[name].seat
        self.vms[name] = start_vm(
            attrs.evolve(
                seat,
                incarnation=seat.incarnation + 1,
                joined_at=self.now,
            ),
        )

    def plan(self, name: str, waiting: dict[str, int]) -> None:
        """Send the messages that are due at one VM."""
        peers = [peer for peer in self.vms if peer != name]
        sent = self.vms[name].slot_lending.plan(self.now, waiting, peers)
        self.in_transit.extend((out.recipient, out.message) for out in sent)

    def deliver(self, index: int, *, again: bool = False) -> None:
        """Deliver one message; with again it stays in transit as a repeat."""
        recipient, message = self.in_transit[index]
        if not again:
            self.in_transit.pop(index)
        answers = self.vms[recipient].slot_lending.handle_message(
            message, self.now
        )
        self.in_transit.extend((out.recipient, out.message) for out in answers)

    def deliver_all(self) -> None:
        """Deliver all messages, and the replies to them, in order."""
        while self.in_transit:
            self.deliver(0)

    def acquire(self, name: str, upstream: str) -> RunningRequest | None:
        """Acquire a slot for a request that is not sent yet."""
        vm = self.vms[name]
        lease = vm.table.acquire(upstream, self.now)
        if lease is None:
            return None
        running = RunningRequest(lease, self.now + TERMS.run_s)
        vm.running.append(running)
        return running

    def send(self, running: RunningRequest) -> bool:
        """Send a request if its lease still permits that."""
        if not running.lease.may_start(self.now):
            return False
        running.started = True
        return True

    def finish(self, name: str, running: RunningRequest) -> None:
        """End a request and release its slot."""
        vm = self.vms[name]
        vm.running.remove(running)
        vm.table.release(running.lease, self.now)

    def running_at(self, upstream: str) -> int:
        """Count the requests that run at an upstream before their deadline."""
        return sum(
            1
            for vm in self.vms.values()
            for running in vm.running
            if running.lease.upstream == upstream
            and running.started
            and self.now < running.deadline_at
        )
