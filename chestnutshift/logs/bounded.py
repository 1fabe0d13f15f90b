"""JSON log lines for a file descriptor, rate-limited and non-blocking.

Lines are buffered and written when the descriptor accepts them. Lines over
the rate limit or beyond the size of the buffer are dropped and counted; the
counts are reported.
"""

import json
import logging
import os
from collections import deque

import attrs

from chestnutshift.accounts.bucket import TokenBucket

# Lines below level info have a lower limit, which leaves room for failures.
ORDINARY_LINES_PER_S = 150.0
LINES_PER_S = 400.0
# Size of a burst, in seconds of the rate.
BURST_S = 2.0
BUFFER_MAX_B = 262_144
LINE_MAX_B = 4096
FLUSH_S = 0.1


@attrs.define
class DroppedLines:
    """Counts of dropped lines since the last report, and in total.

    over_rate counts the lines over the rate limit, unread those that the
    reader of the descriptor did not accept.
    """

    over_rate: int = 0
    unread: int = 0
    total: int = 0

    def report(self) -> dict[str, int]:
        """Return the counts since the last report, and reset them."""
        counts = {'over_rate': self.over_rate, 'unread': self.unread}
        self.over_rate = 0
        self.unread = 0
        return counts


class BoundedLines:
    """Buffered lines for a descriptor, which is set to non-blocking mode."""

    def __init__(self, descriptor: int, now: float) -> None:
        """Make the descriptor non-blocking; both rate limits start full."""
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._buffered: deque[bytes] = deque()
        self._buffered_b = 0
        self._ordinary_bucket = _full_bucket(ORDINARY_LINES_PER_S, now)
        self._other_bucket = _full_bucket(LINES_PER_S, now)
        self.dropped = DroppedLines()

    def add(self, line: bytes, now: float, *, is_ordinary: bool) -> bool:
        """Buffer a line, or drop it over a limit; return False if dropped."""
        bucket = self._ordinary_bucket if is_ordinary else self._other_bucket
        if not bucket.take(1, now):
            self.dropped.over_rate += 1
            self.dropped.total += 1
            return False
        if self._buffered_b + len(line) > BUFFER_MAX_B:
            self.dropped.unread += 1
            self.dropped.total += 1
            return False
        self._buffered.append(line[:LINE_MAX_B])
        self._buffered_b += len(self._buffered[-1])
        return True

    def flush(self) -> None:
        """Write as much as the descriptor accepts without blocking."""
        while self._buffered:
            content = b''.join(self._buffered)
            try:
                written = os.write(self._descriptor, content)
            except BlockingIOError:
                # The reader is slow: the lines stay buffered. Once the buffer
                # is full, new lines are dropped and counted.
                return
            except OSError:
                # The reader is gone.
                self._drop_buffered()
                return
            self._buffered.clear()
            self._buffered_b = len(content) - written
            if self._buffered_b:
                self._buffered.append(content[written:])

    def _drop_buffered(self) -> None:
        self.dropped.unread += len(self._buffered)
        self.dropped.total += len(self._buffered)
        self._buffered.clear()
        self._buffered_b = 0


class EventHandler(logging.Handler):
    """Handler that writes records, most of them events, as JSON lines."""

    def __init__(self, lines: BoundedLines) -> None:
        """Create a handler that adds each record to lines."""
        super().__init__()
        self._lines = lines

    def emit(self, record: logging.LogRecord) -> None:
        """Add the record as one JSON object."""
        event = getattr(record, 'event', None)
        if event is None:
            text = json.dumps(
                {
                    'at': round(record.created, 3),
                    'level': record.levelname.lower(),
                    'logger': record.name,
                    'message': self.format(record),
                },
            )
        else:
            text = event.as_line(record.created, record.levelname.lower())
        self._lines.add(
            f'{text}\n'.encode(),
            record.created,
            is_ordinary=record.levelno < logging.INFO,
        )


def _full_bucket(rate: float, now: float) -> TokenBucket:
    capacity = rate * BURST_S
    return TokenBucket(rate, capacity, level=capacity, updated=now)


def set_up_bounded_logging(descriptor: int, now: float) -> BoundedLines:
    """Send the records of every logger to the descriptor as JSON lines."""
    lines = BoundedLines(descriptor, now)
    root = logging.getLogger()
    root.handlers.clear()
    root.addHandler(EventHandler(lines))
    root.setLevel(logging.WARNING)
    logging.getLogger('chestnutshift').setLevel(logging.DEBUG)
    # An error in a handler must not be printed to standard error.
    logging.raiseExceptions = False
    return lines
