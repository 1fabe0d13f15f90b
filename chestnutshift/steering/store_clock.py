"""Tell when the store gave an answer, by its steady clock.

An answer that waited for changes vouches for the moment at which it was
given, not only for that at which it was asked for. The store's clock runs
evenly, so the smallest offset that was ever seen between its time and
the moment of asking bounds the offset between both clocks.
"""

from collections import deque

# Differences older than this are forgotten, so that drift can't add up.
OFFSET_AGE_MAX_S = 60.0
# A given moment this far after the receipt shows that the clock jumped.
JUMP_TOLERANCE_S = 0.05


class StoreClock:
    """Turn the store's times into this VM's boot time, never too late."""

    def __init__(self) -> None:
        """Start with nothing known."""
        # Asking times and differences, the differences growing.
        self._offsets: deque[tuple[float, float]] = deque()

    def given_at(
        self,
        store_now: float,
        asked_at: float,
        received_at: float,
    ) -> float:
        """Return a time, not before which the answer was given."""
        offset = store_now - asked_at
        self._add_offset(offset, asked_at)
        given_at = store_now - self._offsets[0][1]
        if given_at > received_at + JUMP_TOLERANCE_S:
            self._offsets.clear()
            self._add_offset(offset, asked_at)
            return asked_at
        return min(received_at, max(asked_at, given_at))

    def _add_offset(self, offset: float, asked_at: float) -> None:
        while self._offsets and self._offsets[-1][1] >= offset:
            self._offsets.pop()
        self._offsets.append((asked_at, offset))
        while self._offsets[0][0] < asked_at - OFFSET_AGE_MAX_S:
            self._offsets.popleft()
