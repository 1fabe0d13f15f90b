"""Write an edge VM's log, and tell what was left out of it."""

import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.state import EdgeState
from chestnutshift.logs.bounded import FLUSH_S, BoundedLines

LEFT_OUT_TOLD_S = 1.0


async def write_log(state: EdgeState, lines: BoundedLines) -> None:
    """Write the log's lines until cancelled."""
    told_at = boot_time()
    while True:
        lines.flush()
        await trio.sleep(FLUSH_S)
        now = boot_time()
        if now - told_at >= LEFT_OUT_TOLD_S:
            told_at = now
            _tell_left_out(state, lines)


def _tell_left_out(state: EdgeState, lines: BoundedLines) -> None:
    state.metrics.log_left_out.set(lines.left_out.total)
    counts = lines.left_out.report()
    if any(counts.values()):
        state.event_log.emit(events.LINES_LEFT_OUT, **counts)
