"""Heads of requests to upstreams and of answers to callers."""

from chestnutshift.forwarding.problems import (
    ACCOUNT_HEADER,
    REQUEST_ID_HEADER,
)
from chestnutshift.forwarding.requests import (
    DEADLINE_HEADER,
    CallerRequest,
    Headers,
)

# Headers that speak of one connection only (RFC 9110, 7.6.1).
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
OWN_PREFIX = b'chestnutshift-'
_TO_UPSTREAM = HOP_BY_HOP | {
    b'host',
    b'authorization',
    b'expect',
    b'http2-settings',
    REQUEST_ID_HEADER,
}
_TO_CALLER = HOP_BY_HOP | {REQUEST_ID_HEADER}
# A caller must not make the length of a message go missing.
_NEVER_NAMED = frozenset((b'content-length',))


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
    ).difference(_NEVER_NAMED)


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first header of that lower-case name."""
    for found, text in headers:
        if found == name:
            return text
    return None


def upstream_headers(
    request: CallerRequest,
    account: str,
    host: bytes,
    remaining_s: float,
    *,
    has_stream: bool,
) -> Headers:
    """Return the headers for an upstream, the caller's key left out.

    Callers can't pass on headers of the system's own prefix.
    """
    dropped = _TO_UPSTREAM
    named = _named_by_connection(request.headers)
    kept = [
        (name, text)
        for name, text in request.headers
        if name not in dropped
        and name not in named
        and not name.startswith(OWN_PREFIX)
    ]
    if has_stream and not any(name == b'content-length' for name, _ in kept):
        kept.append((b'transfer-encoding', b'chunked'))
    kept += [
        (b'host', host),
        (REQUEST_ID_HEADER, request.request_id.encode()),
        (DEADLINE_HEADER, b'%d' % max(1, remaining_s * 1000)),
    ]
    if account:
        kept.append((ACCOUNT_HEADER, account.encode()))
    return kept


def caller_headers(headers: Headers, request_id: str) -> Headers:
    """Return the headers of an upstream's answer for the caller.

    The names are in lower case.
    """
    dropped = _TO_CALLER
    named = _named_by_connection(headers)
    kept = [
        (name, text)
        for name, text in headers
        if name not in dropped
        and name not in named
        and not name.startswith(OWN_PREFIX)
    ]
    kept.append((REQUEST_ID_HEADER, request_id.encode()))
    return kept
