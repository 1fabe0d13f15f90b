"""Admission control of one VM: whether a request may run now."""

import itertools
import math
import random

from chestnutshift.accounts import events
from chestnutshift.accounts.borrower import Borrower
from chestnutshift.accounts.decisions import (
    RETRY_MAX_S,
    UNKNOWN_ACCOUNT,
    WAIT,
    Decision,
    refuse,
)
from chestnutshift.accounts.lender import Lender
from chestnutshift.accounts.loans import (
    LOAN_MARGIN_S,
    LoanGrant,
    LoanRequest,
    Peer,
)
from chestnutshift.accounts.seats import NO_LEASE, SeatLease
from chestnutshift.accounts.state import AccountState, AccountSummary
from chestnutshift.accounts.targets import LoanPolicy
from chestnutshift.conf import defaults
from chestnutshift.configuration.model import AccountLimit
from chestnutshift.events.log import EventLog

# A VM whose plan() was not called for longer than this counts as paused.
PAUSE_MIN_S = 2.0


class Admission:
    """Admission control of all client accounts at one VM incarnation.

    The rate and burst of each account are divided equally over seat_count,
    the number of seats in the fleet. A VM without peers borrows nothing and
    admits requests from its seat's share alone.
    """

    def __init__(
        self,
        vm: str,
        seat_count: int,
        rng: random.Random,
        policy: LoanPolicy | None = None,
        log: EventLog | None = None,
    ) -> None:
        """Create an admission control without accounts, seat or peers."""
        self._vm = vm
        self._seat_count = seat_count
        self._rng = rng
        self._policy = policy or LoanPolicy()
        self._log = log
        self._lender = Lender(vm)
        self._request_numbers = itertools.count(1)
        self._accounts: dict[str, AccountState] = {}
        self._peers: tuple[Peer, ...] = ()
        self._loan_s = defaults.LOAN_S
        self._lease = NO_LEASE
        self._planned_at = math.inf
        self._suspended_at = -math.inf

    @property
    def lease(self) -> SeatLease:
        """The confirmed lease of this VM's seat."""
        return self._lease

    @property
    def settle_s(self) -> float:
        """Seconds that loans may outlive the lease, for the seat's row."""
        return self._loan_s + 2 * LOAN_MARGIN_S

    def admit(
        self,
        account: str,
        now: float,
        *,
        repeated: bool = False,
    ) -> Decision:
        """Decide whether one request of the account is admitted.

        repeated marks another attempt for a request that the VM holds. Such
        an attempt adds no demand, and its refusal is not logged, as there
        may be many.
        """
        state = self._accounts.get(account)
        if state is None or state.limit.rate <= 0:
            return Decision(
                admitted=False,
                retry_after_s=RETRY_MAX_S,
                reason=UNKNOWN_ACCOUNT,
            )
        self._check_pause(now)
        if not repeated:
            state.demand.count()
        if state.share.spend(now):
            return Decision(admitted=True)
        if not repeated and self._peers:
            wait_s = state.reserve_wait_s(now)
            if wait_s > 0:
                return Decision(admitted=False, reason=WAIT, wait_s=wait_s)
        refusal = refuse(state.share)
        if self._log is not None and not repeated:
            self._log.emit(
                events.REQUEST_REFUSED,
                account=account,
                reason=refusal.reason,
            )
        return refusal

    def configure(
        self,
        limits: dict[str, AccountLimit],
        now: float,
        loan_s: float = defaults.LOAN_S,
    ) -> None:
        """Apply new limits from now on; tokens up to the new burst stay.

        A window that spans the change stays under the larger of the limits.
        """
        self._loan_s = loan_s
        # A removed account is kept with a limit of zero: its loans to other
        # VMs may still run when the account is added again.
        for name in sorted(self._accounts.keys() | limits.keys()):
            state = self._accounts.get(name)
            if state is None:
                borrower = Borrower(self._vm, name, self._rng)
                state = AccountState(borrower, self._policy)
                self._accounts[name] = state
            state.limit = limits.get(name, AccountLimit(0, 0))
            share = state.share
            share.refresh(now)
            share.lease = self._lease
            share.base_rate = state.limit.rate / self._seat_count
            share.base_burst = state.limit.burst / self._seat_count
            share.resize(now)

    def update_peers(self, peers: tuple[Peer, ...]) -> None:
        """Replace the peers that may be asked for loans."""
        self._peers = peers

    def apply_renewal(self, lease: SeatLease, now: float) -> None:
        """Apply a renewal that the platform confirmed.

        A renewal that was started before spending was last suspended is
        ignored: another VM may have taken the seat in between.
        """
        self._check_pause(now)
        if lease.started < self._suspended_at:
            return
        self._set_lease(lease, now)

    def record_neighbour_renewal(self, now: float) -> None:
        """Process a lease renewal of another VM of the same failure domain.

        The platform is then reachable for others: if this VM has not renewed
        for lease_s, another VM may take its seat, so it stops spending.
        """
        if now - self._lease.started >= self._lease.lease_s:
            self._suspend(now)

    def stop_spending(self, now: float) -> float:
        """Stop spending; return the seconds until all loans to peers end."""
        self._suspend(now)
        ends = [
            loan.expires
            for state in self._accounts.values()
            for loan in state.share.lent.values()
        ]
        return max([0, *(end - now for end in ends)])

    def plan(self, now: float) -> tuple[LoanRequest, ...]:
        """Return the loan requests to send; call it every 20 to 50 ms.

        A VM that does not call it for PAUSE_MIN_S, or for half of lease_s,
        counts as paused and stops spending.
        """
        self._check_pause(now)
        self._planned_at = now
        requests: list[LoanRequest] = []
        for state in self._accounts.values():
            state.demand.update(now)
            state.share.refresh(now)
            requests.extend(
                state.borrower.plan(
                    state.share,
                    state.targets(),
                    self._peers,
                    self._loan_s,
                    self._request_numbers,
                    now,
                ),
            )
        return tuple(requests)

    def handle_request(
        self,
        peer: str,
        request: LoanRequest,
        now: float,
    ) -> LoanGrant | None:
        """Return the answer to a peer's request, or None to send nothing."""
        self._check_pause(now)
        state = self._accounts.get(request.account)
        if state is None:
            return None
        state.share.refresh(now)
        life_s = min(self._loan_s, self._lease.settle_s - LOAN_MARGIN_S)
        return self._lender.answer(
            request,
            state.share,
            state.targets(),
            life_s,
            now,
        )

    def handle_grant(self, peer: str, grant: LoanGrant, now: float) -> bool:
        """Apply a peer's grant; return False if it is stale or empty."""
        state = self._accounts.get(grant.account)
        if state is None or grant.taker != self._vm:
            return False
        return state.borrower.receive(peer, grant, state.share, now)

    def summary(self, now: float) -> tuple[AccountSummary, ...]:
        """Return a summary of each account, sorted by name."""
        self._check_pause(now)
        return tuple(
            state.summary(name, now)
            for name, state in sorted(self._accounts.items())
        )

    def _check_pause(self, now: float) -> None:
        if now - self._planned_at <= min(PAUSE_MIN_S, self._lease.lease_s / 2):
            return
        self._planned_at = now
        had_lease = self._lease is not NO_LEASE
        self._suspend(now)
        if had_lease and self._log is not None:
            self._log.emit(events.VM_PAUSED)

    def _suspend(self, now: float) -> None:
        """Stop spending until a renewal that is started from now on."""
        self._suspended_at = now
        self._set_lease(NO_LEASE, now)

    def _set_lease(self, lease: SeatLease, now: float) -> None:
        self._lease = lease
        for state in self._accounts.values():
            state.share.refresh(now)
            state.share.lease = lease
            state.share.resize(now)
