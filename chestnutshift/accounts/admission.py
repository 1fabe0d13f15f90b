"""Admission of one VM: whether a request of an account may run now."""

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
from chestnutshift.accounts.state import AccountSummary, AccountState
from chestnutshift.accounts.lender import Lender
from chestnutshift.accounts.loans import (
    LOAN_MARGIN_S,
    LoanGrant,
    LoanRequest,
    Peer,
)
from chestnutshift.accounts.seats import NO_RIGHT, SeatRight
from chestnutshift.accounts.targets import LoanPolicy
from chestnutshift.conf import defaults
from chestnutshift.configuration.model import AccountLimit
from chestnutshift.events.log import EventLog

# A VM that did not run its plan for so long counts as paused, in seconds.
PAUSE_MIN_S = 2.0


class Admission:
    """The accounts' shares at one VM incarnation.

    seat_count is the number of seats of the whole fleet, over which rate and
    burst are divided equally. Loans need the peers; without any the VM
    admits from its seat's share alone.
    """

    def __init__(
        self,
        vm: str,
        seat_count: int,
        rng: random.Random,
        policy: LoanPolicy | None = None,
        log: EventLog | None = None,
    ) -> None:
        """Start with no account, no seat and no peer."""
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
        self._right = NO_RIGHT
        self._planned_at = math.inf
        self._suspended_at = -math.inf

    @property
    def right(self) -> SeatRight:
        """When this VM may spend its seat's share."""
        return self._right

    @property
    def settle_s(self) -> float:
        """How long loans may run on; the seat's row must say so."""
        return self._loan_s + 2 * LOAN_MARGIN_S

    def admit(
        self,
        account: str,
        now: float,
        *,
        repeated: bool = False,
    ) -> Decision:
        """Decide about one request of the account at now (seconds).

        repeated says that the request was held and is tried again; its
        refusals are not logged, as it may be tried many times.
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
        """Use other limits from now on; tokens already there stay.

        A window that spans the change stays under the larger of the limits.
        """
        self._loan_s = loan_s
        # A removed account stays known, with nothing to spend: loans given
        # out of it may still run when the account comes back.
        for name in sorted(self._accounts.keys() | limits.keys()):
            state = self._accounts.get(name)
            if state is None:
                borrower = Borrower(self._vm, name, self._rng)
                state = AccountState(borrower, self._policy)
                self._accounts[name] = state
            state.limit = limits.get(name, AccountLimit(0, 0))
            share = state.share
            share.refresh(now)
            share.right = self._right
            share.base_rate = state.limit.rate / self._seat_count
            share.base_burst = state.limit.burst / self._seat_count
            share.resize(now)

    def connect(self, peers: tuple[Peer, ...]) -> None:
        """Use these peers for loans from now on."""
        self._peers = peers

    def renewed(self, right: SeatRight, now: float) -> None:
        """Use the right that the platform confirmed.

        A renewal started before the right was last dropped is ignored: the
        seat may have gone to another VM meanwhile.
        """
        self._check_pause(now)
        if right.started < self._suspended_at:
            return
        self._set_right(right, now)

    def note_neighbour_renewal(self, now: float) -> None:
        """Note that a VM of the same failure domain reached the platform.

        Then a VM that could not renew for a whole lease is alone in that:
        its seat may be taken by another VM, and it stops spending.
        """
        if now - self._right.started >= self._right.lease_s:
            self._suspend(now)

    def surrender(self, now: float) -> float:
        """Stop spending; return the seconds that loans given still run."""
        self._suspend(now)
        ends = [
            loan.expires
            for state in self._accounts.values()
            for loan in state.share.lent.values()
        ]
        return max([0, *(end - now for end in ends)])

    def plan(self, now: float) -> tuple[LoanRequest, ...]:
        """Return what to ask of peers; call it every few 10 ms.

        A VM that does not call it for PAUSE_S counts as paused.
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
        """Answer a peer's request; None where nothing is to be sent."""
        self._check_pause(now)
        state = self._accounts.get(request.account)
        if state is None:
            return None
        state.share.refresh(now)
        life_s = min(self._loan_s, self._right.settle_s - LOAN_MARGIN_S)
        return self._lender.answer(
            request,
            state.share,
            state.targets(),
            life_s,
            now,
        )

    def handle_grant(self, peer: str, grant: LoanGrant, now: float) -> bool:
        """Use a peer's grant; tell whether it was still worth anything."""
        state = self._accounts.get(grant.account)
        if state is None or grant.taker != self._vm:
            return False
        return state.borrower.receive(peer, grant, state.share, now)

    def summary(self, now: float) -> tuple[AccountSummary, ...]:
        """Return every account's state, by name."""
        self._check_pause(now)
        return tuple(
            state.summary(name, now)
            for name, state in sorted(self._accounts.items())
        )

    def _check_pause(self, now: float) -> None:
        if now - self._planned_at <= min(PAUSE_MIN_S, self._right.lease_s / 2):
            return
        self._planned_at = now
        had_right = self._right is not NO_RIGHT
        self._suspend(now)
        if had_right and self._log is not None:
            self._log.emit(events.VM_PAUSED)

    def _suspend(self, now: float) -> None:
        """Drop the right; only a renewal started from now on gives one."""
        self._suspended_at = now
        self._set_right(NO_RIGHT, now)

    def _set_right(self, right: SeatRight, now: float) -> None:
        self._right = right
        for state in self._accounts.values():
            state.share.refresh(now)
            state.share.right = right
            state.share.resize(now)
