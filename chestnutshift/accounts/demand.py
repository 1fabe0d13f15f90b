"""How many requests per second of one account reach this VM."""

import math

import attrs

FAST_S = 0.4
SLOW_S = 2.0


@attrs.define
class DemandEstimate:
    """Two exponentially weighted averages of the arrival rate."""

    fast: float = 0
    slow: float = 0
    _count: int = 0
    _updated: float = -math.inf

    @property
    def peak(self) -> float:
        """The larger average, in requests per second."""
        return max(self.fast, self.slow)

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
            self.fast += (rate - self.fast) * -math.expm1(-elapsed / FAST_S)
            self.slow += (rate - self.slow) * -math.expm1(-elapsed / SLOW_S)
        self._count = 0
