"""Deadline of a caller's request."""

from typing import Self

import attrs

from chestnutshift.retries.exceptions import DeadlineExceededError


@attrs.frozen
class Deadline:
    """The time by which a request must end, in seconds of the local clock."""

    at: float

    @classmethod
    def after(cls, now: float, timeout_s: float) -> Self:
        """Return the deadline timeout_s seconds from now."""
        return cls(now + timeout_s)

    def remaining_s(self, now: float) -> float:
        """Return the remaining seconds, 0 if the deadline has passed."""
        return max(0.0, self.at - now)  # noqa: WPS358

    def allows(self, duration_s: float, now: float) -> bool:
        """Return whether work of this duration would end in time."""
        return now + duration_s <= self.at

    def earliest(self, other_at: float) -> Self:
        """Return the earlier of this deadline and another point in time."""
        return self if self.at <= other_at else type(self)(other_at)

    def require(self, now: float) -> None:
        """Raise DeadlineExceededError if the deadline has passed."""
        if now >= self.at:
            raise DeadlineExceededError(
                f'deadline passed {now - self.at:.3f} s ago',
            )
