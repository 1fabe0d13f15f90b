"""Numbered events of the look-up package, 7000 to 7999."""

import logging

from chestnutshift.events.catalogue import define

TABLE_LOADED = define(
    7001,
    'lookup.table_loaded',
    'A new table of client blocks replaced the previous one.',
)
TABLE_CHANGED = define(
    7002,
    'lookup.table_changed',
    'A delta was applied to the table of client blocks.',
)
TABLE_GAP = define(
    7003,
    'lookup.table_gap',
    'A delta is not based on the current table; fetch the whole table.',
    logging.WARNING,
)
MOVE_HELD = define(
    7004,
    'lookup.move_held',
    'A shift reached its cap; answers name the source region.',
)
MOVE_RESUMED = define(
    7005,
    'lookup.move_resumed',
    'A shift is below its cap; answers name the target region again.',
)
NO_LIVE_ENTRY = define(
    7006,
    'lookup.no_live_entry',
    'No live VM is known; answers name leaving, drained or silent VMs.',
    logging.WARNING,
)
LIVE_ENTRY_AGAIN = define(
    7007,
    'lookup.live_entry_again',
    'Answers name live VMs again.',
)
