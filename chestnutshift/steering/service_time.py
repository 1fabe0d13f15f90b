"""Estimate of a service's response times from its observed answers."""

import attrs

# Weight of a new sample in the exponential moving averages.
LATENCY_WEIGHT = 0.05
# Initial estimates, as multiples of the route's latency objective.
WARM_PRIOR = 0.45
COLD_PRIOR = 1.45


@attrs.define
class ServiceTimeEstimate:
    """Mean response times in seconds, with and without the object cached.

    warm_s applies where the upstream has the object cached, cold_s where it
    does not.
    """

    warm_s: float
    cold_s: float

    @classmethod
    def from_objective(cls, objective_s: float) -> 'ServiceTimeEstimate':
        """Return the initial estimate for a latency objective."""
        return cls(objective_s * WARM_PRIOR, objective_s * COLD_PRIOR)

    def expected_s(self, warmth: float) -> float:
        """Return the mean if the object is cached with that probability."""
        return self.cold_s + warmth * (self.warm_s - self.cold_s)

    def learn(self, latency_s: float, warmth: float) -> float:
        """Record one answer; return the ratio of its latency to the estimate.

        If it was uncertain whether the upstream had the object cached, a
        latency below the expected mean counts as cached.
        """
        is_warm = warmth >= 1
        if 0 < warmth < 1:
            is_warm = latency_s < self.expected_s(warmth)
        if is_warm:
            ratio = latency_s / self.warm_s
            self.warm_s += LATENCY_WEIGHT * (latency_s - self.warm_s)
        else:
            ratio = latency_s / self.cold_s
            self.cold_s += LATENCY_WEIGHT * (latency_s - self.cold_s)
        # A cached object never makes an answer slower.
        self.cold_s = max(self.cold_s, self.warm_s)
        return ratio
