"""Numbered events of regions, 5400 to 5699."""

import logging

from chestnutshift.events.catalogue import define

WORK_MOVED = define(
    5400,
    'work.moved',
    'A request went to another failure domain; the local wait is the cause.',
    logging.DEBUG,
)
MOVE_REFUSED = define(
    5401,
    'move.refused',
    'The other failure domain refused work from here; it is left for a while.',
)
SHIFT_CAPPED = define(
    5410,
    'shift.capped',
    'A request stayed because the cap between the two regions is used up.',
)
SHIFT_PAUSED = define(
    5411,
    'shift.paused',
    'A shift makes no progress: its target has no fresh measurement or room.',
    logging.WARNING,
)
SHIFT_RESUMED = define(
    5412,
    'shift.resumed',
    'A shift makes progress again.',
)
DRAIN_STARTED = define(
    5420,
    'drain.started',
    'A planned move away from a target began.',
)
DRAIN_FINISHED = define(
    5421,
    'drain.finished',
    'A drained target runs nothing and cached look-ups no longer name it.',
)
DRAIN_ENDED = define(
    5422,
    'drain.ended',
    'A target takes work again.',
)
