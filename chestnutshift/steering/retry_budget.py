"""This VM's share of the fleet's retry budget for a service.

The budget of a sliding window is a ratio of the requests plus a fixed slack.
The ratio needs no division among VMs, as each VM counts its own requests; the
slack is divided by the number of VMs.
"""

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

    def count_request(self, service: str, now: float) -> None:
        """Count a request's first attempt."""
        self._window(service, now).requests.append(now)

    def take(self, service: str, vms: int, now: float) -> bool:
        """Count a retry if the budget allows it; tell whether it does.

        The slack is divided by vms, the number of VMs in the fleet.
        """
        window = self._window(service, now)
        earned = self._bounds.ratio * len(window.requests) * EARNED_FRACTION
        slack = self._bounds.slack / vms * SLACK_FRACTION
        if len(window.retries) + 1 > earned + slack:
            return False
        window.retries.append(now)
        return True

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.expire(now - self._bounds.window_s)
        return window
