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
_REPLACED = frozenset((b'host', b'authorization', REQUEST_ID_HEADER, b'expect'))


def _named_by_connection(headers: Headers) -> frozenset[bytes]:
    return frozenset(
        token.strip().lower()
        for name, text in headers
        if name == b'connection'
        for token in text.split(b',')
    )


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
    dropped = HOP_BY_HOP | _REPLACED
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
    """Return the headers of an upstream's answer for the caller."""
    # The server on the callers' port puts its own date.
    dropped = HOP_BY_HOP | {b'date', REQUEST_ID_HEADER}
    named = _named_by_connection(
        [(name.lower(), text) for name, text in headers],
    )
    kept = [
        (name, text)
        for name, text in headers
        if name.lower() not in dropped
        and name.lower() not in named
        and not name.lower().startswith(OWN_PREFIX)
    ]
    kept.append((REQUEST_ID_HEADER, request_id.encode()))
    return kept
