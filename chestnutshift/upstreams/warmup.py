"""Warm-up of cold upstreams, and pacing of new connections to them."""

import math

import attrs

from chestnutshift.configuration.model import UpstreamsPreset

FRACTION_MIN = 0.5
WORK_GAP_MAX_S = 1.0
IDLE_COLD_S = 300.0


@attrs.define
class WarmUp:
    """The warm-up of one upstream.

    Only time with work counts: a gap between two answers counts for
    WORK_GAP_MAX_S at most, and after IDLE_COLD_S without work the upstream
    is cold again.
    """

    warm_up_s: float
    _worked_s: float = math.inf
    _last_work_at: float = -math.inf

    def fraction(self, now: float) -> float:
        """Return the fraction of the slots that may be used."""
        if self._is_idle(now):
            return FRACTION_MIN
        if self._worked_s >= self.warm_up_s:
            return 1
        progress = self._worked_s / self.warm_up_s
        return FRACTION_MIN + (1 - FRACTION_MIN) * progress

    def restart(self, now: float) -> None:
        """Start the warm-up again, as for a new process."""
        self._worked_s = 0
        self._last_work_at = now

    def record_work(self, now: float) -> None:
        """Record a complete answer of the upstream."""
        if self._is_idle(now):
            self.restart(now)
            return
        self._worked_s += min(WORK_GAP_MAX_S, now - self._last_work_at)
        self._last_work_at = now

    def _is_idle(self, now: float) -> bool:
        has_worked = self._last_work_at > -math.inf
        return has_worked and now - self._last_work_at >= IDLE_COLD_S


class ConnectionPacer:
    """Rate limiter of this VM's new connections to one upstream.

    The rate and the limit apply to the upstream as a whole, so the VMs of
    its failure domain share them equally.
    """

    def __init__(self, preset: UpstreamsPreset, vms: int) -> None:
        """Divide the preset's pace and limit by the number of VMs."""
        self._pace_s = preset.connection_pace_s * vms
        self._limit = preset.connections_max // vms
        self._open = 0
        self._next_at = -math.inf

    def reserve(self, now: float) -> float | None:
        """Return when a new connection may be opened, None at the limit."""
        if self._open >= self._limit:
            return None
        self._open += 1
        start_at = max(now, self._next_at)
        self._next_at = start_at + self._pace_s
        return start_at

    def release(self) -> None:
        """Release a connection that was closed or never opened."""
        self._open -= 1
