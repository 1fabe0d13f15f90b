"""How long the callers of an edge VM may take for a head or stay idle."""

import attrs
import trio

from chestnutshift.callers.limits import IDLE_S, WaitLimits
from chestnutshift.conf import defaults
from chestnutshift.edge.state import EdgeState

# Bytes that a caller sends just in time arrive later.
TRANSIT_S = 1.0


@attrs.define
class CallerWaits:
    """The limits of the route table in force, for each wait.

    A shorter idle timeout counts once the longer one before has passed since:
    callers that know only that may still use their connections.
    """

    _state: EdgeState
    _idle_s: float = 0
    _shorter_since: float | None = None

    def find(self) -> WaitLimits:
        """Return the limits of a wait that begins now."""
        table = self._state.table
        if table is None:
            return WaitLimits(defaults.HEADER_TIMEOUT_S, IDLE_S)
        idle_s = self._longest_idle_s(
            table.bounds.idle_timeout_s, trio.current_time()
        )
        header_s = table.bounds.header_timeout_s
        return WaitLimits(header_s + TRANSIT_S, idle_s + TRANSIT_S)

    def _longest_idle_s(self, idle_s: float, now: float) -> float:
        if idle_s >= self._idle_s:
            self._idle_s = idle_s
            self._shorter_since = None
        elif self._shorter_since is None:
            self._shorter_since = now
        elif now - self._shorter_since > self._idle_s:
            self._idle_s = idle_s
            self._shorter_since = None
        return self._idle_s
