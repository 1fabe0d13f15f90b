"""Translate the heads of requests and answers."""

import functools
import math
from typing import Any

import attrs

from chestnutshift.decimals import (
    INTEGER_MAX,
    SHOWN_MAX,
    NumberReader,
    UnreadableNumberError,
    parse_decimal,
    read_decimal,
    read_digits,
    read_whole,
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
)
from chestnutshift.forwarding.problems import Problem, RefusalError
from chestnutshift.forwarding.requests import Headers
from chestnutshift.platform import names
from chestnutshift.platform.durations import DURATION_MAX_S
from chestnutshift.platform.fields import NUMBER_MAX
from chestnutshift.platform.upstream_rows import COLD_MAX_S
from chestnutshift.steering.upstreams import LoadReport
from chestnutshift.upstreams.connection import OutboundRequest

# Requests at an upstream; loads are added up and compared.
COUNT_MAX = 10**12
# Builds before this one read twelve characters of these headers at most.
DEADLINE_MAX_MS = 10**12 - 1
RETRY_AFTER_MAX_S = 10**8 - 1
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
_READ_LIMIT = functools.partial(read_decimal, maximum=NUMBER_MAX)
_READ_LENGTH = functools.partial(read_digits, maximum=INTEGER_MAX)


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
        length = find_header(headers, b'content-length')
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
            length_b=length and NumberReader().read(b'', length, _READ_LENGTH),
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
        rests_s = numbers.read_all(headers, (b'retry-after',), _rest_s)
        limits = numbers.read_all(headers, names.RATE_LIMIT, _READ_LIMIT)
        is_limit_malformed = len(limits) > 1 or None in limits
        return AnswerFacts(
            request_id=fields.get(names.REQUEST_ID, b'').decode('latin-1'),
            upstream=fields.get(names.UPSTREAM, b'').decode('latin-1'),
            is_sealed=names.SEAL in fields,
            is_not_run=names.NOT_RUN in fields,
            is_encoded=b'content-encoding' in fields,
            load=numbers.read(names.LOAD, fields.get(names.LOAD), _load),
            cold_s=numbers.read(
                names.COLD_MS, fields.get(names.COLD_MS), _cold_s
            ),
            rate_limit=None if is_limit_malformed else next(iter(limits), None),
            # Of several the longest counts.
            retry_after_s=max(rests_s - {None}, default=None),
            is_retry_after_malformed=None in rests_s,
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
            rest_s = min(RETRY_AFTER_MAX_S, retry_after_s)
            headers.append((b'retry-after', b'%.3f' % rest_s))
        return headers


def _forwarded(
    request: InboundRequest,
    headers: Headers,
    remaining_s: float,
    body_b: int | None,
) -> OutboundRequest:
    headers = [*request.headers, *headers]
    if math.isfinite(remaining_s):
        remaining_ms = min(DEADLINE_MAX_MS, remaining_s * MILLISECONDS_PER_S)
        headers.append((names.DEADLINE, b'%d' % max(1, remaining_ms)))
    headers += request.framing_headers(body_b)
    return OutboundRequest(request.method, request.target, headers)


def _malformed_request(detail: str) -> RefusalError:
    return RefusalError(Problem(_HTTP_BAD_REQUEST, 'request.malformed', detail))


def _rest_s(text: str) -> float:
    """Return how long to rest; a time that is past asks for no rest."""
    return max(0, min(DURATION_MAX_S, parse_decimal(text)))


def _timeout_s(headers: Headers) -> float | None:
    text = find_header(headers, names.DEADLINE)
    if text is None:
        return None
    try:
        milliseconds = read_decimal(text.decode('latin-1'), math.inf)
    except UnreadableNumberError as error:
        raise _malformed_request(f'the deadline: {error.detail}') from error
    return min(DEADLINE_MAX_MS, milliseconds) / MILLISECONDS_PER_S


def _key(headers: Headers) -> str | None:
    text = find_header(headers, b'authorization') or b''
    scheme, _, key = text.partition(b' ')
    if scheme.lower() != names.KEY_SCHEME or not key:
        return None
    return key.strip().decode('latin-1')


def _cold_s(text: str) -> float:
    maximum = COLD_MAX_S * MILLISECONDS_PER_S
    return read_decimal(text, maximum) / MILLISECONDS_PER_S


def _load(text: str) -> LoadReport:
    parts = text.split(',')
    if len(parts) != len(attrs.fields(LoadReport)):
        raise UnreadableNumberError(f'{text[:SHOWN_MAX]!r} is no load')
    return LoadReport(*(read_whole(part.strip(), COUNT_MAX) for part in parts))
