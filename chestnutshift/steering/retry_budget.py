"""This VM's part of the fleet's budget of retries at a service.

The budget of a window is a ratio of the requests plus a slack. The ratio
divides by itself, as each VM counts its own requests; the slack is divided by
the number of VMs.
"""

from collections import deque

import attrs

# Part of the budget that is used; the rest covers VMs that come and go.
BUDGET_FRACTION = 0.7


@attrs.frozen
class RetryBounds:
    """Repeats that all VMs together may send in a window."""

    window_s: float
    ratio: float
    slack: float


@attrs.define
class _Window:
    requests: deque[float] = attrs.field(factory=deque)
    retries: deque[float] = attrs.field(factory=deque)

    def expire(self, before: float) -> None:
        """Drop what is older."""
        for timestamps in (self.requests, self.retries):
            while timestamps and timestamps[0] < before:
                timestamps.popleft()


class FleetRetryBudget:
    """Count requests and retries by service; times in seconds."""

    def __init__(self, bounds: RetryBounds) -> None:
        """Start with nothing counted."""
        self._bounds = bounds
        self._windows: dict[str, _Window] = {}

    def count_request(self, service: str, now: float) -> None:
        """Count a request's first attempt."""
        self._window(service, now).requests.append(now)

    def take(self, service: str, vms: int, now: float) -> bool:
        """Count a repeat if the budget has room; tell whether it had."""
        window = self._window(service, now)
        earned = self._bounds.ratio * len(window.requests)
        room = (earned + self._bounds.slack / vms) * BUDGET_FRACTION
        if len(window.retries) + 1 > room:
            return False
        window.retries.append(now)
        return True

    def _window(self, service: str, now: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.expire(now - self._bounds.window_s)
        return window
