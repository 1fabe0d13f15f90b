"""Tests that logging is bounded and does not block."""

import json
import logging
import os
from collections.abc import Iterator
from contextlib import contextmanager

from chestnutshift.edge import events
from chestnutshift.events.log import Event
from chestnutshift.logs.bounded import (
    BUFFER_MAX_B,
    BURST_S,
    LINES_PER_S,
    BoundedLines,
    EventHandler,
)

NOW = 100.0


@contextmanager
def pipe() -> Iterator[tuple[int, int]]:
    """Yield the reading and the writing end of a pipe."""
    reader, writer = os.pipe()
    try:
        yield reader, writer
    finally:
        os.close(reader)
        os.close(writer)


def test_full_pipe() -> None:
    """Lines are buffered up to a limit; dropped lines are counted."""
    with pipe() as (_, writer):
        lines = BoundedLines(writer, NOW)
        line = b'%1000s\n' % b'x'
        accepted = 0
        for number in range(2000):
            accepted += lines.add(line, NOW + number, is_ordinary=False)
            lines.flush()
        assert lines.dropped.unread == 2000 - accepted
        assert accepted * 1001 <= BUFFER_MAX_B + 65_536 + 1001


def test_rate_is_bounded() -> None:
    """Lines over the rate limit are dropped and counted."""
    with pipe() as (_, writer):
        lines = BoundedLines(writer, NOW)
        accepted = sum(
            lines.add(b'x\n', NOW, is_ordinary=False) for _ in range(5000)
        )
        assert accepted == LINES_PER_S * BURST_S
        assert lines.dropped.report()['over_rate'] == 5000 - accepted
        assert lines.dropped.report()['over_rate'] == 0


def test_ordinary_lines_leave_room_for_failures() -> None:
    """Lines of successes do not use up the rate for failures."""
    with pipe() as (_, writer):
        lines = BoundedLines(writer, NOW)
        for _ in range(5000):
            lines.add(b'x\n', NOW, is_ordinary=True)
        assert lines.add(b'x\n', NOW, is_ordinary=False)


def test_lines_are_json() -> None:
    """An event becomes one JSON object with its facts, no empty fields."""
    with pipe() as (reader, writer):
        lines = BoundedLines(writer, NOW)
        kind = events.REQUEST_REFUSED
        event = Event(
            1, 'vm-1', kind.number, kind.name, 'r-1', facts={'status': 503}
        )
        record = logging.makeLogRecord({'levelno': logging.INFO})
        record.event = event
        record.created = NOW
        EventHandler(lines).emit(record)
        lines.flush()
        written = json.loads(os.read(reader, 4096))
        assert written['request'] == 'r-1'
        assert written['status'] == 503
        assert 'account' not in written


def test_closed_reader() -> None:
    """After the reader closed its end, lines are dropped without error."""
    reader, writer = os.pipe()
    os.close(reader)
    lines = BoundedLines(writer, NOW)
    lines.add(b'x\n', NOW, is_ordinary=False)
    lines.flush()
    os.close(writer)
    assert lines.dropped.unread == 1
