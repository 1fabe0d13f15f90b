"""Numbered events of forwarding."""

import logging

from chestnutshift.events.catalogue import define

REQUEST_ANSWERED = define(
    6001,
    'request.answered',
    'A caller received the complete answer of an upstream.',
    logging.DEBUG,
)
REQUEST_REFUSED = define(
    6002,
    'request.refused',
    'A caller received a refusal with an error code.',
    logging.DEBUG,
)
ANSWER_ABORTED = define(
    6003,
    'answer.aborted',
    'An answer was incomplete; the connection of its caller was reset.',
    logging.WARNING,
)
ATTEMPT_FAILED = define(
    6004,
    'attempt.failed',
    'An attempt failed; the field ran says whether the request may have run.',
    logging.WARNING,
)
CALLER_GONE = define(
    6005,
    'caller.gone',
    'A caller disconnected before its answer; its request was cancelled.',
)
REQUEST_FAILED = define(
    6006,
    'request.failed',
    'An internal error ended a request.',
    logging.ERROR,
)
