"""Why a caller's connection ended, and what was lost with it."""

import contextlib
import enum
from collections.abc import Callable, Iterator

import attrs
import trio


class EndReason(enum.StrEnum):
    """The reason for which a connection ended."""

    # Idle too long, its last answer announced the end, or the caller closed
    # it between two requests.
    CLOSED = 'closed'
    # The caller left before its answers were complete.
    CALLER_LEFT = 'caller_left'
    # A request that can't be served; its refusal was the last answer.
    REFUSED = 'refused'
    # An answer could not be completed.
    ANSWER_BROKEN = 'answer_broken'
    # The VM ended it: its grace period was over.
    ABORTED = 'aborted'
    # An unexpected exception.
    FAULT = 'fault'


@attrs.define
class ConnectionEnd:
    """Why a connection ended, filled while it is served.

    lost_count counts requests without an answer; one that was begun and is
    incomplete counts as none. discarded_b are the bytes that were not served:
    the body of a refused request, and requests behind the last answer.
    """

    reason: EndReason = EndReason.CLOSED
    lost_count: int = 0
    discarded_b: int = 0

    @property
    def has_losses(self) -> bool:
        """Whether a caller that had not left lost requests."""
        return self.lost_count > 0 and self.reason is not EndReason.CALLER_LEFT

    def count_discarded(self, more_b: int) -> None:
        """Count bytes that are not read as a request."""
        self.discarded_b += more_b

    def record_break(self, *, has_caller_left: bool) -> None:
        """Record that an answer could not be completed."""
        self.reason = EndReason.ANSWER_BROKEN
        if has_caller_left:
            self.reason = EndReason.CALLER_LEFT

    @contextlib.contextmanager
    def recording(self) -> Iterator[None]:
        """Record an exception that ends the connection, and raise it."""
        try:
            yield
        except OSError:
            self.reason = EndReason.CALLER_LEFT
            raise
        except Exception:
            self.reason = EndReason.FAULT
            raise
        except BaseException as error:
            if is_cancellation(error):
                self.reason = EndReason.ABORTED
            raise


def is_cancellation(error: BaseException) -> bool:
    """Return whether it is a cancellation, or a group of nothing else.

    A nursery raises its tasks' exceptions as a group, also a single one.
    """
    if isinstance(error, BaseExceptionGroup):
        return error.split(trio.Cancelled)[1] is None
    return isinstance(error, trio.Cancelled)


# Told of the end of each connection.
ReportEnd = Callable[[ConnectionEnd], None]


def ignore_end(_end: ConnectionEnd) -> None:
    """Do nothing."""
