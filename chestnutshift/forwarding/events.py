"""Numbered events of forwarding."""

import logging

from chestnutshift.events.catalogue import define

REQUEST_ANSWERED = define(
    6001,
    'request.answered',
    'A caller got the whole answer of an upstream.',
    logging.DEBUG,
)
REQUEST_REFUSED = define(
    6002,
    'request.refused',
    'A caller got a refusal with a code.',
    logging.DEBUG,
)
ANSWER_ABORTED = define(
    6003,
    'answer.aborted',
    'An answer broke off and the connection of its caller was aborted.',
    logging.WARNING,
)
ATTEMPT_FAILED = define(
    6004,
    'attempt.failed',
    'One attempt at an upstream failed; facts say whether it may have run.',
    logging.WARNING,
)
CALLER_GONE = define(
    6005,
    'caller.gone',
    'A caller closed before its answer; the upstream was told.',
)
REQUEST_FAILED = define(
    6006,
    'request.failed',
    'A fault in the program ended a request.',
    logging.ERROR,
)
