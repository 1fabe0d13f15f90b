"""The time by which a caller's request has to be over."""

from typing import Self

import attrs

from chestnutshift.retries.exceptions import DeadlineExceededError


@attrs.frozen
class Deadline:
    """A point of the local clock, in seconds."""

    at: float

    @classmethod
    def after(cls, now: float, timeout_s: float) -> Self:
        """Return the deadline that lies timeout_s seconds ahead."""
        return cls(now + timeout_s)

    def remaining_s(self, now: float) -> float:
        """Return the seconds left, 0 when the deadline has passed."""
        return max(0.0, self.at - now)  # noqa: WPS358

    def allows(self, duration_s: float, now: float) -> bool:
        """Tell whether work of this duration would end in time."""
        return now + duration_s <= self.at

    def earliest(self, other_at: float) -> Self:
        """Return the earlier of this deadline and another point in time."""
        return self if self.at <= other_at else type(self)(other_at)

    def require(self, now: float) -> None:
        """Raise DeadlineExceededError when the deadline has passed."""
        if now >= self.at:
            raise DeadlineExceededError(f'{now - self.at:.3f} s too late')
