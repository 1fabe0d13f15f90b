"""Translate the heads of requests and answers."""

import contextlib
import math
import re
from typing import Any

import attrs

from chestnutshift.decimals import (
    SHOWN_MAX,
    NumberReader,
    UnreadableNumberError,
)
from chestnutshift.edge.dialect import (
    DIALECTS,
    AnswerFacts,
    Dialect,
    InboundRequest,
)
from chestnutshift.forwarding.heads import (
    HOP_BY_HOP,
    end_to_end_headers,
    find_header,
    keep_alive_timeout,
)
from chestnutshift.forwarding.problems import Problem, RefusalError
from chestnutshift.forwarding.requests import Headers
from chestnutshift.platform import names
from chestnutshift.platform.upstream_rows import COLD_MAX_S
from chestnutshift.steering.upstreams import LoadReport
from chestnutshift.upstreams.connection import OutboundRequest

DIGITS_MAX = 12
MILLISECONDS_PER_S = 1000
_JSON = (b'content-type', b'application/json')
# Headers of a caller that are not forwarded: the key, and headers that this
# system sets itself.
_NOT_FORWARDED = HOP_BY_HOP | {
    b'authorization',
    b'expect',
    b'content-length',
    names.DEADLINE,
    names.ACCOUNT,
    names.EXPECTED_UPSTREAM,
}
_HTTP_BAD_REQUEST = 400
_DECIMAL = re.compile(r'[0-9]+(\.[0-9]+)?')


@DIALECTS.register('platform')
class PlatformDialect(Dialect):
    """The header format of the hosting platform."""

    def read_request(self, scope: dict[str, Any]) -> InboundRequest:
        """Return the head that an ASGI scope carries; raises RefusalError."""
        headers: Headers = scope['headers']
        path = scope['raw_path']
        target = path
        if scope['query_string']:
            target = b'%b?%b' % (path, scope['query_string'])
        request_id = find_header(headers, names.REQUEST_ID)
        if not request_id:
            raise _malformed_request('the request has no id')
        return InboundRequest(
            request_id=request_id.decode('latin-1'),
            method=scope['method'].encode(),
            host=(find_header(headers, b'host') or b'').decode('latin-1'),
            path=path.decode('latin-1'),
            target=target,
            headers=end_to_end_headers(headers, _NOT_FORWARDED),
            object_key=find_header(headers, names.OBJECT_KEY) or b'',
            timeout_s=_timeout_s(headers),
            key=_key(headers),
            length_b=_length_b(headers),
        )

    def write_request(
        self,
        request: InboundRequest,
        upstream: str,
        account: str,
        remaining_s: float,
        body_b: int | None,
    ) -> OutboundRequest:
        """Return the request for one upstream; body_b is None for a stream."""
        headers = [(names.EXPECTED_UPSTREAM, upstream.encode())]
        if account:
            headers.append((names.ACCOUNT, account.encode()))
        return _forwarded(request, headers, remaining_s, body_b)

    def write_crossing(
        self,
        request: InboundRequest,
        headers: Headers,
        remaining_s: float,
        body_b: int | None,
    ) -> OutboundRequest:
        """Return the request for a peer, with the headers of the crossing."""
        return _forwarded(request, headers, remaining_s, body_b)

    def write_health_check(self, path: str, host: str) -> OutboundRequest:
        """Return a health check of an upstream."""
        headers = [(b'host', host.encode())]
        return OutboundRequest(b'GET', path.encode(), headers)

    def read_answer(self, headers: Headers) -> AnswerFacts:
        """Parse the headers of an upstream's answer."""
        fields = dict(headers)
        numbers = NumberReader()
        rests_s = numbers.read_all(headers, (b'retry-after',), _parse_decimal)
        limits = numbers.read_all(headers, names.RATE_LIMIT, _parse_decimal)
        is_limit_malformed = len(limits) > 1 or None in limits
        keep_alive_text = keep_alive_timeout(fields.get(b'keep-alive', b''))
        return AnswerFacts(
            request_id=fields.get(names.REQUEST_ID, b'').decode('latin-1'),
            upstream=fields.get(names.UPSTREAM, b'').decode('latin-1'),
            is_sealed=names.SEAL in fields,
            is_not_run=names.NOT_RUN in fields,
            is_encoded=b'content-encoding' in fields,
            keep_alive_s=numbers.read(
                b'keep-alive', keep_alive_text, _parse_digits
            ),
            load=numbers.read(names.LOAD, fields.get(names.LOAD), _load),
            cold_s=numbers.read(
                names.COLD_MS, fields.get(names.COLD_MS), _cold_s
            ),
            rate_limit=None if is_limit_malformed else next(iter(limits), None),
            # Of several the longest counts.
            retry_after_s=max(rests_s - {None}, default=None),
            is_leaving=any(
                name in names.LEAVING and text.strip() == names.IS_LEAVING
                for name, text in headers
            ),
            is_rate_limit_malformed=is_limit_malformed,
            malformed_headers=numbers.malformed,
            unknown_headers=fields.keys() - names.ANSWER_HEADERS,
        )

    def caller_headers(self, headers: Headers) -> Headers:
        """Return the headers of an upstream's answer to pass on."""
        return end_to_end_headers(headers, HOP_BY_HOP)

    def refusal_headers(
        self,
        request_id: str,
        retry_after_s: float | None,
    ) -> Headers:
        """Return the headers of a refusal that this system generates."""
        headers = [_JSON, (names.REQUEST_ID, request_id.encode('latin-1'))]
        if retry_after_s is not None:
            headers.append((b'retry-after', b'%.3f' % retry_after_s))
        return headers


