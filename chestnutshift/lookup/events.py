"""Numbered events of the look-up package, 7000 to 7999."""

import logging

from chestnutshift.events.catalogue import define

TABLE_LOADED = define(
    7001,
    'lookup.table_loaded',
    'A whole table of client blocks replaced the one before.',
)
TABLE_CHANGED = define(
    7002,
    'lookup.table_changed',
    'A delta changed client blocks of the table.',
)
TABLE_GAP = define(
    7003,
    'lookup.table_gap',
    'A delta did not fit the table; the whole table has to be fetched.',
    logging.WARNING,
)
MOVE_HELD = define(
    7004,
    'lookup.move_held',
    'Answers stay in the source region: the cap of the shift is reached.',
)
MOVE_RESUMED = define(
    7005,
    'lookup.move_resumed',
    'Answers move to the target region again, under the cap of the shift.',
)
NO_LIVE_ENTRY = define(
    7006,
    'lookup.no_live_entry',
    'Answers name VMs that leave or are silent: no live VM is known.',
    logging.WARNING,
)
LIVE_ENTRY_AGAIN = define(
    7007,
    'lookup.live_entry_again',
    'Answers name live VMs again.',
)
