"""A token bucket whose rate and capacity can change while it is in use."""

import math

import attrs

# Rounding error allowed when tokens are summed as floats.
EPSILON = 1e-9


@attrs.define
class TokenBucket:
    """A token bucket, with a rate in tokens per second."""

    rate: float = 0
    capacity: float = 0
    level: float = 0
    updated: float = -math.inf

    def fill(self, now: float) -> None:
        """Add the tokens that arrived until now; ignore an earlier time."""
        if now <= self.updated:
            return
        if self.rate > 0 and self.level < self.capacity:
            grown = self.level + self.rate * (now - self.updated)
            self.level = min(self.capacity, grown)
        self.updated = now

    def resize(self, rate: float, capacity: float, now: float) -> None:
        """Change rate and capacity; tokens above the capacity are lost."""
        self.fill(now)
        self.rate = max(0, rate)
        self.capacity = max(0, capacity)
        self.level = min(self.level, self.capacity)

    def add(self, tokens: float) -> None:
        """Add tokens from another source, up to the capacity."""
        self.level = min(self.capacity, self.level + tokens)

    def take(self, tokens: float, now: float) -> bool:
        """Remove the tokens if there are enough; return whether there were."""
        self.fill(now)
        if self.level + EPSILON < tokens:
            return False
        self.level = max(0, self.level - tokens)
        return True

    def wait_s(self, tokens: float) -> float:
        """Return the seconds until there are enough tokens, or infinity."""
        missing = tokens - self.level
        if missing <= 0:
            return 0
        if self.rate <= 0:
            return math.inf
        return missing / self.rate
