"""Translate the heads of requests and answers."""

import math
import re
from collections.abc import Collection
from typing import Any

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
_DECIMAL = re.compile(rb'\d+(\.\d+)?')


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
            length_b=_parse_digits(find_header(headers, b'content-length')),
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
        limit_texts = {
            text for name, text in headers if name in names.RATE_LIMIT
        }
        rate_limit = _parse_decimal(limit_texts)
        return AnswerFacts(
            request_id=fields.get(names.REQUEST_ID, b'').decode('latin-1'),
            upstream=fields.get(names.UPSTREAM, b'').decode('latin-1'),
            is_sealed=names.SEAL in fields,
            is_not_run=names.NOT_RUN in fields,
            is_encoded=b'content-encoding' in fields,
            keep_alive_s=_keep_alive_s(fields.get(b'keep-alive', b'')),
            load=_load(fields.get(names.LOAD)),
            cold_s=_cold_s(fields.get(names.COLD_MS)),
            rate_limit=rate_limit,
            retry_after_s=_longest(
                [text for name, text in headers if name == b'retry-after']
            ),
            is_leaving=any(
                name in names.LEAVING and text.strip() == names.IS_LEAVING
                for name, text in headers
            ),
            is_rate_limit_malformed=bool(limit_texts) and rate_limit is None,
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


def _parse_digits(text: bytes | None) -> int | None:
    if text is None or len(text) > DIGITS_MAX or not text.isdigit():
        return None
    return int(text)


def _parse_decimal(texts: Collection[bytes]) -> float | None:
    """Return the number of the only text, None for any other texts."""
    if len(texts) != 1:
        return None
    text = next(iter(texts)).strip()
    is_decimal = _DECIMAL.fullmatch(text) and len(text) <= DIGITS_MAX
    return float(text) if is_decimal else None


def _longest(texts: Collection[bytes]) -> float | None:
    """Return the largest of the numbers, None if there is none."""
    numbers = [_parse_decimal([text]) for text in texts]
    return max(
        (number for number in numbers if number is not None), default=None
    )


def _timeout_s(headers: Headers) -> float | None:
    text = find_header(headers, names.DEADLINE)
    if text is None:
        return None
    milliseconds = _parse_digits(text)
    if milliseconds is None:
        raise _malformed_request('the deadline is not in milliseconds')
    return milliseconds / MILLISECONDS_PER_S


def _key(headers: Headers) -> str | None:
    text = find_header(headers, b'authorization') or b''
    scheme, _, key = text.partition(b' ')
    if scheme.lower() != names.KEY_SCHEME or not key:
        return None
    return key.strip().decode('latin-1')


def _cold_s(text: bytes | None) -> float | None:
    milliseconds = _parse_digits(text)
    if milliseconds is None:
        return None
    cold_s = milliseconds / MILLISECONDS_PER_S
    return cold_s if cold_s <= COLD_MAX_S else None


def _keep_alive_s(text: bytes) -> float | None:
    for part in text.split(b','):
        name, _, seconds = part.strip().partition(b'=')
        if name.lower() == b'timeout':
            return _parse_digits(seconds.strip())
    return None


def _load(text: bytes | None) -> LoadReport | None:
    parts = [_parse_digits(part.strip()) for part in (text or b'').split(b',')]
    if len(parts) != len(('running', 'waiting', 'slots')) or None in parts:
        return None
    return LoadReport(*parts)
