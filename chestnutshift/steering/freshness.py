"""Age of the last proof that this VM's route table is the newest."""

import math


class TableFreshness:
    """The time of the newest proof, in seconds of boot time.

    A proof is an answer of the store, received by this VM or a peer, that
    confirms the route table. The boot clock includes suspension, so a VM that
    resumes is stale until there is a new proof.
    """

    def __init__(self, bound_s: float, margin_s: float) -> None:
        """Start without a proof; one is fresh for bound_s less margin_s."""
        self.bound_s = bound_s
        self._margin_s = margin_s
        self._proven_at = -math.inf

    @property
    def proven_at(self) -> float:
        """The time at which the table was last known to be the newest."""
        return self._proven_at

    def record_proof(self, confirmed_at: float) -> None:
        """Record that the store confirmed the table as of that time."""
        self._proven_at = max(self._proven_at, confirmed_at)

    def age_s(self, now: float) -> float:
        """Return the age of the newest proof, infinite without one."""
        return now - self._proven_at

    def known_age_s(self, now: float) -> float | None:
        """Return the age for the log, in milliseconds' steps, None without."""
        age_s = self.age_s(now)
        return round(age_s, 3) if math.isfinite(age_s) else None

    def is_fresh(self, now: float) -> bool:
        """Return whether the proof is recent enough to accept keys."""
        return self.age_s(now) <= self.bound_s - self._margin_s
