"""Refusals that the connection sends without the application."""

import secrets
from typing import Any

import h11

from chestnutshift.callers.request_parser import RequestParser
from chestnutshift.forwarding.problems import Problem, Ran
from chestnutshift.forwarding.requests import REQUEST_ID_B, Headers

HEAD_TOO_LARGE_STATUS = 431
_BODY_LENGTHS = frozenset((b'content-length', b'transfer-encoding'))

SLOW_HEAD = Problem(
    408,
    'request.slow_head',
    'the head of the request did not arrive in time',
)
INTERNAL_ERROR = Problem(
    500,
    'request.fault',
    'an internal error ended the request; it may have run',
    Ran.UNKNOWN,
)
TOO_MANY_CONNECTIONS = Problem(
    503,
    'callers.connections',
    'this VM has reached its connection limit; use another',
    retry_after_s=1,
)
HEAD_TOO_LARGE = Problem(
    HEAD_TOO_LARGE_STATUS,
    'request.head',
    'the head of the request is too large',
)
_AMBIGUOUS_LENGTH = Problem(
    400,
    'request.malformed',
    'send Content-Length or Transfer-Encoding, not both',
)
_UNSUPPORTED_VERSION = Problem(
    505,
    'request.http_version',
    'this port supports HTTP/1.1 and HTTP/1.0 only',
)
_WEBSOCKET_UNSUPPORTED = Problem(
    501,
    'request.websocket',
    'this port does not support websockets',
)
_CONNECT_UNSUPPORTED = Problem(
    501,
    'request.method',
    'this port does not support CONNECT',
)


def format_refusal(problem: Problem, parser: RequestParser) -> bytes:
    """Return the bytes of an answer that also closes the connection."""
    request_id = secrets.token_hex(REQUEST_ID_B)
    body = b'' if parser.is_head_request else problem.body(request_id)
    headers = problem.headers(request_id)
    headers += [
        (b'content-length', b'%d' % len(body)),
        (b'connection', b'close'),
    ]
    response = h11.Response(status_code=problem.status, headers=headers)
    head = parser.send(response)
    content = parser.send(h11.Data(data=body)) if body else b''
    return head + content + parser.send(h11.EndOfMessage())


def refusal_messages(problem: Problem) -> list[dict[str, Any]]:
    """Return the ASGI messages of an answer with the problem."""
    request_id = secrets.token_hex(REQUEST_ID_B)
    body = problem.body(request_id)
    headers = problem.headers(request_id)
    headers.append((b'content-length', b'%d' % len(body)))
    status = problem.status
    return [
        {'type': 'http.response.start', 'status': status, 'headers': headers},
        {'type': 'http.response.body', 'body': body},
    ]


def refuse_malformed(error: h11.RemoteProtocolError) -> Problem:
    """Return the refusal of a head that h11 rejects."""
    if error.error_status_hint == HEAD_TOO_LARGE_STATUS:
        return HEAD_TOO_LARGE
    return Problem(400, 'request.malformed', str(error))


def refuse_head(
    request: h11.Request,
    headers: Headers,
    limit_b: int,
) -> Problem | None:
    """Return the refusal of a request that this port doesn't support.

    The size is checked here too, as h11 limits only heads that arrive in
    several pieces.
    """
    head_b = sum(len(name) + len(text) for name, text in headers)
    if head_b + len(request.target) > limit_b:
        return HEAD_TOO_LARGE
    if request.http_version not in {b'1.1', b'1.0'}:
        return _UNSUPPORTED_VERSION
    if request.method == b'CONNECT':
        return _CONNECT_UNSUPPORTED
    if _BODY_LENGTHS.issubset(name for name, _ in headers):
        return _AMBIGUOUS_LENGTH
    for name, text in headers:
        if name == b'upgrade' and text.strip().lower() == b'websocket':
            return _WEBSOCKET_UNSUPPORTED
    return None
