"""Hybrid logical clock: wall time that respects causal order."""

import attrs

COUNTER_BITS = 16
MILLISECONDS_PER_S = 1000


@attrs.define
class HybridClock:
    """Source of timestamps that increase along every chain of messages.

    A timestamp is one integer: milliseconds of wall time shifted left by
    COUNTER_BITS, plus a counter for events within one millisecond.
    """

    _last: int = 0

    def tick(self, wall_s: float) -> int:
        """Return the timestamp of a local event at this wall time."""
        physical = int(wall_s * MILLISECONDS_PER_S) << COUNTER_BITS
        self._last = max(physical, self._last + 1)
        return self._last

    def observe(self, remote: int, wall_s: float) -> int:
        """Return a timestamp after one that was received from another VM."""
        self._last = max(self._last, remote)
        return self.tick(wall_s)
