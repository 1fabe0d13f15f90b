"""Numbered events of retries, 5700 to 5999."""

import logging

from chestnutshift.events.catalogue import define

RETRY_GRANTED = define(
    5700,
    'retry.granted',
    'A request is sent again; the failed attempt is the cause.',
)
RETRY_DENIED = define(
    5701,
    'retry.denied',
    'A request is not sent again; the reason is the cause.',
)
DEADLINE_EXCEEDED = define(
    5710,
    'deadline.exceeded',
    'A request ended unanswered because its deadline passed.',
    logging.WARNING,
)
