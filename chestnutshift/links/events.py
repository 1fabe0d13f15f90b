"""Numbered events of the links between entry VMs."""

import logging

from chestnutshift.events.catalogue import define

LINK_UP = define(1001, 'link.up', 'A link to another VM was established.')
LINK_DOWN = define(
    1002,
    'link.down',
    'A link to another VM broke or timed out.',
    logging.WARNING,
)
HANDSHAKE_FAILED = define(
    1003,
    'link.stranger',
    "A connection to the peers' port failed the handshake.",
    logging.WARNING,
)
