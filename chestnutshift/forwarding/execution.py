"""Send one request to an upstream and forward the answer to the caller."""

from collections.abc import AsyncIterator, Callable

import attrs
import trio

from chestnutshift.forwarding.heads import (
    RedactedRequest,
    caller_headers,
    find_header,
)
from chestnutshift.forwarding.pacing import Pace, pace_chunks, unpaced
from chestnutshift.forwarding.problems import (
    REQUEST_ID_HEADER,
    Problem,
    Ran,
)
from chestnutshift.forwarding.requests import (
    CallerRequest,
    Headers,
    RequestBody,
    Send,
)
from chestnutshift.invariants.registry import (
    TRUE_REFUSAL,
    WHOLE_ANSWER,
    verify,
)
from chestnutshift.upstreams.connection import (
    BODILESS_STATUSES,
    AnswerPart,
    ExchangeBrokenError,
    UpstreamAnswer,
    UpstreamConnection,
)
from chestnutshift.upstreams.connections import UpstreamConnections


@attrs.frozen
class Target:
    """The destination of an attempt: an upstream or a VM of another domain.

    before_send is called directly before the first byte is sent and may
    raise to prevent that. on_answer gets the head of the answer and may raise
    to reject it; on_chunk gets each part of the body; on_complete is called
    at its end. pace_body and pace_answer limit the rate of the bytes of the
    request's body and of the answer.
    """

    name: str
    host: bytes
    connections: UpstreamConnections
    extra_headers: Headers = attrs.field(factory=list)
    before_send: Callable[[], None] = lambda: None
    on_answer: Callable[[UpstreamAnswer], None] = lambda _answer: None
    on_chunk: Callable[[bytes], None] = lambda _chunk: None
    on_complete: Callable[[], None] = lambda: None
    pace_body: Pace = unpaced
    pace_answer: Pace = unpaced


