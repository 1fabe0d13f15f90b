"""Admission policies; `python -m bench.admission SEED` compares them."""

import sys
from collections import defaultdict

import attrs

from bench.admission_base import ADMISSIONS, FleetAdmission
from bench.admission_cases import CASES, HEADING, run_case
from bench.admission_platform import FakeSeatTable, run_without_waiting
from chestnutshift.accounts.admission import Admission
from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.accounts.loans import LoanGrant, LoanRequest, Peer
from chestnutshift.accounts.seat_manager import SeatManager, SeatRow
from chestnutshift.configuration.model import SharesPreset
from chestnutshift.events.log import EventLog

PLAN_PERIOD_S = 0.02
CENTRAL_TIMEOUT_S = 0.2


@ADMISSIONS.register('escrow')
class Escrow(FleetAdmission):
    """The product's own code: a share for each leased seat, and loans.

    If lends is set, VMs borrow from each other. If holds is set, a VM holds a
    request while it waits for a loan. lost_answer_rate is the probability that
    the platform's answer to a write is lost. The platform's list drops a
    replaced VM list_lag_s later.
    """

    lends = True
    holds = False
    shares = SharesPreset()
    lost_answer_rate: float = 0
    list_lag_s: float = 5
    renew_s: float = 2

    def __init__(self, *args, **settings) -> None:
        """Start the first incarnation of the VM at each seat."""
        super().__init__(*args, **settings)
        self.rows: dict[str, SeatRow] = {}
        self.gone_at: dict[str, float] = {}
        self.vms: dict[str, Admission] = {}
        self.seat_managers: dict[str, SeatManager] = {}
        self.now: float = 0
        self.waits: dict[str, float] = {}
        self._incarnation_count = 0
        self._next_renewal_at = dict.fromkeys(self.seats, self.renew_s)
        self._next_plan_at: float = 0
        for seat in self.seats:
            self._start(seat)

    async def is_gone(self, vm: str) -> bool:
        """Return whether the platform's list no longer has the incarnation."""
        return self.gone_at.get(vm, self.now + 1) <= self.now

    def admit(self, seat: str, account: str, now: float) -> bool:
        """Decide at the VM of the seat."""
        decision = self.vms[seat].admit(account, now)
        self.waits[account] = decision.wait_s if self.holds else 0
        return decision.admitted

    def admit_held(self, seat: str, account: str, now: float) -> bool:
        """Decide again on a request that the VM holds."""
        return self.vms[seat].admit(account, now, repeated=True).admitted

    def advance(self, now: float) -> None:
        """Deliver messages, renew leases and plan loans."""
        deliveries = self.network.deliver(
            now,
            lambda seat: seat not in self.suspended,
        )
        for moment, source, target, body in deliveries:
            self.now = max(self.now, moment)
            self._receive(source, target, body)
        self.now = now
        for seat in self.seats:
            if (
                now >= self._next_renewal_at[seat]
                and seat not in self.suspended
            ):
                self._next_renewal_at[seat] = now + self.renew_s
                self.renew(self.seat_managers[seat], self.vms[seat])
        if now < self._next_plan_at:
            return
        self._next_plan_at = now + PLAN_PERIOD_S
        for seat in self.seats:
            if seat not in self.suspended:
                self._plan(seat)

    def restart(self, seat: str, now: float) -> None:
        """Replace the VM; the platform's list drops the old one later."""
        self.now = now
        self.gone_at[self.seat_managers[seat]._vm] = now + self.list_lag_s
        self.suspended.discard(seat)
        self._start(seat)

    def is_platform_reachable(self, seat: str) -> bool:
        """Return whether a VM at the seat reaches the platform."""
        return self.platform_up and not self.network.is_cut(seat, 'platform')

    def renew(self, seat_manager: SeatManager, admission: Admission) -> None:
        """Renew the lease of one VM's seat once."""
        step = seat_manager.step(self.shares, admission.settle_s)
        admission.apply_renewal(run_without_waiting(step), self.now)

    def _start(self, seat: str) -> None:
        self._incarnation_count += 1
        vm = f'{seat}:{self._incarnation_count}'
        admission = Admission(vm, len(self.seats), self.rng)
        admission.configure(self.limits, self.now, self.shares.loan_s)
        region_of = self.network.region_of
        admission.update_peers(
            tuple(
                Peer(other, near=region_of[other] == region_of[seat])
                for other in self.seats
                if other != seat and self.lends
            ),
        )
        self.vms[seat] = admission
        self.seat_managers[seat] = SeatManager(
            seat,
            vm,
            FakeSeatTable(
                self.rows,
                lambda: self.is_platform_reachable(seat),
                lambda: self.rng.random() < self.lost_answer_rate,
            ),
            self.is_gone,
            EventLog(vm),
            clock=lambda: self.now,
        )
        self.renew(self.seat_managers[seat], admission)

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
    """Escrow in which a VM holds a request while it asks its peers."""

    holds = True


