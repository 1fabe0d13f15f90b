"""One moment on the two clocks that at-most-once needs."""

import attrs


@attrs.frozen
class Moment:
    """The present time on this VM.

    `now` is trio's clock, which a suspended VM may not advance. `wall_s` is
    seconds since 1970, which other VMs can compare, give or take their skew.
    """

    now: float
    wall_s: float

    def later(self, seconds: float) -> 'Moment':
        """Return the moment that many seconds later."""
        return Moment(self.now + seconds, self.wall_s + seconds)

    def is_past(self, limit: 'Moment') -> bool:
        """Tell whether either clock is past its limit."""
        return self.now > limit.now or self.wall_s > limit.wall_s
