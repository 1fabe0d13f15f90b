"""Numbered events of the configuration."""

import logging

from chestnutshift.events.catalogue import define

IN_FORCE = define(
    2001,
    'configuration.in_force',
    'A newer configuration is in force on this VM.',
)
REJECTED = define(
    2002,
    'configuration.rejected',
    'A configuration failed the checks and was rejected.',
    logging.ERROR,
)
PLATFORM_LOST = define(
    2003,
    'platform.lost',
    'The platform stopped answering this VM.',
    logging.WARNING,
)
PLATFORM_BACK = define(
    2004,
    'platform.back',
    'The platform answers this VM again.',
)
CHANGE_ACCEPTED = define(
    2005,
    'configuration.accepted',
    "An operator's change was accepted through this VM.",
)
CHANGE_REFUSED = define(
    2006,
    'configuration.refused',
    "An operator's change was refused.",
    logging.WARNING,
)