def _forwarded(
    request: InboundRequest,
    headers: Headers,
    remaining_s: float,
    body_b: int | None,
) -> OutboundRequest:
    headers = [*request.headers, *headers]
    if math.isfinite(remaining_s):
        remaining_ms = max(1, math.floor(remaining_s * MILLISECONDS_PER_S))
        headers.append((names.DEADLINE, b'%d' % remaining_ms))
    headers += request.framing_headers(body_b)
    return OutboundRequest(request.method, request.target, headers)


def _malformed_request(detail: str) -> RefusalError:
    return RefusalError(Problem(_HTTP_BAD_REQUEST, 'request.malformed', detail))


def _parse_digits(text: str) -> int:
    if len(text) > DIGITS_MAX or not (text.isascii() and text.isdigit()):
        raise UnreadableNumberError(f'{text[:SHOWN_MAX]!r} is not digits')
    return int(text)


def _parse_decimal(text: str) -> float:
    if len(text) > DIGITS_MAX or not _DECIMAL.fullmatch(text):
        raise UnreadableNumberError(f'{text[:SHOWN_MAX]!r} is not decimal')
    return float(text)


def _timeout_s(headers: Headers) -> float | None:
    text = find_header(headers, names.DEADLINE)
    if text is None:
        return None
    try:
        return _parse_digits(text.decode('latin-1')) / MILLISECONDS_PER_S
    except UnreadableNumberError as error:
        raise _malformed_request(f'the deadline: {error.detail}') from error


def _key(headers: Headers) -> str | None:
    text = find_header(headers, b'authorization') or b''
    scheme, _, key = text.partition(b' ')
    if scheme.lower() != names.KEY_SCHEME or not key:
        return None
    return key.strip().decode('latin-1')


def _length_b(headers: Headers) -> int | None:
    """Return the length of a body, None for none or for a huge number."""
    text = find_header(headers, b'content-length') or b''
    with contextlib.suppress(UnreadableNumberError):
        return _parse_digits(text.decode('latin-1'))
    return None


def _cold_s(text: str) -> float:
    cold_s = _parse_digits(text) / MILLISECONDS_PER_S
    if cold_s > COLD_MAX_S:
        raise UnreadableNumberError(f'{text} is out of range')
    return cold_s


def _load(text: str) -> LoadReport:
    parts = text.split(',')
    if len(parts) != len(attrs.fields(LoadReport)):
        raise UnreadableNumberError(f'{text[:SHOWN_MAX]!r} is no load')
    return LoadReport(*(_parse_digits(part.strip()) for part in parts))
