"""Write an edge VM's log, and report dropped lines."""

import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.state import EdgeState
from chestnutshift.logs.bounded import FLUSH_S, BoundedLines

DROPPED_REPORT_PERIOD_S = 1.0


async def write_log(state: EdgeState, lines: BoundedLines) -> None:
    """Flush buffered log lines until cancelled."""
    reported_at = boot_time()
    while True:
        lines.flush()
        await trio.sleep(FLUSH_S)
        now = boot_time()
        if now - reported_at >= DROPPED_REPORT_PERIOD_S:
            reported_at = now
            _report_dropped_lines(state, lines)


def _report_dropped_lines(state: EdgeState, lines: BoundedLines) -> None:
    state.metrics.log_lines_dropped.set(lines.dropped.total)
    counts = lines.dropped.report()
    if any(counts.values()):
        state.event_log.emit(events.LOG_LINES_DROPPED, **counts)
