"""State of one client account at one VM, and its summary for status."""

import math

import attrs

from chestnutshift.accounts.borrower import Borrower
from chestnutshift.accounts.demand import DemandEstimate
from chestnutshift.accounts.share import AccountShare
from chestnutshift.accounts.targets import LoanPolicy, Targets, find_targets
from chestnutshift.configuration.model import AccountLimit

# How long a request may be held for a loan, and how many requests of one
# account may be held in one period of that length.
LOAN_WAIT_S = 0.1
HELD_REQUESTS_MAX = 8


@attrs.frozen
class AccountSummary:
    """One account at one VM, for status; rates are in tokens per second."""

    account: str
    demand: float
    rate: float
    capacity: float
    level: float
    lent_rate: float
    borrowed_rate: float


@attrs.define
class AccountState:
    """The share, demand and loans of one account at one VM."""

    borrower: Borrower
    policy: LoanPolicy
    limit: AccountLimit = AccountLimit(0, 0)
    share: AccountShare = attrs.field(factory=AccountShare)
    demand: DemandEstimate = attrs.field(factory=DemandEstimate)
    held_count: int = 0
    held_since: float = -math.inf

    def targets(self) -> Targets:
        """Return the rate and tokens that this VM needs now."""
        return find_targets(
            self.policy,
            self.limit,
            self.share,
            self.demand,
        )

    def reserve_wait_s(self, now: float) -> float:
        """Count one more held request; return how long it may wait, or 0."""
        if now - self.held_since > LOAN_WAIT_S:
            self.held_count = 0
            self.held_since = now
        if (
            self.held_count >= HELD_REQUESTS_MAX
            or not self.borrower.is_loan_likely(now)
        ):
            return 0
        self.held_count += 1
        return LOAN_WAIT_S

    def summary(self, name: str, now: float) -> AccountSummary:
        """Return the summary of this account under its name."""
        share = self.share
        share.refresh(now)
        return AccountSummary(
            account=name,
            demand=self.demand.fast,
            rate=share.bucket.rate,
            capacity=share.bucket.capacity,
            level=share.bucket.level,
            lent_rate=share.lent_rate,
            borrowed_rate=sum(loan.rate for loan in share.borrowed.values()),
        )
