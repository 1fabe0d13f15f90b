"""Estimate of the requests per second of one account at this VM."""

import math

import attrs

# Time constants of the two moving averages.
FAST_DECAY_S = 0.3
SLOW_DECAY_S = 3.0

# Width of the confidence interval of each average, in standard errors.
FAST_SIGMAS = 1.0
SLOW_SIGMAS = 1.0


@attrs.define
class DemandEstimate:
    """Two exponentially weighted averages of the arrival rate.

    Few requests make a poor sample: the bounds allow for the noise of
    independent arrivals (a Poisson process).
    """

    fast: float = 0
    slow: float = 0
    _count: int = 0
    _updated: float = -math.inf

    @property
    def lower_bound(self) -> float:
        """The demand for which rate is requested, in requests per second."""
        bound = max(
            0,
            self.slow - SLOW_SIGMAS * math.sqrt(self.slow / (2 * SLOW_DECAY_S)),
            self.fast - FAST_SIGMAS * math.sqrt(self.fast / (2 * FAST_DECAY_S)),
        )
        return min(bound, self.upper_bound)

    @property
    def upper_bound(self) -> float:
        """The demand for which rate is not lent, in requests per second."""
        return min(
            self.slow + SLOW_SIGMAS * math.sqrt(self.slow / (2 * SLOW_DECAY_S)),
            self.fast
            + FAST_SIGMAS * math.sqrt((self.fast + 1) / (2 * FAST_DECAY_S)),
        )

    @property
    def likelihood(self) -> float:
        """The likelihood that there is any demand, from 0 to 1."""
        return min(1, self.slow * SLOW_DECAY_S)

    def count(self) -> None:
        """Count one request, admitted or not."""
        self._count += 1

    def update(self, now: float) -> None:
        """Add the requests since the last update to the averages."""
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
