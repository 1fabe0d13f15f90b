"""Put one request on an upstream and pass the answer to the caller."""

import http

import attrs
import trio

from chestnutshift.forwarding.heads import (
    HiddenRequest,
    caller_headers,
    find_header,
    hide_request,
)
from chestnutshift.forwarding.problems import (
    RAN_HEADER,
    REQUEST_ID_HEADER,
    Problem,
    Ran,
    RefusalError,
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
    UpstreamError,
)
from chestnutshift.upstreams.directory import Upstream

SHEDDING_STATUSES = frozenset(
    (
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        http.HTTPStatus.GATEWAY_TIMEOUT,
    )
)
SHED_RETRY_AFTER_S = 1


class ShedError(UpstreamError):
    """The upstream itself said that it did not run the request."""

    code = 'upstreams.shed'
    status = http.HTTPStatus.SERVICE_UNAVAILABLE

    def __init__(self, detail: str, retry_after_s: float) -> None:
        """Keep the seconds after which the caller may repeat."""
        super().__init__(detail)
        self.retry_after_s = retry_after_s


@attrs.define
class Attempt:
    """How far a request got: at the upstream, and towards its caller."""

    request: CallerRequest
    _send: Send
    ran: Ran = Ran.NOT_RUN
    started: bool = False
    finished: bool = False
    status: int = 0
    # Bytes sent to upstreams that did not say that they ran nothing.
    _exposed_b: int = 0
    _hidden: HiddenRequest | None = None

    async def run(
        self,
        upstream: Upstream,
        account: str,
        body: tuple[RequestBody, bytes | None],
        deadline: float,
    ) -> None:
        """Send the request and pass on the whole answer.

        Raises, with `ran` unchanged, NotConnectedError,
        ConnectionsExhaustedError, ShedError and KeyInTargetError; else
        ExchangeBrokenError.
        """
        if self._hidden is None:
            self._hidden = hide_request(self.request)
        with upstream.working():
            connection = await upstream.connections.take()
            sent_b = connection.sent_b
            try:
                await self._exchange(
                    upstream, connection, account, body, deadline
                )
            except ShedError:
                self.ran = Ran.NOT_RUN
                raise
            except BaseException:
                self._exposed_b += connection.sent_b - sent_b
                raise

    def check_repeatable(
        self,
        body: RequestBody,
        error: UpstreamError,
    ) -> None:
        """Return if another upstream may be tried after the error.

        Raises RefusalError when the request may have run, and the error
        itself when part of its body is passed on and gone.
        """
        if self.ran is not Ran.NOT_RUN:
            raise RefusalError(_broken(error)) from error
        if body.passed_b:
            raise error

    async def answer_problem(self, problem: Problem) -> None:
        """Give the caller its refusal."""
        is_true = verify(
            TRUE_REFUSAL,
            holds=problem.ran is not Ran.NOT_RUN or not self._exposed_b,
            detail=f'{problem.code} after {self._exposed_b} B',
        )
        if not is_true:
            problem = attrs.evolve(problem, ran=Ran.UNKNOWN)
        request_id = self.request.request_id
        body = problem.body(request_id)
        headers = problem.headers(request_id)
        headers.append((b'content-length', b'%d' % len(body)))
        await self._start(problem.status, headers)
        await self._pass_part(AnswerPart(body, is_last=True))

    async def _exchange(
        self,
        upstream: Upstream,
        connection: UpstreamConnection,
        account: str,
        body: tuple[RequestBody, bytes | None],
        deadline: float,
    ) -> None:
        stream, whole = body
        outbound = self._hidden.outbound(
            account,
            upstream.host,
            deadline - trio.current_time(),
            has_stream=whole is None,
        )
        # From here on bytes may reach the upstream.
        self.ran = Ran.UNKNOWN
        await upstream.connections.exchange(
            connection,
            outbound,
            stream.chunks() if whole is None else whole,
            self._pass_on,
        )

    async def _pass_on(self, answer: UpstreamAnswer) -> None:
        self._check_own(answer)
        part = answer.arrived()
        self._check_shed(answer)
        self.status = answer.status
        headers = caller_headers(answer.headers, self.request.request_id)
        await self._start(answer.status, headers)
        passed_b = len(part.content)
        await self._pass_part(part)
        while not part.is_last:
            part = await answer.receive()
            passed_b += len(part.content)
            await self._pass_part(part)
        self._check_whole(answer, passed_b)

    def _check_own(self, answer: UpstreamAnswer) -> None:
        """Refuse an answer that names another request."""
        named = find_header(answer.headers, REQUEST_ID_HEADER)
        if named not in {None, self.request.request_id.encode()}:
            raise ExchangeBrokenError('the answer is of another request')

    def _check_shed(self, answer: UpstreamAnswer) -> None:
        """Raise ShedError if the upstream says that it ran nothing."""
        if answer.status not in SHEDDING_STATUSES:
            return
        if find_header(answer.headers, RAN_HEADER) != Ran.NOT_RUN.encode():
            return
        raise ShedError(
            'the upstream ran nothing of the request',
            _retry_after_s(answer.headers),
        )

    def _check_whole(self, answer: UpstreamAnswer, passed_b: int) -> None:
        announced = find_header(answer.headers, b'content-length')
        if self.request.method == 'HEAD' or answer.status in BODILESS_STATUSES:
            announced = None
        verify(
            WHOLE_ANSWER,
            holds=announced is None or int(announced) == passed_b,
            detail=f'{passed_b} B of {announced!r}',
        )

    async def _pass_part(self, part: AnswerPart) -> None:
        await self._send(
            {
                'type': 'http.response.body',
                'body': part.content,
                'more_body': not part.is_last,
            }
        )
        self.finished = part.is_last

    async def _start(self, status: int, headers: Headers) -> None:
        self.started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': int(status),
                'headers': headers,
            }
        )


def _broken(error: UpstreamError) -> Problem:
    return Problem(
        http.HTTPStatus.BAD_GATEWAY,
        error.code,
        'the upstream broke off; the request may have run',
        Ran.UNKNOWN,
    )


def _retry_after_s(headers: Headers) -> float:
    asked = find_header(headers, b'retry-after') or b''
    return int(asked) if asked.isdigit() else SHED_RETRY_AFTER_S
