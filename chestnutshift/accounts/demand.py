"""How many requests per second of one account reach this VM."""

import math

import attrs

FAST_DECAY_S = 0.3
SLOW_DECAY_S = 3.0

# Standard errors of the averages between which the demand is taken to lie.
FAST_SIGMAS = 1.0
SLOW_SIGMAS = 1.0


@attrs.define
class DemandEstimate:
    """Two exponentially weighted averages of the arrival rate.

    Few requests say little: the bounds allow for the noise of arrivals that
    are independent of each other (a Poisson process).
    """

    fast: float = 0
    slow: float = 0
    _count: int = 0
    _updated: float = -math.inf

    @property
    def lower_bound(self) -> float:
        """The demand that is sure enough to ask for, per second."""
        bound = max(
            0,
            self.slow - SLOW_SIGMAS * math.sqrt(self.slow / (2 * SLOW_DECAY_S)),
            self.fast - FAST_SIGMAS * math.sqrt(self.fast / (2 * FAST_DECAY_S)),
        )
        return min(bound, self.upper_bound)

    @property
    def upper_bound(self) -> float:
        """The demand that is possible enough to keep rate for, per second."""
        return min(
            self.slow + SLOW_SIGMAS * math.sqrt(self.slow / (2 * SLOW_DECAY_S)),
            self.fast
            + FAST_SIGMAS * math.sqrt((self.fast + 1) / (2 * FAST_DECAY_S)),
        )

    @property
    def likelihood(self) -> float:
        """How sure it is that there is any demand, from 0 to 1."""
        return min(1, self.slow * SLOW_DECAY_S)

    def count(self) -> None:
        """Note one request, admitted or not."""
        self._count += 1

    def update(self, now: float) -> None:
        """Take the requests since the last update into the averages."""
        elapsed = now - self._updated
        if elapsed <= 0:
            return
        self._updated = now
        if not math.isinf(elapsed):
            rate = self._count / elapsed
            self.fast += (rate - self.fast) * -math.expm1(
                -elapsed / FAST_DECAY_S
            )
            self.slow += (rate - self.slow) * -math.expm1(
                -elapsed / SLOW_DECAY_S
            )
        self._count = 0
