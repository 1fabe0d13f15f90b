"""This VM's share of the fleet's retry budget for a service.

The budget of a sliding window is a ratio of the requests plus a fixed slack.
The ratio needs no division among VMs, as each VM counts its own requests; the
slack is divided by the number of VMs. A VM that starts does not know how much
of it its last run has used, and uses next to none in its first window.

What requests earn must be spent soon. Otherwise two VMs could spend what they
earned in different windows within one: the callers of a VM that ends move to
others, and the budget counts their requests once.
"""

import math
from collections import deque

import attrs

# Fraction of the budget that each request earns which is used; the rest allows
# for retries that reach the upstream in another window than they were sent in.
EARNED_FRACTION = 0.92
# What was earned within this time may be saved.
SAVED_S = 1.0
# Less may be saved for longer, so that services with few requests have retries.
SAVED_MIN = 1.0
# Fraction of the slack that is used; the rest allows for VMs that join or
# leave the fleet.
SLACK_FRACTION = 0.7
# Retries that a VM may borrow from the slack in its first window.
SLACK_AT_START = 1.0


@attrs.frozen
class RetryBounds:
    """Bounds of the retries that all VMs together may send in a window."""

    window_s: float
    ratio: float
    slack: float


@attrs.define
class _Account:
    """What the requests for a service have earned, and what was spent.

    earned is what one request earns, saved what is left to spend; requests are
    the times of those in the window, recent of those that SAVED_S covers.
    loans are the parts of the slack that retries in the window have used.
    """

    _earned: float
    saved: float = 0
    _requests: deque[float] = attrs.field(factory=deque)
    _recent: deque[float] = attrs.field(factory=deque)
    _loans: deque[tuple[float, float]] = attrs.field(factory=deque)

    @property
    def lent(self) -> float:
        """The slack that retries in the window have used."""
        return sum(amount for _, amount in self._loans)

    def earn(self, now: float) -> None:
        """Add what a request earns."""
        self._requests.append(now)
        self._recent.append(now)
        self.saved += self._earned

    def spend(self, slack: float, now: float) -> bool:
        """Pay for a retry, the rest from the slack; return whether it can."""
        missing = max(0, 1 - self.saved)
        if self.lent + missing > slack and missing:
            return False
        self.saved = max(0, self.saved - 1)
        if missing:
            self._loans.append((now, missing))
        return True

    def expire(self, window_s: float, now: float) -> None:
        """Forget what is older than the window, and what was saved too long."""
        _expire(self._requests, now - window_s)
        _expire(self._recent, now - SAVED_S)
        while self._loans and self._loans[0][0] < now - window_s:
            self._loans.popleft()
        most = self._earned * len(self._recent)
        least = min(SAVED_MIN, self._earned * len(self._requests))
        self.saved = min(self.saved, max(most, least))


def _expire(timestamps: deque[float], before: float) -> None:
    while timestamps and timestamps[0] < before:
        timestamps.popleft()


class FleetRetryBudget:
    """Sliding-window counts of requests and retries by service.

    Times are in seconds.
    """

    def __init__(self, bounds: RetryBounds) -> None:
        """Start with empty windows."""
        self._bounds = bounds
        self._accounts: dict[str, _Account] = {}
        # When the first request was counted.
        self._began_at = math.inf
        # When the fleet last had that many VMs.
        self._vms_at: dict[int, float] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a request's first attempt."""
        self._began_at = min(self._began_at, now)
        self._account(service, now).earn(now)

    def record_vms(self, vms: int, now: float) -> None:
        """Record the number of VMs that may hold a part of the slack."""
        since = now - self._bounds.window_s
        self._vms_at = {
            count: at for count, at in self._vms_at.items() if at >= since
        }
        self._vms_at[vms] = now

    def take(self, service: str, now: float) -> bool:
        """Count a retry if the budget allows it; tell whether it does."""
        return self._account(service, now).spend(self._slack(now), now)

    def _slack(self, now: float) -> float:
        """Return this VM's part of the slack.

        VMs that have left may have used theirs within the window.
        """
        vms = max(self._vms_at, default=1)
        slack = self._bounds.slack / vms * SLACK_FRACTION
        if now - self._began_at < self._bounds.window_s:
            return min(slack, SLACK_AT_START)
        return slack

    def _account(self, service: str, now: float) -> _Account:
        account = self._accounts.get(service)
        if account is None:
            account = _Account(self._bounds.ratio * EARNED_FRACTION)
            self._accounts[service] = account
        account.expire(self._bounds.window_s, now)
        return account
