"""Count the ends of callers' connections, and log what was lost with them."""

from chestnutshift.callers.ends import ConnectionEnd
from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.state import EdgeState


def report_connection_end(state: EdgeState, end: ConnectionEnd) -> None:
    """Count the end of a connection; log it if requests were lost."""
    metrics = state.metrics.connections
    metrics.ended.labels(end.reason.value).inc()
    metrics.discarded.labels(end.reason.value).inc(end.discarded_b)
    if not end.has_losses:
        return
    metrics.requests_lost.labels(end.reason.value).inc(end.lost_count)
    state.event_log.emit(
        events.CONNECTION_LOST,
        reason=end.reason.value,
        requests=end.lost_count,
        phase=state.phase.value,
        stopping_s=state.stop.age_s(boot_time()),
        discarded_b=end.discarded_b,
    )
