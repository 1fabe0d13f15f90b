"""Estimate when the store sent an answer, from its monotonic clock.

The answer to a long poll proves the state as of the time it was sent, not
only as of the time of the request. The store's clock runs at a constant rate,
so the smallest observed difference between its time and the time of a request
is an upper bound of the offset between the two clocks.
"""

from collections import deque

# Older offsets are discarded, so that clock drift does not accumulate.
OFFSET_AGE_MAX_S = 60.0
# An answer dated later than this after its receipt shows a clock jump.
JUMP_TOLERANCE_S = 0.05


class StoreClock:
    """A conversion of store time to this VM's boot time, in seconds.

    The result is never later than the true time.
    """

    def __init__(self) -> None:
        """Start without an offset."""
        # Request times and offsets, a queue with increasing offsets.
        self._offsets: deque[tuple[float, float]] = deque()

    def sent_at_bound(
        self,
        store_now: float,
        requested_at: float,
        received_at: float,
    ) -> float:
        """Return a lower bound of the time at which the answer was sent."""
        offset = store_now - requested_at
        self._add_offset(offset, requested_at)
        sent_at = store_now - self._offsets[0][1]
        if sent_at > received_at + JUMP_TOLERANCE_S:
            self._offsets.clear()
            self._add_offset(offset, requested_at)
            return requested_at
        return min(received_at, max(requested_at, sent_at))

    def _add_offset(self, offset: float, requested_at: float) -> None:
        while self._offsets and self._offsets[-1][1] >= offset:
            self._offsets.pop()
        self._offsets.append((requested_at, offset))
        while self._offsets[0][0] < requested_at - OFFSET_AGE_MAX_S:
            self._offsets.popleft()
