"""Numbered events of upstreams, 5000 to 5399."""

import logging

from chestnutshift.events.catalogue import define

UPSTREAM_CHOSEN = define(
    5000,
    'upstream.chosen',
    'A request was given to an upstream; load and policy are the cause.',
    logging.DEBUG,
)
UPSTREAM_NONE = define(
    5001,
    'upstream.none',
    'No upstream of the service takes new work.',
    logging.WARNING,
)
UPSTREAM_SUSPECT = define(
    5010,
    'upstream.suspect',
    'An upstream failed too often and gets one trial request at a time.',
    logging.WARNING,
)
UPSTREAM_LIVE = define(
    5011,
    'upstream.live',
    'An upstream answered its trial request and takes work again.',
)
UPSTREAM_LEAVING = define(
    5012,
    'upstream.leaving',
    'An upstream is leaving and gets no new work; the source is the cause.',
)
UPSTREAM_GONE = define(
    5013,
    'upstream.gone',
    'An upstream that was leaving no longer accepts connections.',
)
UPSTREAM_RESTARTED = define(
    5014,
    'upstream.restarted',
    'An upstream restarted as a new process and is warmed up.',
)
UPSTREAM_COLD = define(
    5020,
    'upstream.cold',
    'An upstream started or was idle for long; its usable slots ramp up.',
)
CONNECTION_DELAYED = define(
    5030,
    'connection.delayed',
    'A new connection waits for the connection rate limit of its upstream.',
    logging.DEBUG,
)
SLOTS_LENT = define(
    5100,
    'slots.lent',
    'This VM lent slots of an upstream to another VM of its failure domain.',
)
SLOTS_BORROWED = define(
    5101,
    'slots.borrowed',
    'This VM borrowed slots of an upstream from another VM.',
)
SLOTS_RETURNED = define(
    5102,
    'slots.returned',
    'Lent slots of an upstream were returned to this VM.',
)
SLOTS_EXPIRED = define(
    5103,
    'slots.expired',
    'Lent slots were not returned before the loan expired.',
    logging.WARNING,
)
REQUEST_QUEUED = define(
    5200,
    'request.queued',
    'A request waits for a slot of its service.',
    logging.DEBUG,
)
REQUEST_REFUSED = define(
    5201,
    'queue.refused',
    'A request was refused before it ran; queue and rate are the cause.',
)
FOREIGN_REFUSED = define(
    5202,
    'foreign.refused',
    'Work of another failure domain was refused to keep slots in reserve.',
)
