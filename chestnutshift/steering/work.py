"""How long a service's requests take, learned from its answers."""

import attrs

LEARNING_WEIGHT = 0.05
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

    def learn(self, latency_s: float, *, was_warm: bool) -> float:
        """Take one answer; return its ratio to what was expected."""
        if was_warm:
            ratio = latency_s / self.warm_s
            self.warm_s += LEARNING_WEIGHT * (latency_s - self.warm_s)
        else:
            ratio = latency_s / self.cold_s
            self.cold_s += LEARNING_WEIGHT * (latency_s - self.cold_s)
        # Knowing an object never makes an answer slower.
        self.cold_s = max(self.cold_s, self.warm_s)
        return ratio
