"""Tell when the store gave an answer, by its steady clock.

An answer that waited for changes vouches for the moment at which it was
given, not only for that at which it was asked for. The store's clock runs
evenly, so the smallest difference that was ever seen between its time and
the moment of asking bounds the difference between both clocks.
"""

from collections import deque

# Differences older than this are forgotten, so that drift can't add up.
MEMORY_S = 60.0
# A given moment this far after the receipt shows that the clock jumped.
JUMP_S = 0.05


class StoreClock:
    """Turn the store's times into this VM's boot time, never too late."""

    def __init__(self) -> None:
        """Start with nothing known."""
        # Asking times and differences, the differences growing.
        self._seen: deque[tuple[float, float]] = deque()

    def given_at(
        self,
        store_now: float,
        asked_at: float,
        received_at: float,
    ) -> float:
        """Return a time, not before which the answer was given."""
        difference = store_now - asked_at
        self._keep(difference, asked_at)
        given_at = store_now - self._seen[0][1]
        if given_at > received_at + JUMP_S:
            self._seen.clear()
            self._keep(difference, asked_at)
            return asked_at
        return min(received_at, max(asked_at, given_at))

    def _keep(self, difference: float, asked_at: float) -> None:
        while self._seen and self._seen[-1][1] >= difference:
            self._seen.pop()
        self._seen.append((asked_at, difference))
        while self._seen[0][0] < asked_at - MEMORY_S:
            self._seen.popleft()
