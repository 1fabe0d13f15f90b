"""This VM's share of the fleet's retry budget for a service.

The budget of a sliding window is a ratio of the requests plus a fixed slack.
The ratio needs no division among VMs, as each VM counts its own requests; the
slack is divided by the number of VMs. A VM that starts does not know how much
of it its last run has used, and uses none in its first window.
"""

import math
from collections import deque

import attrs

# Fraction of the budget that each request earns which is used; the rest allows
# for retries that reach the upstream in another window than they were sent in.
EARNED_FRACTION = 0.92
# Fraction of the slack that is used; the rest allows for VMs that join or
# leave the fleet.
SLACK_FRACTION = 0.7


@attrs.frozen
class RetryBounds:
    """Bounds of the retries that all VMs together may send in a window."""

    window_s: float
    ratio: float
    slack: float


@attrs.define
class _Window:
    requests: deque[float] = attrs.field(factory=deque)
    retries: deque[float] = attrs.field(factory=deque)

    def expire(self, before: float) -> None:
        """Remove the entries that are older than that time."""
        for timestamps in (self.requests, self.retries):
            while timestamps and timestamps[0] < before:
                timestamps.popleft()


class FleetRetryBudget:
    """Sliding-window counts of requests and retries by service.

    Times are in seconds.
    """

    def __init__(self, bounds: RetryBounds) -> None:
        """Start with empty windows."""
        self._bounds = bounds
        self._windows: dict[str, _Window] = {}
        # When the first request was counted.
        self._began_at = math.inf
        # When the fleet last had that many VMs.
        self._vms_at: dict[int, float] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a request's first attempt."""
        self._began_at = min(self._began_at, now)
        self._window(service, now).requests.append(now)

    def record_vms(self, vms: int, now: float) -> None:
        """Record the number of VMs that may hold a part of the slack."""
        since = now - self._bounds.window_s
        self._vms_at = {
            count: at for count, at in self._vms_at.items() if at >= since
        }
        self._vms_at[vms] = now

    def take(self, service: str, now: float) -> bool:
        """Count a retry if the budget allows it; tell whether it does."""
        window = self._window(service, now)
        earned = self._bounds.ratio * len(window.requests) * EARNED_FRACTION
        if len(window.retries) + 1 > earned + self._slack(now):
            return False
        window.retries.append(now)
        return True

    def _slack(self, now: float) -> float:
        """Return this VM's part of the slack.

        VMs that have left may have used theirs within the window.
        """
        if now - self._began_at < self._bounds.window_s:
            return 0
        vms = max(self._vms_at, default=1)
        return self._bounds.slack / vms * SLACK_FRACTION

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.expire(now - self._bounds.window_s)
        return window
