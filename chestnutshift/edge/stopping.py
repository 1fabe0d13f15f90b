"""When a VM that was told to stop began to, in boot times."""

import math

import attrs


@attrs.define
class StopSchedule:
    """The stop of a VM; began_at is infinite until it was told to stop."""

    began_at: float = math.inf

    def begin(self, now: float) -> None:
        """Record the first of any stop signals."""
        self.began_at = min(self.began_at, now)

    def age_s(self, now: float) -> float | None:
        """Return how long the VM has been stopping, None if it is not."""
        return now - self.began_at if now >= self.began_at else None
