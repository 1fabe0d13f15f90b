"""Policies that admit requests over a fleet of seats, and their comparison.

Run `python -m bench.admission SEED` for the table of all policies and cases.
"""

import random
import sys
from collections.abc import Collection, Coroutine

import attrs

from bench.admission_cases import CASES, HEADING, run_case
from bench.admission_network import Network
from chestnutshift.accounts.admission import Admission
from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.accounts.keeper import SeatKeeper, SeatRow
from chestnutshift.accounts.loans import LoanGrant, LoanRequest, Peer
from chestnutshift.accounts.seats import SeatRecord
from chestnutshift.configuration.model import AccountLimit, SharesPreset
from chestnutshift.events.log import EventLog
from chestnutshift.exceptions import CodedError
from chestnutshift.registry import Registry

PLAN_S = 0.02
RENEW_S = 2.0
LIST_LAG_S = 5.0

ADMISSIONS: Registry[type['FleetAdmission']] = Registry('admission policy')


class FleetAdmission:
    """One policy for a whole fleet, driven by simulated time in seconds."""

    def __init__(
        self,
        seats: tuple[str, ...],
        region_of: dict[str, str],
        limits: dict[str, AccountLimit],
        rng: random.Random,
    ) -> None:
        """Start all seats at time zero."""
        self.seats = seats
        self.limits = limits
        self.rng = rng
        self.network = Network(region_of, rng)
        self.platform_up = True
        self.frozen: set[str] = set()

    def admit(self, seat: str, account: str, now: float) -> bool:
        """Tell whether the seat admits a request of the account."""
        raise NotImplementedError

    def advance(self, now: float) -> None:
        """Let time pass; call it every 10 ms."""

    def cut(self, group_a: Collection[str], group_b: Collection[str]) -> None:
        """Cut two groups of seats; 'platform' may be a member."""
        self.network.cut(group_a, group_b)

    def heal(self) -> None:
        """End all cuts."""
        self.network.heal()

    def set_platform(self, up: bool) -> None:
        """Start or end an outage of the platform."""
        self.platform_up = up

    def restart(self, seat: str, now: float) -> None:
        """Replace the VM at the seat by a new one at once, as in a crash."""

    def freeze(self, seat: str, now: float) -> None:
        """Pause the VM at the seat."""
        self.frozen.add(seat)

    def thaw(self, seat: str, now: float) -> None:
        """Let the VM at the seat run on."""
        self.frozen.discard(seat)


@attrs.define
class _Table:
    """The platform's table of seats, reached from one seat."""

    fleet: 'Escrow'
    seat: str

    async def read(self, seat: str) -> SeatRow | None:
        """Return the row; raise CodedError while it can't be reached."""
        self._check()
        return self.fleet.rows.get(seat)

    async def write(
        self,
        seat: str,
        record: SeatRecord,
        version: int | None,
        operation_id: str,
    ) -> None:
        """Write the row; raise CodedError where that fails."""
        self._check()
        row = self.fleet.rows.get(seat)
        if version != (row and row.version):
            raise CodedError('conflict')
        self.fleet.rows[seat] = SeatRow(record, (version or 0) + 1)
        if self.fleet.rng.random() < self.fleet.lost_answers:
            raise CodedError('outcome unknown')

    def _check(self) -> None:
        network = self.fleet.network
        if not self.fleet.platform_up or network.is_cut(self.seat, 'platform'):
            raise CodedError('unavailable')


