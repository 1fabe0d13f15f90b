"""Numbered events about callers' keys (2500-2999)."""

import logging

from chestnutshift.events.catalogue import define

KEY_REFUSED = define(
    2500,
    'key.refused',
    'A request was refused, not run, because of its key; fact: code.',
)
KEY_WITHDRAWN = define(
    2501,
    'key.withdrawn',
    'This VM learned of a withdrawal; facts: digest prefix, source.',
)
KEY_STREAMS_CANCELLED = define(
    2502,
    'key.requests_cancelled',
    'Requests under way were cancelled; facts: code, count.',
    logging.WARNING,
)
KEY_TRUST_CHANGED = define(
    2503,
    'key.trust_changed',
    'The freshness of the keys changed; facts: before, after, age_s.',
    logging.WARNING,
)
KEY_REDACTED = define(
    2504,
    'key.hidden',
    'A key was taken out of a head; fact: names of the parts removed.',
)
KEY_WITHDRAWAL_WRITTEN = define(
    2505,
    'key.withdrawal_written',
    'Withdrawals made during an outage were written down; fact: count.',
)
