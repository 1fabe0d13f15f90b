"""Numbered events about callers' keys (2500-2999)."""

import logging

from chestnutshift.events.catalogue import define

KEY_REFUSED = define(
    2500,
    'key.refused',
    'A request was refused, not run, because of its key; field: code.',
)
KEY_WITHDRAWN = define(
    2501,
    'key.withdrawn',
    'This VM learned of a withdrawal; fields: digest (its prefix), source.',
)
KEY_REQUESTS_CANCELLED = define(
    2502,
    'key.requests_cancelled',
    'Requests in flight were cancelled; fields: code, count.',
    logging.WARNING,
)
KEY_TRUST_CHANGED = define(
    2503,
    'key.trust_changed',
    'The freshness of the keys changed; fields: before, after, age_s.',
    logging.WARNING,
)
KEY_REDACTED = define(
    2504,
    'key.hidden',
    'A key was redacted from a request; field: names of the removed parts.',
)
KEY_WITHDRAWAL_WRITTEN = define(
    2505,
    'key.withdrawal_written',
    'Withdrawals made in an outage were written to the store; field: count.',
)
KEY_WITHDRAWAL_UNWRITTEN = define(
    2506,
    'key.withdrawal_unwritten',
    'Withdrawals could not be written and will be; fields: code, detail.',
    logging.WARNING,
)
