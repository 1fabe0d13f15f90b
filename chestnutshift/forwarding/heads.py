"""Request heads for upstreams and answer headers for callers."""

import attrs

from chestnutshift.forwarding.problems import (
    ACCOUNT_HEADER,
    REQUEST_ID_HEADER,
)
from chestnutshift.forwarding.requests import (
    DEADLINE_HEADER,
    CallerRequest,
    Headers,
)
from chestnutshift.invariants.registry import KEYED_REQUEST, verify
from chestnutshift.keys.credentials import read_key
from chestnutshift.keys.exceptions import KeyRefusalError
from chestnutshift.keys.redaction import (
    KeyDetector,
    redact_key,
    verify_redacted,
)
from chestnutshift.upstreams.connection import OutboundRequest

# Headers that apply to a single connection (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'keep-alive',
        b'proxy-connection',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)
RESERVED_PREFIX = b'chestnutshift-'
MILLISECONDS_PER_S = 1000
_DROPPED_TO_UPSTREAM = HOP_BY_HOP | {
    b'host',
    b'authorization',
    b'expect',
    b'http2-settings',
    REQUEST_ID_HEADER,
}
_DROPPED_TO_CALLER = HOP_BY_HOP | {REQUEST_ID_HEADER}


@attrs.frozen
class RedactedRequest:
    """A caller's request without its key, and a detector of that key."""

    method: bytes
    target: bytes
    headers: Headers
    _detector: KeyDetector

    def outbound(
        self,
        account: str,
        host: bytes,
        remaining_s: float,
        *,
        body_b: int | None,
        extra_headers: Headers,
    ) -> OutboundRequest:
        """Return the request for one upstream or VM.

        body_b is the length of a completely buffered body, whatever framing
        the caller used, None for a body that is still being received.
        """
        headers = self.headers + extra_headers
        if not _has_length(headers):
            headers += _framing_headers(body_b)
        remaining_ms = max(1, int(remaining_s * MILLISECONDS_PER_S))
        headers += [(b'host', host), (DEADLINE_HEADER, b'%d' % remaining_ms)]
        if account:
            headers.append((ACCOUNT_HEADER, account.encode()))
        verify_redacted(self._detector, self.target, headers)
        accounts = [text for name, text in headers if name == ACCOUNT_HEADER]
        expected = [account.encode()] if account else []
        verify(
            KEYED_REQUEST,
            holds=accounts == expected,
            detail='the outbound request names another account',
        )
        return OutboundRequest(self.method, self.target, headers)


def redact_request(request: CallerRequest) -> RedactedRequest:
    """Return the request without its key and hop-by-hop headers.

    Headers with RESERVED_PREFIX are dropped, so that callers can't set them.
    Raises KeyInTargetError if the path contains the key.
    """
    path, separator, query = request.target.partition(b'?')
    headers = end_to_end_headers(request.headers, _DROPPED_TO_UPSTREAM)
    headers.append((REQUEST_ID_HEADER, request.request_id.encode()))
    detector = _detector_of(request)
    redacted = redact_key(detector, path, query, headers)
    return RedactedRequest(
        method=request.method.encode(),
        target=path + separator + redacted.query,
        headers=redacted.headers,
        detector=detector,
    )


def caller_headers(headers: Headers, request_id: str) -> Headers:
    """Return the headers of an upstream's answer to send to the caller.

    The names are in lower case.
    """
    forwarded = end_to_end_headers(headers, _DROPPED_TO_CALLER)
    forwarded.append((REQUEST_ID_HEADER, request_id.encode()))
    return forwarded


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the value of the first header with that lower-case name."""
    for header_name, text in headers:
        if header_name == name:
            return text
    return None


def end_to_end_headers(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return the headers without the dropped names.

    Headers that a Connection header names, and those with RESERVED_PREFIX, are
    dropped as well.
    """
    options = _connection_options(headers)
    if options:
        dropped |= options
    return [
        (name, text)
        for name, text in headers
        if name not in dropped and not name.startswith(RESERVED_PREFIX)
    ]


def _connection_options(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
    ) - {b'content-length'}


def _framing_headers(body_b: int | None) -> Headers:
    if body_b is None:
        return [(b'transfer-encoding', b'chunked')]
    if body_b:
        return [(b'content-length', b'%d' % body_b)]
    return []


def _has_length(headers: Headers) -> bool:
    return any(name == b'content-length' for name, _ in headers)


def _detector_of(request: CallerRequest) -> KeyDetector:
    """Return a detector of the request's key, else of any generated key."""
    try:
        return KeyDetector(read_key(request.headers))
    except KeyRefusalError:
        return KeyDetector(None)
