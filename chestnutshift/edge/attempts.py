"""Send a request to one upstream and collect its answer."""

import enum
import math
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import trio

from chestnutshift.edge.dialect import AnswerFacts, Dialect, InboundRequest
from chestnutshift.forwarding.requests import Headers, RequestBody
from chestnutshift.steering.upstreams import Upstream
from chestnutshift.upstreams.connection import (
    AnswerPart,
    ConnectionOptions,
    ExchangeBrokenError,
    OutboundRequest,
    UpstreamAnswer,
)
from chestnutshift.upstreams.connections import (
    ConnectionsExhaustedError,
    NotConnectedError,
    UpstreamConnections,
)

# An answer up to this length is passed on whole, so that one that breaks off
# can be repeated elsewhere; a longer one is passed on as it arrives.
ANSWER_BUFFER_B = 262_144
# A longer body is sent while the answer may begin.
SINGLE_WRITE_B = 16_384
CHUNK_B = 16_384
# A request that must not run twice goes on a connection idle for less.
REUSE_IDLE_MAX_S = 2.0
# Ended this long before the upstream's own limit on idle connections.
KEEP_ALIVE_MARGIN_S = 1.0
SERVER_ERROR = 500
MISDIRECTED = 421
OPTIONS = ConnectionOptions(
    idle_s=8.0,
    connect_s=0.5,
    unacknowledged_ms=1200,
    ends_by_close=True,
)


class EndKind(enum.StrEnum):
    """How an attempt ended."""

    ANSWERED = 'answered'
    # Nothing was sent.
    NOT_SENT = 'not_sent'
    # The upstream says that it did not run the request.
    NOT_RUN = 'not_run'
    # Another upstream has the address now.
    MISDIRECTED = 'misdirected'
    # It may have run.
    BROKEN = 'broken'


@attrs.frozen
class Reply:
    """An upstream's answer for the caller, whole unless it is streamed."""

    status: int
    headers: Headers
    body: bytes
    is_streamed: bool = False


@attrs.frozen
class AttemptEnd:
    """How an attempt ended; facts are there if an answer's head came."""

    kind: EndKind
    detail: str = ''
    reply: Reply | None = None
    facts: AnswerFacts | None = None


# Begins the caller's answer, and passes on a part of its body.
StartAnswer = Callable[[int, Headers], Awaitable[None]]
WritePart = Callable[[bytes, bool], Awaitable[None]]


class StreamCutError(Exception):
    """A streamed answer broke off; the caller's connection must break."""


@attrs.define
class AnswerCollector:
    """Check an answer's head, and hold or pass on its body."""

    _dialect: Dialect
    _request: InboundRequest
    _start_answer: StartAnswer
    _write_part: WritePart
    end: AttemptEnd | None = None
    _chunks: list[bytes] = attrs.field(factory=list)
    _buffered_b: int = 0
    is_streaming: bool = False

    async def take(self, answer: UpstreamAnswer) -> None:
        """Read the whole answer; raises ExchangeBrokenError."""
        facts = self._dialect.read_answer(answer.headers)
        self.end = AttemptEnd(EndKind.BROKEN, 'cut', facts=facts)
        _check_origin(facts, self._request, answer.status)
        part = answer.arrived()
        await self._buffer_or_stream(answer, part)
        while not part.is_last:
            part = await answer.receive()
            await self._buffer_or_stream(answer, part)
        self.end = self._finish(answer, facts)

    async def _buffer_or_stream(
        self, answer: UpstreamAnswer, part: AnswerPart
    ) -> None:
        if self.is_streaming:
            await self._write_part(part.content, part.is_last)
            return
        self._chunks.append(part.content)
        self._buffered_b += len(part.content)
        if self._buffered_b <= ANSWER_BUFFER_B or part.is_last:
            return
        self.is_streaming = True
        headers = self._dialect.caller_headers(answer.headers)
        await self._start_answer(answer.status, headers)
        await self._write_part(b''.join(self._chunks), False)

    def _finish(self, answer: UpstreamAnswer, facts: AnswerFacts) -> AttemptEnd:
        if facts.is_not_run:
            return AttemptEnd(EndKind.NOT_RUN, f'{answer.status}', facts=facts)
        if answer.status == MISDIRECTED:
            return AttemptEnd(EndKind.MISDIRECTED, facts.upstream, facts=facts)
        reply = Reply(
            answer.status,
            self._dialect.caller_headers(answer.headers),
            b'' if self.is_streaming else b''.join(self._chunks),
            self.is_streaming,
        )
        return AttemptEnd(EndKind.ANSWERED, reply=reply, facts=facts)


def _check_origin(
    facts: AnswerFacts,
    request: InboundRequest,
    status: int,
) -> None:
    """Refuse an answer that is not an upstream's to this very request."""
    if facts.is_not_run or status == MISDIRECTED:
        if facts.request_id not in {'', request.request_id}:
            raise ExchangeBrokenError('a refusal of another request')
        return
    if facts.request_id != request.request_id:
        raise ExchangeBrokenError('the answer is of another request')
    if facts.is_encoded:
        raise ExchangeBrokenError('the answer is encoded, unasked')
    if not facts.is_sealed:
        raise ExchangeBrokenError('no upstream vouches for the answer')


class UpstreamPool:
    """The connections to every upstream."""

    def __init__(self, dialect: Dialect) -> None:
        """Speak the dialect."""
        self._dialect = dialect
        self._connections: dict[Upstream, UpstreamConnections] = {}

    def connections(
        self, upstream: Upstream, maximum: int
    ) -> UpstreamConnections:
        """Return the connections to the upstream, at most maximum."""
        found = self._connections.get(upstream)
        if found is None:
            registration = upstream.registration
            found = UpstreamConnections(
                registration.address,
                registration.port,
                pace_s=0,
                maximum=maximum,
                options=OPTIONS,
            )
            self._connections[upstream] = found
        return found

    async def close(self, upstream: Upstream) -> None:
        """Close the idle connections of an upstream that is gone."""
        found = self._connections.pop(upstream, None)
        if found is not None:
            await found.aclose()

    async def close_unlisted(self, known: set[Upstream]) -> None:
        """Forget every upstream that is not known any more."""
        for upstream in self._connections.keys() - known:
            await self.close(upstream)


async def attempt(
    connections: UpstreamConnections,
    outbound: OutboundRequest,
    body: RequestBody,
    collector: AnswerCollector,
    *,
    is_idempotent: bool,
) -> AttemptEnd:
    """Send the request once and return how it ended.

    Raises StreamCutError when an answer broke off that the caller has begun
    to get.
    """
    idle_s = math.inf if is_idempotent else REUSE_IDLE_MAX_S
    try:
        connection = await connections.take(idle_s)
    except (NotConnectedError, ConnectionsExhaustedError) as error:
        return AttemptEnd(EndKind.NOT_SENT, error.detail)
    try:
        await connections.exchange(
            connection,
            outbound,
            _payload(body),
            collector.take,
        )
    except ExchangeBrokenError as error:
        if collector.is_streaming:
            raise StreamCutError(error.detail) from error
        facts = collector.end.facts if collector.end else None
        return AttemptEnd(EndKind.BROKEN, error.detail, facts=facts)
    return collector.end


def _payload(body: RequestBody) -> bytes | AsyncIterator[bytes]:
    if body.whole is None:
        return body.chunks()
    if len(body.whole) <= SINGLE_WRITE_B:
        return body.whole
    return _in_chunks(body.whole)


async def _in_chunks(content: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(content), CHUNK_B):
        yield content[start : start + CHUNK_B]
        await trio.lowlevel.checkpoint()
