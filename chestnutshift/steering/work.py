"""How long a service's requests take, learned from its answers."""

import attrs

LATENCY_WEIGHT = 0.05
# Before any answer: multiples of the route's latency objective.
WARM_PRIOR = 0.45
COLD_PRIOR = 1.45


@attrs.define
class WorkEstimate:
    """Mean seconds of an answer, by whether the upstream knew the object."""

    warm_s: float
    cold_s: float

    @classmethod
    def from_objective(cls, objective_s: float) -> 'WorkEstimate':
        """Return what is assumed before any answer came."""
        return cls(objective_s * WARM_PRIOR, objective_s * COLD_PRIOR)

    def expected_s(self, warmth: float) -> float:
        """Return the mean where the object is known with that likelihood."""
        return self.cold_s + warmth * (self.warm_s - self.cold_s)

    def learn(self, latency_s: float, warmth: float) -> float:
        """Take one answer; return its ratio to what was expected.

        Where it was not certain whether the upstream knew the object, the
        answer itself tells.
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
        # Knowing an object never makes an answer slower.
        self.cold_s = max(self.cold_s, self.warm_s)
        return ratio
