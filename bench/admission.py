"""Policies of admission; `python -m bench.admission SEED` compares them."""

import sys
from collections import defaultdict

import attrs

from bench.admission_base import ADMISSIONS, FleetAdmission
from bench.admission_cases import CASES, HEADING, run_case
from bench.admission_platform import FakeSeatTable, finish
from chestnutshift.accounts.admission import Admission
from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.accounts.keeper import SeatKeeper, SeatRow
from chestnutshift.accounts.loans import LoanGrant, LoanRequest, Peer
from chestnutshift.configuration.model import SharesPreset
from chestnutshift.events.log import EventLog

PLAN_S = 0.02
CENTRAL_TIMEOUT_S = 0.2


@ADMISSIONS.register('escrow')
class Escrow(FleetAdmission):
    """The product's code: shares of seats under leases, and loans."""

    lends = True
    holds = False
    shares = SharesPreset()
    lost_answers: float = 0
    list_lag_s: float = 5
    renew_s: float = 2

    def __init__(self, *args, **settings) -> None:
        """Start one VM incarnation at each seat."""
        super().__init__(*args, **settings)
        self.rows: dict[str, SeatRow] = {}
        self.gone_at: dict[str, float] = {}
        self.vms: dict[str, Admission] = {}
        self.keepers: dict[str, SeatKeeper] = {}
        self.now: float = 0
        self.waits: dict[str, float] = {}
        self._started = 0
        self._renew_at = dict.fromkeys(self.seats, self.renew_s)
        self._plan_at: float = 0
        for seat in self.seats:
            self._start(seat)

    async def is_gone(self, vm: str) -> bool:
        """Tell whether the platform's list has lost the incarnation."""
        return self.gone_at.get(vm, self.now + 1) <= self.now

    def admit(self, seat: str, account: str, now: float) -> bool:
        """Ask the VM at the seat."""
        decision = self.vms[seat].admit(account, now)
        self.waits[account] = decision.wait_s if self.holds else 0
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
                self._renew_at[seat] = now + self.renew_s
                self.renew(self.keepers[seat], self.vms[seat])
        if now < self._plan_at:
            return
        self._plan_at = now + PLAN_S
        for seat in self.seats:
            if seat not in self.frozen:
                self._plan(seat)

    def restart(self, seat: str, now: float) -> None:
        """Start a new incarnation; the list learns of it list_lag_s later."""
        self.now = now
        self.gone_at[self.keepers[seat]._vm] = now + self.list_lag_s
        self.frozen.discard(seat)
        self._start(seat)

    def is_platform_reachable(self, seat: str) -> bool:
        """Tell whether a VM at the seat reaches the platform."""
        return self.platform_up and not self.network.is_cut(seat, 'platform')

    def renew(self, keeper: SeatKeeper, admission: Admission) -> None:
        """Let one VM renew its seat's lease once."""
        step = keeper.step(self.shares, admission.settle_s)
        admission.apply_renewal(finish(step), self.now)

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
            FakeSeatTable(
                self.rows,
                lambda: self.is_platform_reachable(seat),
                lambda: self.rng.random() < self.lost_answers,
            ),
            self.is_gone,
            EventLog(vm),
            clock=lambda: self.now,
        )
        self.renew(self.keepers[seat], admission)

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
    """The same; a VM holds a request while it asks peers for tokens."""

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


@attrs.frozen
class _Batch:
    account: str
    tokens: float


@ADMISSIONS.register('central')
class Central(FleetAdmission):
    """Seats fetch batches from the store, which keeps room for two each."""

    store = 'platform'

    def __init__(self, *args, **settings) -> None:
        """Start with an empty bucket in the store."""
        super().__init__(*args, **settings)
        region_of = self.network.region_of
        region_of[self.store] = region_of[self.seats[0]]
        part = 1 / (4 * len(self.seats))
        self._batch = {
            account: max(1, limit.burst * part)
            for account, limit in self.limits.items()
        }
        self._central = {
            account: TokenBucket(
                limit.rate,
                limit.burst - 2 * len(self.seats) * self._batch[account],
                updated=0,
            )
            for account, limit in self.limits.items()
        }
        self._levels: dict = defaultdict(float)
        self._asked: dict = {}

    def admit(self, seat: str, account: str, now: float) -> bool:
        """Take a token of the seat's batch; fetch more under one batch."""
        key = (seat, account)
        admitted = self._levels[key] >= 1
        self._levels[key] -= admitted
        waiting = now - self._asked.get(key, -1) < CENTRAL_TIMEOUT_S
        if self._levels[key] < 1 and not waiting:
            self._asked[key] = now
            self.network.send(seat, self.store, account, now)
        return admitted

    def advance(self, now: float) -> None:
        """Let the store answer, and the answers arrive."""
        arrived = self.network.deliver(
            now,
            lambda name: name not in self.frozen,
        )
        for _, source, target, body in arrived:
            if isinstance(body, _Batch):
                self._levels[target, body.account] += body.tokens
                self._asked.pop((target, body.account), None)
            elif self.platform_up:
                self._answer(body, source, now)

    def _answer(self, account: str, seat: str, now: float) -> None:
        bucket = self._central[account]
        bucket.fill(now)
        tokens = min(bucket.level, self._batch[account])
        bucket.take(tokens, now)
        self.network.send(self.store, seat, _Batch(account, tokens), now)


def main(seed: int) -> None:
    """Print the table: case x policy."""
    print(HEADING)
    for case in CASES:
        for policy in ADMISSIONS:
            outcome = run_case(case, ADMISSIONS.get(policy), seed)
            print(outcome.as_line(case, policy))


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