@attrs.define
class RequestExecution:
    """The state of one request over all its attempts.

    ran says whether an upstream may have run the request. has_begun tells
    whether bytes of the answer were sent to the caller, finished whether it is
    complete: its last part is sent by `deliver`. account is the account that
    the request was accepted for, and admitted says whether it was within the
    account's rate.
    """

    request: CallerRequest
    _send: Send
    has_begun: Callable[[], bool]
    ran: Ran = Ran.NOT_RUN
    finished: bool = False
    status: int = 0
    account: str = ''
    admitted: bool = False
    # Bytes sent to upstreams that did not report the request as not run.
    _possibly_run_b: int = 0
    # The last part of a complete answer, and the rate at which it is sent.
    _last_part: AnswerPart | None = None
    _last_pace: Pace = unpaced
    # The values before the last attempt.
    _ran_before: Ran = Ran.NOT_RUN
    _possibly_run_before_b: int = 0

    async def run(
        self,
        target: Target,
        redacted: RedactedRequest,
        account: str,
        body: RequestBody,
        deadline: float,
    ) -> None:
        """Make one attempt: send the request and forward the answer.

        The last part of the answer is held for `deliver`.

        NotConnectedError, ConnectionsExhaustedError and the errors of the
        target's before_send leave `ran` unchanged. ExchangeBrokenError and
        the errors of its on_answer set it to UNKNOWN.
        """
        self._ran_before = self.ran
        self._possibly_run_before_b = self._possibly_run_b
        connection = await target.connections.acquire()
        sent_b = connection.sent_b
        try:
            await self._exchange(
                target,
                connection,
                redacted,
                account,
                body,
                deadline,
            )
        except BaseException:
            self._possibly_run_b += connection.sent_b - sent_b
            raise

    def record_not_run(self) -> None:
        """Record that the last attempt did not run; earlier ones may have."""
        self.ran = self._ran_before
        self._possibly_run_b = self._possibly_run_before_b

    async def send_problem(self, problem: Problem) -> None:
        """Send the caller a refusal; `ran` is corrected if it is untrue."""
        is_true = verify(
            TRUE_REFUSAL,
            holds=problem.ran is not Ran.NOT_RUN or not self._possibly_run_b,
            detail=f'{problem.code} after {self._possibly_run_b} B',
        )
        if not is_true:
            problem = attrs.evolve(problem, ran=Ran.UNKNOWN)
        request_id = self.request.request_id
        body = problem.body(request_id)
        headers = problem.headers(request_id)
        await self.hold_answer(problem.status, headers, body)
        await self.deliver()

    async def hold_answer(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Hold a complete answer for `deliver`, in place of any other."""
        length = (b'content-length', b'%d' % len(body))
        await self._start(status, [*headers, length])
        self._hold_last(AnswerPart(body, is_last=True), unpaced)

    async def deliver(self) -> None:
        """Send the last part of a complete answer.

        To be called outside of the deadline, which bounds the time until the
        answer is complete.
        """
        part = self._last_part
        if part is not None:
            self._last_part = None
            await self._last_pace(len(part.content))
            await self._send_part(part)

    async def _exchange(
        self,
        target: Target,
        connection: UpstreamConnection,
        redacted: RedactedRequest,
        account: str,
        body: RequestBody,
        deadline: float,
    ) -> None:
        outbound = redacted.outbound(
            account,
            target.host,
            deadline - trio.current_time(),
            body_b=None if body.buffered is None else len(body.buffered),
            extra_headers=target.extra_headers,
        )

        async def forward_answer(answer: UpstreamAnswer) -> None:
            await self._forward_answer(answer, target)

        await target.pace_body(len(body.buffered or b''))
        try:
            target.before_send()
        except BaseException:
            target.connections.release(connection)
            raise
        # From here on, bytes may reach the upstream.
        self.ran = Ran.UNKNOWN
        await target.connections.exchange(
            connection,
            outbound,
            _payload(body, target.pace_body),
            forward_answer,
        )

    async def _forward_answer(
        self,
        answer: UpstreamAnswer,
        target: Target,
    ) -> None:
        self._check_request_id(answer)
        part = answer.receive_nowait()
        target.on_answer(answer)
        self.status = answer.status
        headers = caller_headers(answer.headers, self.request.request_id)
        await self._start(answer.status, headers)
        forwarded_b = len(part.content)
        target.on_chunk(part.content)
        while not part.is_last:
            await target.pace_answer(len(part.content))
            await self._send_part(part)
            part = await answer.receive()
            forwarded_b += len(part.content)
            target.on_chunk(part.content)
        self._check_complete(answer, forwarded_b)
        target.on_complete()
        self._hold_last(part, target.pace_answer)

    def _hold_last(self, part: AnswerPart, pace: Pace) -> None:
        self._last_part = part
        self._last_pace = pace
        self.finished = True

    def _check_request_id(self, answer: UpstreamAnswer) -> None:
        """Reject an answer that carries the id of another request."""
        answer_id = find_header(answer.headers, REQUEST_ID_HEADER)
        if answer_id not in {None, self.request.request_id.encode()}:
            raise ExchangeBrokenError('the answer has another x-request-id')

    def _check_complete(self, answer: UpstreamAnswer, forwarded_b: int) -> None:
        announced = find_header(answer.headers, b'content-length')
        if self.request.method == 'HEAD' or answer.status in BODILESS_STATUSES:
            announced = None
        verify(
            WHOLE_ANSWER,
            holds=announced is None or int(announced) == forwarded_b,
            detail=f'{forwarded_b} B of {announced!r}',
        )

    async def _send_part(self, part: AnswerPart) -> None:
        await self._send(
            {
                'type': 'http.response.body',
                'body': part.content,
                'more_body': not part.is_last,
            },
        )

    async def _start(self, status: int, headers: Headers) -> None:
        await self._send(
            {
                'type': 'http.response.start',
                'status': int(status),
                'headers': headers,
            },
        )


def _payload(body: RequestBody, pace: Pace) -> bytes | AsyncIterator[bytes]:
    if body.buffered is None:
        return pace_chunks(body.chunks(), pace)
    return body.buffered
