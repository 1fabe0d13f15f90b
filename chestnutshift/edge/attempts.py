"""Send a request to one upstream and collect its answer."""

import enum
import math
from collections.abc import AsyncIterator, Awaitable, Callable

import attrs
import trio

from chestnutshift.edge.dialect import AnswerFacts, Dialect, InboundRequest
from chestnutshift.forwarding.requests import Headers, RequestBody
from chestnutshift.memory.budget import (
    ANSWER_COPIES,
    Kind,
    MemoryBudget,
    Reservation,
)
from chestnutshift.steering.upstreams import Upstream
from chestnutshift.upstreams.connection import (
    AnswerPart,
    ConnectionOptions,
    ExchangeBrokenError,
    ExchangeLostError,
    OutboundRequest,
    UpstreamAnswer,
    UpstreamConnection,
)
from chestnutshift.upstreams.connections import (
    ConnectionsExhaustedError,
    NotConnectedError,
    UpstreamConnections,
)

# Answers up to this length are buffered, so that the request can be retried
# if the connection breaks; longer ones are streamed.
ANSWER_BUFFER_B = 262_144
# Likewise while requests behind it on the caller's connection are at work,
# which would be lost with a stream that breaks off.
FOLLOWED_BUFFER_B = 4_194_304
# Answers beyond may be followed by one that is too long for that.
LONG_ANSWER_B = FOLLOWED_BUFFER_B // 2
# A refusal counts without what its body has beyond this; so does a health
# check. The connection is closed then.
DISCARDED_MAX_B = 65_536
# Longest body of an answer that states no length.
UNSIZED_MAX_B = 268_435_456
# Longer bodies are sent in chunks, so that an early answer can be read.
SINGLE_WRITE_B = 16_384
CHUNK_B = 16_384
# Requests that are not idempotent only reuse connections idle for less: the
# upstream may be closing an older one.
REUSE_IDLE_MAX_S = 2.0
SERVER_ERROR = 500
MISDIRECTED = 421
OPTIONS = ConnectionOptions(
    idle_s=8.0,
    connect_s=0.5,
    unacknowledged_ms=1200,
    ends_by_close=True,
)


class EndKind(enum.StrEnum):
    """The outcome of an attempt."""

    ANSWERED = 'answered'
    # No connection could be made; nothing was sent.
    NOT_SENT = 'not_sent'
    # The upstream states that it did not run the request.
    NOT_RUN = 'not_run'
    # Another upstream now answers at this address.
    MISDIRECTED = 'misdirected'
    # The exchange failed; the request may have run.
    BROKEN = 'broken'
    # It failed after a part of the answer was sent to the caller, whose
    # connection is aborted.
    CUT = 'cut'


@attrs.frozen
class Reply:
    """An upstream's answer for the caller.

    body is the last part if the parts before it were streamed; length_b is the
    length of the whole body.
    """

    status: int
    headers: Headers
    body: bytes
    is_streamed: bool = False
    length_b: int = 0


@attrs.frozen
class AttemptEnd:
    """The result of an attempt; facts is None if no answer head arrived.

    is_lost tells that the upstream's side closed or reset the connection
    before the answer was complete, is_refused that nothing listens at its
    address, is_unconnected that no connection could be made, is_withheld that
    the upstream wants no requests since it was chosen. peer is the VM
    that the request was passed on to, empty for none, and code why it refused.
    """

    kind: EndKind
    detail: str = ''
    reply: Reply | None = None
    facts: AnswerFacts | None = None
    is_lost: bool = False
    is_refused: bool = False
    is_unconnected: bool = False
    is_withheld: bool = False
    peer: str = ''
    code: str = ''

    @property
    def is_unanswered(self) -> bool:
        """Whether the upstream gave no sign of life."""
        if self.kind is EndKind.NOT_SENT:
            return self.is_unconnected
        return self.kind is EndKind.BROKEN and self.facts is None

    @property
    def is_partial_refusal(self) -> bool:
        """Whether an upstream with free slots refused the request.

        It refuses a part of its requests; the next one may pass.
        """
        load = self.facts.load if self.facts else None
        if self.kind is not EndKind.NOT_RUN or load is None:
            return False
        return load.running < load.slots


# Callbacks that send the head of the caller's answer, and a part of its body.
StartAnswer = Callable[[int, Headers], Awaitable[None]]
WritePart = Callable[[bytes, bool], Awaitable[None]]
# Called with status and facts of an answer as soon as its head has arrived.
RecordHead = Callable[[int, AnswerFacts], None]