@ADMISSIONS.register('static')
class Static(Escrow):
    """Escrow without loans: each seat keeps its equal share."""

    lends = False


@ADMISSIONS.register('unlimited-local')
class UnlimitedLocal(FleetAdmission):
    """Each VM admits up to the whole rate and burst on its own."""

    def __init__(self, *args, **settings) -> None:
        """Create an empty bucket of the whole limit for each seat."""
        super().__init__(*args, **settings)
        self._buckets = {
            (seat, account): TokenBucket(limit.rate, limit.burst, updated=0)
            for seat in self.seats
            for account, limit in self.limits.items()
        }

    def admit(self, seat: str, account: str, now: float) -> bool:
        """Take a token from the seat's own bucket."""
        return self._buckets[seat, account].take(1, now)


@attrs.frozen
class _Batch:
    account: str
    tokens: float


@ADMISSIONS.register('central')
class Central(FleetAdmission):
    """A central bucket in the store, from which seats fetch batches.

    The central burst is smaller by two batches for each seat, because seats
    hold tokens that they fetched before.
    """

    store = 'platform'

    def __init__(self, *args, **settings) -> None:
        """Create the central buckets, empty."""
        super().__init__(*args, **settings)
        region_of = self.network.region_of
        region_of[self.store] = region_of[self.seats[0]]
        batch_fraction = 1 / (4 * len(self.seats))
        self._batch_sizes = {
            account: max(1, limit.burst * batch_fraction)
            for account, limit in self.limits.items()
        }
        self._central_buckets = {
            account: TokenBucket(
                limit.rate,
                limit.burst - 2 * len(self.seats) * self._batch_sizes[account],
                updated=0,
            )
            for account, limit in self.limits.items()
        }
        self._local_tokens: dict = defaultdict(float)
        self._requested_at: dict = {}

    def admit(self, seat: str, account: str, now: float) -> bool:
        """Take a fetched token; request a new batch when none is left."""
        key = (seat, account)
        admitted = self._local_tokens[key] >= 1
        self._local_tokens[key] -= admitted
        waiting = now - self._requested_at.get(key, -1) < CENTRAL_TIMEOUT_S
        if self._local_tokens[key] < 1 and not waiting:
            self._requested_at[key] = now
            self.network.send(seat, self.store, account, now)
        return admitted

    def advance(self, now: float) -> None:
        """Deliver requests to the store, and its batches to the seats."""
        deliveries = self.network.deliver(
            now,
            lambda name: name not in self.suspended,
        )
        for _, source, target, body in deliveries:
            if isinstance(body, _Batch):
                self._local_tokens[target, body.account] += body.tokens
                self._requested_at.pop((target, body.account), None)
            elif self.platform_up:
                self._send_batch(body, source, now)

    def _send_batch(self, account: str, seat: str, now: float) -> None:
        bucket = self._central_buckets[account]
        bucket.fill(now)
        tokens = min(bucket.level, self._batch_sizes[account])
        bucket.take(tokens, now)
        self.network.send(self.store, seat, _Batch(account, tokens), now)


def main(seed: int) -> None:
    """Print a table with a line for each case and policy."""
    print(HEADING)
    for case in CASES:
        for policy in ADMISSIONS:
            outcome = run_case(case, ADMISSIONS.get(policy), seed)
            print(outcome.as_line(case, policy))


if __name__ == '__main__':
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1)
