"""Keep an unexpected exception from ending more than the work it comes from."""

import contextlib
import errno
import traceback
from collections.abc import Awaitable, Callable, Iterator

import attrs
import trio

from chestnutshift.edge import events
from chestnutshift.edge.state import EdgeState


# Pause after the first failure of a task in a row, and the longest one.
RESTART_PAUSE_S = 0.25
RESTART_PAUSE_MAX_S = 2.0
# Failures that are farther apart are not in a row.
FAILURE_GAP_S = 10.0
# What the kernel answers to calls that are right. Others, such as EBADF or
# EINVAL, show a fault of the program.
_SYSTEM_ERRNOS = frozenset(
    (
        errno.EACCES,
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.ECONNABORTED,
        errno.ECONNREFUSED,
        errno.ECONNRESET,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.EIO,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.ENOSPC,
        errno.EPERM,
    )
)


@contextlib.contextmanager
def contained(state: EdgeState, work: str, **facts: object) -> Iterator[None]:
    """Log and count an exception of one piece of work, and go on without it.

    work is one datagram, row or check, or the like, whose input comes from
    others. An exception here is a fault of the program: expected errors are
    handled where they arise.
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
    # Without memory for the line, the count tells of the fault.
    with contextlib.suppress(MemoryError):
        state.event_log.emit(
            events.FAULT,
            work=work,
            detail=repr(error),
            trace=''.join(traceback.format_exception(error)),
            **facts,
        )


@attrs.define
class _Retries:
    """The pauses after failures in a row."""

    _failures: int = 0
    _failed_at: float = 0

    def next_pause_s(self, now: float) -> float:
        """Return the pause after a failure now."""
        if now - self._failed_at > FAILURE_GAP_S:
            self._failures = 0
        self._failed_at = now
        self._failures += 1
        return min(RESTART_PAUSE_MAX_S, RESTART_PAUSE_S * self._failures)


async def keep_running(
    state: EdgeState, task: str, run: Callable[[], Awaitable[None]]
) -> None:
    """Run a task until it returns; after an exception, run it again.

    The task must be able to begin anew. A round that raises always does so
    every RESTART_PAUSE_MAX_S.
    """
    retries = _Retries()
    while True:
        try:
            await run()
        except Exception as error:
            report_failure(state, task, error)
        else:
            return
        await trio.sleep(retries.next_pause_s(trio.current_time()))


@attrs.define
class Job:
    """One of several jobs that a task does each round.

    A job that raises pauses; the others go on.
    """

    _state: EdgeState
    _name: str
    _work: Callable[[float], Awaitable[None]]
    _retries: _Retries = attrs.field(factory=_Retries)
    _due_at: float = 0

    async def run(self, now: float) -> None:
        """Do the job, unless it pauses."""
        if now < self._due_at:
            return
        try:
            await self._work(now)
        except Exception as error:
            report_failure(self._state, self._name, error)
            self._due_at = now + self._retries.next_pause_s(now)


def report_failure(state: EdgeState, task: str, error: Exception) -> None:
    """Log a system error as such, and any other exception as a fault."""
    if not is_system_error(error):
        report_fault(state, task, error)
        return
    state.event_log.emit(
        events.TASK_INTERRUPTED, task=task, detail=_detail(error)
    )


def is_system_error(error: BaseException) -> bool:
    """Return whether the kernel answered so to a call that was right."""
    if isinstance(error, BaseExceptionGroup):
        return all(is_system_error(part) for part in error.exceptions)
    return isinstance(error, OSError) and error.errno in _SYSTEM_ERRNOS


def _detail(error: BaseException) -> str:
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return repr(error)


def report_end(state: EdgeState, error: Exception) -> None:
    """Log an unexpected exception that ends the process."""
    state.event_log.emit(
        events.ENDED,
        detail=repr(error),
        trace=''.join(traceback.format_exception(error)),
    )
