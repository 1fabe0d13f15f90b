"""A moving average of the rate of requests."""

import math

import attrs

DEMAND_TIME_CONSTANT_S = 1.0


@attrs.define
class DemandAverage:
    """Requests per second as an exponentially decaying average."""

    rate: float = 0
    updated_at: float = -math.inf

    def count(self, now: float) -> None:
        """Count one request."""
        self.rate = self.rate_at(now) + 1 / DEMAND_TIME_CONSTANT_S
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Return the rate at that time."""
        age_s = max(0, now - self.updated_at)
        return self.rate * math.exp(-age_s / DEMAND_TIME_CONSTANT_S)
