"""The ramp of a shift of requests from this VM to another region."""

import attrs

from chestnutshift.configuration.model import ShiftPreset

FRACTION_MIN = 0.05
ELAPSED_MAX_S = 1.0


@attrs.define
class ShiftRamp:
    """The fraction of its cap that a shift to one region may use.

    It grows over ramp_s while the target is measured to be below its ceiling,
    stands still without fresh measurements, and shrinks while the target is
    at its ceiling or above and while no request wants to move.
    """

    preset: ShiftPreset
    fraction: float = FRACTION_MIN
    paused: bool = False
    _updated_at: float | None = None

    def advance(self, now: float, load: float | None, *, moving: bool) -> None:
        """Update the ramp; load is the target's, None if not fresh."""
        step = self._elapsed_s(now) / self.preset.ramp_s
        overloaded = load is not None and load >= self.preset.region_ceiling
        self.paused = moving and (load is None or overloaded)
        if load is None and moving:
            return
        if overloaded or not moving:
            step = -step
        self.fraction = min(1, max(FRACTION_MIN, self.fraction + step))

    def _elapsed_s(self, now: float) -> float:
        """Return the seconds since the last call, at most ELAPSED_MAX_S."""
        before = now if self._updated_at is None else self._updated_at
        self._updated_at = now
        return min(ELAPSED_MAX_S, now - before)
