"""The log is bounded and never blocks."""

import json
import logging
import os
from collections.abc import Iterator
from contextlib import contextmanager

from chestnutshift.edge import events
from chestnutshift.events.log import Event
from chestnutshift.logs.bounded import (
    BURST_S,
    HELD_MAX_B,
    LINES_RATE,
    BoundedLines,
    EventHandler,
)

NOW = 100.0


@contextmanager
def pipe() -> Iterator[tuple[int, int]]:
    """Yield both ends of a pipe that nobody reads."""
    reader, writer = os.pipe()
    try:
        yield reader, writer
    finally:
        os.close(reader)
        os.close(writer)


def test_a_pipe_that_nobody_reads() -> None:
    """Lines wait up to a bound; what is left out is counted."""
    with pipe() as (_, writer):
        lines = BoundedLines(writer, NOW)
        line = b'%1000s\n' % b'x'
        taken = 0
        for number in range(2000):
            taken += lines.add(line, NOW + number, is_ordinary=False)
            lines.flush()
        assert lines.left_out.unread == 2000 - taken
        assert taken * 1001 <= HELD_MAX_B + 65_536 + 1001


def test_rate_is_bounded() -> None:
    """Lines over the rate are left out and counted."""
    with pipe() as (_, writer):
        lines = BoundedLines(writer, NOW)
        taken = sum(
            lines.add(b'x\n', NOW, is_ordinary=False) for _ in range(5000)
        )
        assert taken == LINES_RATE * BURST_S
        assert lines.left_out.report()['over_rate'] == 5000 - taken
        assert lines.left_out.report()['over_rate'] == 0


def test_ordinary_lines_leave_room_for_failures() -> None:
    """A flood of successes does not hide a failure."""
    with pipe() as (_, writer):
        lines = BoundedLines(writer, NOW)
        for _ in range(5000):
            lines.add(b'x\n', NOW, is_ordinary=True)
        assert lines.add(b'x\n', NOW, is_ordinary=False)


def test_lines_are_json() -> None:
    """An event becomes one object with its facts and no empty field."""
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
        found = json.loads(os.read(reader, 4096))
        assert found['request'] == 'r-1'
        assert found['status'] == 503
        assert 'account' not in found


def test_a_reader_that_went_away() -> None:
    """Writing to nobody drops the lines and raises nothing."""
    reader, writer = os.pipe()
    os.close(reader)
    lines = BoundedLines(writer, NOW)
    lines.add(b'x\n', NOW, is_ordinary=False)
    lines.flush()
    os.close(writer)
    assert lines.left_out.unread == 1
