"""Numbered events about idempotency (4000-4999)."""

import logging

from chestnutshift.events.catalogue import define

CLAIMED = define(
    4000,
    'idempotency.claimed',
    'This VM claimed an operation; fields: claim, fence, state.',
    logging.DEBUG,
)
CLOSED = define(
    4001,
    'idempotency.closed',
    'A claim was closed; fields: claim, fence, state.',
    logging.DEBUG,
)
REPEATED = define(
    4002,
    'idempotency.repeated',
    'A repeat was answered without a run; fields: claim, fence, state.',
    logging.DEBUG,
)
CLAIM_UNCERTAIN = define(
    4003,
    'idempotency.claim_uncertain',
    'The store did not confirm a claim; the request was refused, not run.',
    logging.WARNING,
)
WRITING_DELAYED = define(
    4004,
    'idempotency.settling_delayed',
    'Outcomes could not be written yet; fields: waiting (count), code.',
    logging.WARNING,
)
RECORD_DROPPED = define(
    4005,
    'idempotency.settling_dropped',
    'An outcome was dropped unwritten; fields: claim, fence, state.',
    logging.ERROR,
)
TICKET_ISSUED = define(
    4006,
    'idempotency.ticket_minted',
    'This VM issued a ticket to a caller.',
    logging.DEBUG,
)
RECORDS_DELETED = define(
    4007,
    'idempotency.records_deleted',
    'Records older than the retention were deleted; field: count.',
)