class StreamCutError(Exception):
    """A streamed answer broke off; the caller's connection is aborted."""


@attrs.define
class AnswerCollector:
    """Validates an answer's head, then buffers or streams its body."""

    _dialect: Dialect
    _request: InboundRequest
    _start_answer: StartAnswer
    _write_part: WritePart
    # Whether bytes of the answer were sent to the caller.
    has_begun: Callable[[], bool]
    _record_head: RecordHead
    _memory: Reservation
    # Whether requests behind this one on the connection are at work.
    _is_followed: Callable[[], bool]
    # Returns once the answers before it are written.
    _wait_for_turn: Callable[[], Awaitable[None]]
    end: AttemptEnd | None = None
    _chunks: list[bytes] = attrs.field(factory=list)
    _length_b: int = 0
    is_streaming: bool = False

    async def collect(self, answer: UpstreamAnswer) -> None:
        """Read the whole answer; raises ExchangeBrokenError."""
        # An earlier attempt may have buffered a part of its answer.
        self._memory.release(Kind.ANSWER)
        facts = self._dialect.read_answer(answer.headers)
        self._record_head(answer.status, facts)
        self.end = AttemptEnd(EndKind.BROKEN, 'incomplete answer', facts=facts)
        _check_origin(facts, self._request, answer.status)
        if facts.is_not_run or answer.status == MISDIRECTED:
            await discard_body(answer)
            self.end = self._finish(answer, facts)
            return
        # No local variable may hold a part while the next one is awaited.
        is_last = await self._buffer_or_stream(answer, answer.receive_nowait())
        while not is_last:
            is_last = await self._buffer_or_stream(
                answer, await answer.receive()
            )
        self.end = self._finish(answer, facts)

    async def _buffer_or_stream(
        self, answer: UpstreamAnswer, part: AnswerPart
    ) -> bool:
        """Take one part of the body; return whether it is the last one."""
        self._length_b += len(part.content)
        if self._length_b > UNSIZED_MAX_B and not answer.is_sized:
            raise ExchangeBrokenError('the answer does not end')
        if part.is_last:
            # Nothing may end a complete answer: it is written without a limit
            # of time, by whoever gets it.
            self._memory.add(Kind.ANSWER, ANSWER_COPIES * len(part.content))
            self._chunks.append(part.content)
            return True
        if self.is_streaming:
            await self._stream(part.content)
            return False
        if self._may_buffer(part):
            self._chunks.append(part.content)
            return False
        self.is_streaming = True
        headers = self._dialect.caller_headers(answer.headers)
        await self._start_answer(answer.status, headers)
        self._chunks.append(part.content)
        await self._wait_for_turn()
        # Until its first byte is sent, another answer can take its place.
        answer.check_unbroken()
        await self._stream(self._take_chunks())
        return False

    async def _stream(self, content: bytes) -> None:
        self._memory.add(Kind.ANSWER, ANSWER_COPIES * len(content))
        await self._write_part(content, is_last=False)
        self._memory.release(Kind.ANSWER)

    def _may_buffer(self, part: AnswerPart) -> bool:
        """Count a part if it may be buffered; return whether it may."""
        if not part.is_last and self._length_b > self._buffer_b():
            return False
        size_b = ANSWER_COPIES * len(part.content)
        return self._memory.try_add(Kind.ANSWER, size_b)

    def _take_chunks(self) -> bytes:
        """Return what is buffered, which is counted no more."""
        self._memory.release(Kind.ANSWER)
        content = b''.join(self._chunks)
        self._chunks.clear()
        return content

    def _buffer_b(self) -> int:
        return FOLLOWED_BUFFER_B if self._is_followed() else ANSWER_BUFFER_B

    def _finish(self, answer: UpstreamAnswer, facts: AnswerFacts) -> AttemptEnd:
        if facts.is_not_run:
            return AttemptEnd(EndKind.NOT_RUN, f'{answer.status}', facts=facts)
        if answer.status == MISDIRECTED:
            return AttemptEnd(EndKind.MISDIRECTED, facts.upstream, facts=facts)
        reply = Reply(
            answer.status,
            self._dialect.caller_headers(answer.headers),
            b''.join(self._chunks),
            self.is_streaming,
            self._length_b,
        )
        return AttemptEnd(EndKind.ANSWERED, reply=reply, facts=facts)


