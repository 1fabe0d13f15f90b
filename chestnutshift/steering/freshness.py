"""How lately the store vouched that the route table is the newest."""

import math


class TableFreshness:
    """Keep the newest proof; times are boot time in seconds.

    The boot clock counts suspension, so a VM that wakes is stale until the
    store, or a peer that heard it, vouches again.
    """

    def __init__(self, bound_s: float, margin_s: float) -> None:
        """Trust a proof for bound_s less margin_s."""
        self.bound_s = bound_s
        self._margin_s = margin_s
        self._proven_at = -math.inf

    @property
    def proven_at(self) -> float:
        """A time since which the table is known to be the newest."""
        return self._proven_at

    def prove(self, asked_at: float) -> None:
        """Take an answer to a question that was asked then."""
        self._proven_at = max(self._proven_at, asked_at)

    def age_s(self, now: float) -> float:
        """Return the age of the proof, infinite without one."""
        return now - self._proven_at

    def is_fresh(self, now: float) -> bool:
        """Tell whether keys may be trusted."""
        return self.age_s(now) <= self.bound_s - self._margin_s
