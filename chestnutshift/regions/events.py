"""Numbered events of regions: 5400 to 5699."""

import logging

from chestnutshift.events.catalogue import define

WORK_MOVED = define(
    5400,
    'work.moved',
    'A request moved to another failure domain because of its local wait.',
    logging.DEBUG,
)
MOVE_REFUSED = define(
    5401,
    'move.refused',
    'A VM of another failure domain refused a request; a backoff starts.',
)
SHIFT_CAPPED = define(
    5410,
    'shift.capped',
    'A request was not moved because the cap between the regions is used up.',
)
SHIFT_PAUSED = define(
    5411,
    'shift.paused',
    'A shift is paused: its target has no fresh measurement or is too loaded.',
    logging.WARNING,
)
SHIFT_RESUMED = define(
    5412,
    'shift.resumed',
    'A paused shift continues.',
)
DRAIN_STARTED = define(
    5420,
    'drain.started',
    'The drain of a target started.',
)
DRAIN_FINISHED = define(
    5421,
    'drain.finished',
    'A drained target runs no requests and no cached look-up names it.',
)
DRAIN_ENDED = define(
    5422,
    'drain.ended',
    'The drain of a target was ended; it takes requests again.',
)
