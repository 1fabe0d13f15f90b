"""Points in time on the two clocks that claims depend on."""

import attrs


@attrs.frozen
class Moment:
    """A point in time on both clocks of this VM.

    `now` is trio's clock, which may stand still while a VM is suspended.
    `wall_s` is in seconds since 1970; VMs can compare it, up to clock skew.
    """

    now: float
    wall_s: float

    def later(self, seconds: float) -> 'Moment':
        """Return the moment the given number of seconds later."""
        return Moment(self.now + seconds, self.wall_s + seconds)

    def is_past(self, limit: 'Moment') -> bool:
        """Return whether either clock is past its limit."""
        return self.now > limit.now or self.wall_s > limit.wall_s
