"""Keep an unexpected exception from ending more than the work it comes from."""

import contextlib
import traceback
from collections.abc import Iterator

from chestnutshift.edge import events
from chestnutshift.edge.state import EdgeState


@contextlib.contextmanager
def contained(state: EdgeState, work: str, **facts: object) -> Iterator[None]:
    """Log and count an exception of one piece of work, and go on without it.

    work is one datagram, row or check, or the like, whose input comes from
    others. An exception here is a fault of the program: expected errors are
    handled where they arise. A fault of a task without such input still ends
    the process, as nobody would do its work.
    """
    try:
        yield
    except Exception as error:
        report_fault(state, work, error, **facts)


def report_fault(
    state: EdgeState, work: str, error: Exception, **facts: object
) -> None:
    """Log and count a fault of the program, with the place it comes from."""
    state.metrics.faults.labels(work).inc()
    state.event_log.emit(
        events.FAULT,
        work=work,
        detail=repr(error),
        trace=''.join(traceback.format_exception(error)),
        **facts,
    )
