"""Put one request on an upstream and pass the answer to the caller."""

from collections.abc import Callable

import attrs
import trio

from chestnutshift.forwarding.heads import caller_headers, upstream_headers
from chestnutshift.forwarding.problems import Problem, Ran
from chestnutshift.forwarding.requests import (
    CallerRequest,
    Headers,
    RequestBody,
    Send,
)
from chestnutshift.upstreams.connections import (
    OutboundRequest,
    UpstreamAnswer,
    UpstreamConnections,
)


@attrs.frozen
class Target:
    """Where an attempt goes: an upstream, or a VM of another domain.

    before_send is called directly before the first byte and may raise to
    stop it; on_answer is given the answer's head, on_chunk its body, and
    on_whole is called once the whole answer was read.
    """

    name: str
    host: bytes
    connections: UpstreamConnections
    extra_headers: Headers = attrs.field(factory=list)
    before_send: Callable[[], None] = lambda: None
    on_answer: Callable[[UpstreamAnswer], None] = lambda _answer: None
    on_chunk: Callable[[bytes], None] = lambda _chunk: None
    on_whole: Callable[[], None] = lambda: None


@attrs.define
class Attempt:
    """How far a request got: at the upstream, and towards its caller."""

    request: CallerRequest
    _send: Send
    ran: Ran = Ran.NOT_RUN
    started: bool = False
    finished: bool = False
    status: int = 0

    async def run(
        self,
        target: Target,
        account: str,
        body: RequestBody,
        deadline: float,
    ) -> None:
        """Send the request and pass on the whole answer.

        Raises NotConnectedError, with `ran` unchanged, and
        ExchangeBrokenError.
        """
        answer = await self._exchange(target, account, body, deadline)
        try:
            target.on_answer(answer)
            await self._pass_on(answer, target)
        finally:
            with trio.CancelScope(shield=True):
                await answer.aclose()

    async def answer_problem(self, problem: Problem) -> None:
        """Give the caller its refusal."""
        request_id = self.request.request_id
        body = problem.body(request_id)
        headers = problem.headers(request_id)
        await self.answer_whole(problem.status, headers, body)

    async def answer_whole(
        self,
        status: int,
        headers: Headers,
        body: bytes,
    ) -> None:
        """Give the caller an answer of the system's own."""
        length = (b'content-length', str(len(body)).encode())
        await self._start(status, [*headers, length])
        await self._send({'type': 'http.response.body', 'body': body})
        self.finished = True

    async def _exchange(
        self,
        target: Target,
        account: str,
        body: RequestBody,
        deadline: float,
    ) -> UpstreamAnswer:
        connection = await target.connections.take()
        remaining_s = deadline - trio.current_time()
        headers = upstream_headers(
            self.request,
            account,
            target.host,
            remaining_s,
            has_stream=body.whole is None,
        )
        outbound = OutboundRequest(
            method=self.request.method.encode(),
            target=self.request.target,
            headers=headers + target.extra_headers,
        )
        try:
            target.before_send()
        except BaseException:
            await target.connections.give_back(connection)
            raise
        # From here on bytes may reach the upstream.
        self.ran = Ran.UNKNOWN
        return await target.connections.exchange(
            connection,
            outbound,
            body.chunks() if body.whole is None else body.whole,
            remaining_s,
        )

    async def _pass_on(
        self,
        answer: UpstreamAnswer,
        target: Target,
    ) -> None:
        self.status = answer.status
        headers = caller_headers(answer.headers, self.request.request_id)
        await self._start(answer.status, headers)
        async for chunk in answer.chunks():
            target.on_chunk(chunk)
            await self._send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': True,
                }
            )
        target.on_whole()
        await self._send({'type': 'http.response.body', 'body': b''})
        self.finished = True

    async def _start(self, status: int, headers: Headers) -> None:
        self.started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': int(status),
                'headers': headers,
            }
        )
