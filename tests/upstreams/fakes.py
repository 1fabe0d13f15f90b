"""A failure domain's VMs with a network that loses, delays and repeats."""

import random

import attrs

from chestnutshift.upstreams.division import Seat, UpstreamSlots
from chestnutshift.upstreams.exchange import SlotExchange
from chestnutshift.upstreams.loans import LoanTerms, Message
from chestnutshift.upstreams.slots import SlotLease, SlotTable

TERMS = LoanTerms(start_s=2, run_s=5, margin_s=1)
UPSTREAMS = (
    UpstreamSlots('listings-1', 'listings', 9),
    UpstreamSlots('listings-2', 'listings', 9),
    UpstreamSlots('documents-1', 'documents', 3),
)


@attrs.define(eq=False)
class Running:
    """A request that an upstream runs until it ends or its deadline."""

    lease: SlotLease
    deadline_at: float
    started: bool = False


@attrs.define
class FakeVm:
    """One VM's slots, and the requests that it has at upstreams."""

    seat: Seat
    table: SlotTable
    exchange: SlotExchange
    running: list[Running] = attrs.field(factory=list)
    frozen: bool = False


def start_vm(seat: Seat) -> FakeVm:
    """Start a VM at a seat."""
    table = SlotTable(seat, UPSTREAMS, TERMS)
    return FakeVm(seat, table, SlotExchange(table))


@attrs.define(eq=False)
class Domain:
    """The VMs of one failure domain and the messages between them."""

    rng: random.Random
    vms: dict[str, FakeVm] = attrs.field(factory=dict)
    mail: list[tuple[str, Message]] = attrs.field(factory=list)
    now: float = 0

    def start(self, names: tuple[str, ...]) -> 'Domain':
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
        """Let one VM send what is due."""
        peers = [peer for peer in self.vms if peer != name]
        sent = self.vms[name].exchange.plan(self.now, waiting, peers)
        self.mail.extend((out.recipient, out.message) for out in sent)

    def deliver(self, index: int, *, again: bool = False) -> None:
        """Deliver one message; it stays to come again where asked."""
        recipient, message = self.mail[index]
        if not again:
            self.mail.pop(index)
        answers = self.vms[recipient].exchange.handle_message(message, self.now)
        self.mail.extend((out.recipient, out.message) for out in answers)

    def settle_mail(self) -> None:
        """Deliver everything in order."""
        while self.mail:
            self.deliver(0)

    def take(self, name: str, upstream: str) -> Running | None:
        """Take a slot; the request is not sent yet."""
        vm = self.vms[name]
        lease = vm.table.acquire(upstream, self.now)
        if lease is None:
            return None
        running = Running(lease, self.now + TERMS.run_s)
        vm.running.append(running)
        return running

    def send(self, running: Running) -> bool:
        """Send a request whose lease permits it still."""
        if not running.lease.may_start(self.now):
            return False
        running.started = True
        return True

    def finish(self, name: str, running: Running) -> None:
        """End a request and give its slot back."""
        vm = self.vms[name]
        vm.running.remove(running)
        vm.table.release(running.lease, self.now)

    def load(self, upstream: str) -> int:
        """Count what an upstream runs; it ends requests at the deadline."""
        return sum(
            1
            for vm in self.vms.values()
            for running in vm.running
            if running.lease.upstream == upstream
            and running.started
            and self.now < running.deadline_at
        )
