"""Slopes of numbered events."""

import functools

from bench.capacity import probes
from bench.capacity.fits import Point
from bench.capacity.slopes import BYTES, SECONDS, slope
from chestnutshift.events.log import EventLog
from chestnutshift.lookup.events import TABLE_CHANGED

EVENT_COUNTS = (2_000, 4_000, 8_000)


def _emit(count: int) -> EventLog:
    log = EventLog('vm')
    for number in range(count):
        log.emit(TABLE_CHANGED, request=f'request-{number}', number=number)
    return log


@slope('event_memory', 'memory of kept events', 'event', BYTES)
def measure_event_memory() -> list[Point]:
    """Measure the bytes allocated for emitted events."""
    return [
        Point(count, probes.allocated_bytes(functools.partial(_emit, count)))
        for count in EVENT_COUNTS
    ]


@slope('event_time', 'emission of events', 'event', SECONDS)
def measure_event_time() -> list[Point]:
    """Measure the time to emit events without a log handler."""
    return [
        Point(count, probes.cpu_seconds(functools.partial(_emit, count)))
        for count in EVENT_COUNTS
    ]
