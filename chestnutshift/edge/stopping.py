"""What a VM that was told to stop still takes, in boot times."""

import math

import attrs

# Fractions of the grace period after which new connections are no longer
# accepted, after which requests in progress are refused, and after which the
# connections are reset. The process has to exit before the grace period is
# over, also on a machine where all of this comes late.
ACCEPT_RATIO = 0.5
END_RATIO = 0.85
RESET_RATIO = 0.92
# From this fraction on, a request is taken only if its deadline is before the
# end. The event loop of a busy VM is late with the signal and with requests.
CERTAIN_RATIO = 0.4
# An answer may well take this multiple of its expected duration.
SLOW_ANSWER_RATIO = 3


@attrs.define
class StopSchedule:
    """The stop of a VM; all times are infinite until it was told to stop.

    It began at began_at and breaks off what is in progress at ends_at.
    """

    began_at: float = math.inf
    ends_at: float = math.inf
    _certain_from: float = math.inf

    def begin(self, now: float, grace_s: float) -> None:
        """Set the times at the first of any stop signals."""
        if self.began_at <= now:
            return
        self.began_at = now
        self.ends_at = now + grace_s * END_RATIO
        self._certain_from = now + grace_s * CERTAIN_RATIO

    def age_s(self, now: float) -> float | None:
        """Return how long the VM has been stopping, None if it is not."""
        return now - self.began_at if now >= self.began_at else None

    def can_finish(
        self, now: float, deadline: float, expected_s: float
    ) -> bool:
        """Return whether a request that is sent now ends before the stop.

        expected_s is how long its answer takes on average.
        """
        if deadline <= self.ends_at:
            return True
        if now >= self._certain_from:
            return False
        return now + expected_s * SLOW_ANSWER_RATIO <= self.ends_at
