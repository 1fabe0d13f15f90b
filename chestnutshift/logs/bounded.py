"""Structured log lines on a descriptor, bounded and never blocking.

Lines wait in memory and are written when the descriptor takes them. What is
over the rate or does not fit in memory is left out, counted, and told of.
"""

import json
import logging
import os
from collections import deque

import attrs

from chestnutshift.accounts.bucket import TokenBucket

# Ordinary lines a second; lines of a failure may use the rest of the rate.
ORDINARY_RATE = 150.0
LINES_RATE = 400.0
# Lines that may come at once, in seconds of their rate.
BURST_S = 2.0
HELD_MAX_B = 262_144
LINE_MAX_B = 4096
FLUSH_S = 0.1


@attrs.define
class LeftOut:
    """Lines that were left out since the last report, and in all."""

    over_rate: int = 0
    unread: int = 0
    total: int = 0

    def report(self) -> dict[str, int]:
        """Return the counts since the last report, and restart them."""
        counts = {'over_rate': self.over_rate, 'unread': self.unread}
        self.over_rate = 0
        self.unread = 0
        return counts


class BoundedLines:
    """Lines for one descriptor, which is set not to block."""

    def __init__(self, descriptor: int, now: float) -> None:
        """Write to the descriptor."""
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self._held: deque[bytes] = deque()
        self._held_b = 0
        self._ordinary = _full_bucket(ORDINARY_RATE, now)
        self._all = _full_bucket(LINES_RATE, now)
        self.left_out = LeftOut()

    def add(self, line: bytes, now: float, *, is_ordinary: bool) -> bool:
        """Take a line unless it is over a bound; tell whether it was taken."""
        bucket = self._ordinary if is_ordinary else self._all
        if not bucket.take(1, now):
            self.left_out.over_rate += 1
            self.left_out.total += 1
            return False
        if self._held_b + len(line) > HELD_MAX_B:
            self.left_out.unread += 1
            self.left_out.total += 1
            return False
        self._held.append(line[:LINE_MAX_B])
        self._held_b += len(self._held[-1])
        return True

    def flush(self) -> None:
        """Write what the descriptor takes now."""
        while self._held:
            content = b''.join(self._held)
            try:
                written = os.write(self._descriptor, content)
            except BlockingIOError:
                # A slow reader: the lines wait, and are counted once full.
                return
            except OSError:
                # Nobody will read them any more.
                self._drop_held()
                return
            self._held.clear()
            self._held_b = len(content) - written
            if self._held_b:
                self._held.append(content[written:])

    def _drop_held(self) -> None:
        self.left_out.unread += len(self._held)
        self.left_out.total += len(self._held)
        self._held.clear()
        self._held_b = 0


class EventHandler(logging.Handler):
    """Put records, events above all, into bounded lines."""

    def __init__(self, lines: BoundedLines) -> None:
        """Write JSON objects, one a line."""
        super().__init__()
        self._lines = lines

    def emit(self, record: logging.LogRecord) -> None:
        """Add the record's line."""
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
    # Whatever goes wrong in a handler must not print to standard error.
    logging.raiseExceptions = False
    return lines