async def discard_body(answer: UpstreamAnswer) -> None:
    """Read a body that nobody needs, so that the connection can be reused."""
    part = answer.receive_nowait()
    length_b = len(part.content)
    while not part.is_last and length_b <= DISCARDED_MAX_B:
        part = await answer.receive()
        length_b += len(part.content)


def _check_origin(
    facts: AnswerFacts,
    request: InboundRequest,
    status: int,
) -> None:
    """Raise ExchangeBrokenError unless an upstream answered this request.

    A refusal without an id may be a late one of an earlier request, or of a
    health check, on the connection: it does not tell that this one did not run.
    """
    if facts.request_id != request.request_id:
        whose = 'the id of another request' if facts.request_id else 'no id'
        raise ExchangeBrokenError(f'the answer carries {whose}')
    if facts.is_not_run or status == MISDIRECTED:
        return
    if facts.is_encoded:
        raise ExchangeBrokenError(
            'the answer has a content encoding that was not requested'
        )
    if not facts.is_sealed:
        raise ExchangeBrokenError('the answer carries no seal of an upstream')


def _always() -> bool:
    return True


class UpstreamPool:
    """The connections to all upstreams."""

    def __init__(self, dialect: Dialect, memory: MemoryBudget) -> None:
        """Start without connections; the dialect is that of the upstreams."""
        self._dialect = dialect
        self._options = attrs.evolve(OPTIONS, find_read_b=memory.answer_read_b)
        self._connections: dict[Upstream, UpstreamConnections] = {}

    def connections(
        self, upstream: Upstream, maximum: int
    ) -> UpstreamConnections:
        """Return the pool of an upstream, created with this maximum."""
        pool = self._connections.get(upstream)
        if pool is None:
            registration = upstream.registration
            pool = UpstreamConnections(
                registration.address,
                registration.port,
                pace_s=0,
                maximum=maximum,
                options=self._options,
            )
            self._connections[upstream] = pool
        return pool

    async def close(self, upstream: Upstream) -> None:
        """Close the idle connections of an upstream and drop its pool."""
        pool = self._connections.pop(upstream, None)
        if pool is not None:
            await pool.aclose()

    async def close_unlisted(self, listed: set[Upstream]) -> None:
        """Close the pools of upstreams that are not in listed."""
        for upstream in self._connections.keys() - listed:
            await self.close(upstream)


async def attempt(
    connections: UpstreamConnections,
    outbound: OutboundRequest,
    body: RequestBody,
    collector: AnswerCollector,
    *,
    is_idempotent: bool,
    used: set[UpstreamConnection],
    may_send: Callable[[], bool] = _always,
) -> AttemptEnd:
    """Send the request once and return the result.

    used are the connections that carried earlier attempts of the request, to
    which this one's is added. An answer to an earlier attempt may come late on
    its connection, and all attempts have one id, so a further attempt on it
    could be taken for refused while it runs.

    may_send is asked again once there is a connection.
    """
    idle_s = math.inf if is_idempotent else REUSE_IDLE_MAX_S
    try:
        connection = await connections.acquire(idle_s, used)
    except NotConnectedError as error:
        return AttemptEnd(
            EndKind.NOT_SENT,
            error.detail,
            is_refused=error.is_refused,
            is_unconnected=True,
        )
    except ConnectionsExhaustedError as error:
        return AttemptEnd(EndKind.NOT_SENT, error.detail)
    if not may_send():
        connections.release(connection)
        return AttemptEnd(
            EndKind.NOT_SENT, 'it takes no requests any more', is_withheld=True
        )
    used.add(connection)
    try:
        await connections.exchange(
            connection,
            outbound,
            _payload(body),
            collector.collect,
        )
    except ExchangeBrokenError as error:
        facts = collector.end.facts if collector.end else None
        return AttemptEnd(
            EndKind.CUT if collector.has_begun() else EndKind.BROKEN,
            error.detail,
            facts=facts,
            is_lost=isinstance(error, ExchangeLostError),
        )
    return collector.end


def _payload(body: RequestBody) -> bytes | AsyncIterator[bytes]:
    if body.buffered is None:
        return body.chunks()
    if len(body.buffered) <= SINGLE_WRITE_B:
        return body.buffered
    return _in_chunks(body.buffered)


async def _in_chunks(content: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(content), CHUNK_B):
        yield content[start : start + CHUNK_B]
        await trio.lowlevel.checkpoint()
