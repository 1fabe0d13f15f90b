"""One account's share at one VM: the seat's part and all loans."""

import math
from collections.abc import Iterator

import attrs

from chestnutshift.accounts.bucket import EPSILON, TokenBucket
from chestnutshift.accounts.loans import BorrowedLoan, LentLoan
from chestnutshift.accounts.seats import NO_LEASE, SeatLease
from chestnutshift.invariants.registry import ACCOUNT_RATE, verify


@attrs.define
class AccountShare:
    """The tokens of one account that this VM may spend.

    The bucket's rate and capacity are the seat's part while the lease to it
    is valid, less what is lent, plus what is borrowed. Each of these ends at
    a time known in advance; refresh() fills the bucket interval by interval
    between these times, however late it is called.
    """

    base_rate: float = 0
    base_burst: float = 0
    lease: SeatLease = NO_LEASE
    bucket: TokenBucket = attrs.field(factory=TokenBucket)
    lent: dict[int, LentLoan] = attrs.field(factory=dict)
    borrowed: dict[tuple[str, int], BorrowedLoan] = attrs.field(factory=dict)
    _next_change: float = math.inf

    @property
    def lent_rate(self) -> float:
        """Rate lent to other VMs, in tokens per second."""
        return sum(loan.rate for loan in self.lent.values())

    @property
    def lent_burst(self) -> float:
        """Burst lent to other VMs, in tokens."""
        return sum(loan.burst for loan in self.lent.values())

    def refresh(self, now: float) -> None:
        """Fill the bucket up to now, through each change of its rate."""
        while self._next_change <= now:
            self.resize(self._next_change)
        self.bucket.fill(now)

    def resize(self, moment: float) -> None:
        """Set the rate and capacity of the bucket that apply from moment on."""
        self._drop_expired(moment)
        rate, burst = self._unlent_part(moment)
        rate += sum(loan.rate for loan in self.borrowed.values())
        burst += sum(loan.burst for loan in self.borrowed.values())
        self.bucket.resize(rate, burst, moment)
        self._next_change = min(
            (end for end in self._change_times() if end > moment),
            default=math.inf,
        )
        verify(
            ACCOUNT_RATE,
            holds=self.bucket.level <= burst + EPSILON,
            detail='the token bucket exceeds its capacity',
        )

    def unlent_part(self, moment: float) -> tuple[float, float]:
        """Return the seat's rate and burst that are not lent."""
        return self._unlent_part(moment)

    def spend(self, now: float) -> bool:
        """Spend one token; return whether there was one."""
        self.refresh(now)
        if not self.bucket.take(1.0, now):
            return False
        verify(
            ACCOUNT_RATE,
            holds=self.lease.covers(now) or bool(self.borrowed),
            detail='a token was spent without a lease or a loan',
        )
        return True

    def _unlent_part(self, moment: float) -> tuple[float, float]:
        if not self.lease.covers(moment):
            return 0, 0
        rate = max(0, self.base_rate - self.lent_rate)
        burst = max(0, self.base_burst - self.lent_burst)
        return rate, burst

    def _drop_expired(self, moment: float) -> None:
        self.lent = {
            number: loan
            for number, loan in self.lent.items()
            if loan.expires > moment
        }
        self.borrowed = {
            key: loan
            for key, loan in self.borrowed.items()
            if loan.expires > moment
        }

    def _change_times(self) -> Iterator[float]:
        yield self.lease.starts
        yield self.lease.ends
        yield from (loan.expires for loan in self.lent.values())
        yield from (loan.expires for loan in self.borrowed.values())
