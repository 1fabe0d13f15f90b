"""Numbered events about idempotency (4000-4999)."""

import logging

from chestnutshift.events.catalogue import define

CLAIMED = define(
    4000,
    'idempotency.claimed',
    'This VM may run an operation; facts: claim, fence, state.',
    logging.DEBUG,
)
CLOSED = define(
    4001,
    'idempotency.closed',
    'A claim ended; facts: claim, fence, state.',
    logging.DEBUG,
)
REPEATED = define(
    4002,
    'idempotency.repeated',
    'A repeat was answered without a run; facts: claim, fence, state.',
    logging.DEBUG,
)
CLAIM_UNCERTAIN = define(
    4003,
    'idempotency.claim_uncertain',
    'The answer to a claim was lost; the request was refused, not run.',
    logging.WARNING,
)
WRITING_DELAYED = define(
    4004,
    'idempotency.settling_delayed',
    'Outcomes wait in memory for the store; facts: waiting, code.',
    logging.WARNING,
)
RECORD_DROPPED = define(
    4005,
    'idempotency.settling_dropped',
    'An outcome was given up unwritten; facts: claim, fence, state.',
    logging.ERROR,
)
TICKET_ISSUED = define(
    4006,
    'idempotency.ticket_minted',
    'A caller got a ticket of this VM.',
    logging.DEBUG,
)
RECORDS_DELETED = define(
    4007,
    'idempotency.records_deleted',
    'Records older than their retention were deleted; fact: count.',
)