@ADMISSIONS.register('escrow')
class Escrow(FleetAdmission):
    """The product's code: shares of seats under leases, and loans."""

    lends = True
    holds = False
    wait_s: float = 0
    shares = SharesPreset()
    lost_answers: float = 0

    def __init__(self, *args, **settings) -> None:
        """Start one VM incarnation at each seat."""
        super().__init__(*args, **settings)
        self.rows: dict[str, SeatRow] = {}
        self.gone_at: dict[str, float] = {}
        self.vms: dict[str, Admission] = {}
        self.keepers: dict[str, SeatKeeper] = {}
        self.now: float = 0
        self.wait_s: float = 0
        self._started = 0
        self._renew_at = {
            seat: index * RENEW_S / len(self.seats)
            for index, seat in enumerate(self.seats)
        }
        self._plan_at: float = 0
        for seat in self.seats:
            self._start(seat)
            self._renew(seat)

    def admit(self, seat: str, account: str, now: float) -> bool:
        """Ask the VM at the seat."""
        decision = self.vms[seat].admit(account, now)
        self.wait_s = decision.wait_s if self.holds else 0
        return decision.admitted

    def admit_held(self, seat: str, account: str, now: float) -> bool:
        """Ask again for a request that the VM holds."""
        return self.vms[seat].admit(account, now, repeated=True).admitted

    def advance(self, now: float) -> None:
        """Deliver messages, renew leases, plan loans."""
        arrived = self.network.deliver(
            now,
            lambda seat: seat not in self.frozen,
        )
        for moment, source, target, body in arrived:
            self.now = max(self.now, moment)
            self._receive(source, target, body)
        self.now = now
        for seat in self.seats:
            if now >= self._renew_at[seat] and seat not in self.frozen:
                self._renew_at[seat] = now + RENEW_S
                self._renew(seat)
        if now < self._plan_at:
            return
        self._plan_at = now + PLAN_S
        for seat in self.seats:
            if seat not in self.frozen:
                self._plan(seat)

    def restart(self, seat: str, now: float) -> None:
        """Start a new incarnation; the list learns of it LIST_LAG_S later."""
        self.now = now
        self.gone_at[self.keepers[seat]._vm] = now + LIST_LAG_S
        self.frozen.discard(seat)
        self._start(seat)
        self._renew(seat)

    async def is_gone(self, vm: str) -> bool:
        """Tell whether the platform's list has lost the incarnation."""
        return self.gone_at.get(vm, self.now + 1) <= self.now

    def _start(self, seat: str) -> None:
        self._started += 1
        vm = f'{seat}:{self._started}'
        admission = Admission(vm, len(self.seats), self.rng)
        admission.configure(self.limits, self.now, self.shares.loan_s)
        region_of = self.network.region_of
        admission.connect(
            tuple(
                Peer(other, near=region_of[other] == region_of[seat])
                for other in self.seats
                if other != seat and self.lends
            ),
        )
        self.vms[seat] = admission
        self.keepers[seat] = SeatKeeper(
            seat,
            vm,
            _Table(self, seat),
            self.is_gone,
            EventLog(vm),
            clock=lambda: self.now,
        )

    def _renew(self, seat: str) -> None:
        admission = self.vms[seat]
        step = self.keepers[seat].step(self.shares, admission.settle_s)
        admission.renewed(_finish(step), self.now)

    def _plan(self, seat: str) -> None:
        for request in self.vms[seat].plan(self.now):
            self.network.send(seat, request.peer, request, self.now)

    def _receive(self, source: str, target: str, body: object) -> None:
        admission = self.vms[target]
        if isinstance(body, LoanGrant):
            admission.handle_grant(source, body, self.now)
        elif isinstance(body, LoanRequest):
            grant = admission.handle_request(source, body, self.now)
            if grant is not None:
                self.network.send(target, source, grant, self.now)


@ADMISSIONS.register('escrow-hold')
class EscrowHold(Escrow):
    """As above; a VM holds a request while it asks peers for tokens."""

    holds = True


@ADMISSIONS.register('static')
class Static(Escrow):
    """Equal division under leases; nothing moves."""

    lends = False


@ADMISSIONS.register('unlimited-local')
class UnlimitedLocal(FleetAdmission):
    """Each VM grants the whole rate and burst by itself."""

    def __init__(self, *args, **settings) -> None:
        """Give each seat a whole bucket of each account."""
        super().__init__(*args, **settings)
        self._buckets = {
            (seat, account): TokenBucket(limit.rate, limit.burst, updated=0)
            for seat in self.seats
            for account, limit in self.limits.items()
        }

    def admit(self, seat: str, account: str, now: float) -> bool:
        """Take a token of the seat's own bucket."""
        return self._buckets[seat, account].take(1, now)


def _finish(step: Coroutine) -> object:
    """Run a coroutine that never waits."""
    try:
        step.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError('the fake platform must not wait')


def main(seed: int) -> None:
    """Print the table: case x policy."""
    print(HEADING)
    for case in CASES:
        for policy in ADMISSIONS:
            outcome = run_case(case, ADMISSIONS.get(policy), seed)
            print(outcome.as_line(case, policy))


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
