"""Put one request on an upstream and pass the answer to the caller."""

import attrs
import trio

from chestnutshift.forwarding.heads import caller_headers, upstream_headers
from chestnutshift.forwarding.problems import Problem, Ran
from chestnutshift.forwarding.requests import CallerRequest, RequestBody, Send
from chestnutshift.upstreams.connections import (
    OutboundRequest,
    UpstreamAnswer,
)
from chestnutshift.upstreams.directory import Upstream


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
        upstream: Upstream,
        account: str,
        body: tuple[RequestBody, bytes | None],
        deadline: float,
    ) -> None:
        """Send the request and pass on the whole answer.

        Raises NotConnectedError, with `ran` unchanged, and
        ExchangeBrokenError.
        """
        with upstream.working():
            answer = await self._exchange(upstream, account, body, deadline)
            try:
                await self._pass_on(answer)
            finally:
                with trio.CancelScope(shield=True):
                    await answer.aclose()

    async def answer_problem(self, problem: Problem) -> None:
        """Give the caller its refusal."""
        request_id = self.request.request_id
        body = problem.body(request_id)
        headers = problem.headers(request_id)
        headers.append((b'content-length', str(len(body)).encode()))
        await self._start(problem.status, headers)
        await self._send({'type': 'http.response.body', 'body': body})
        self.finished = True

    async def _exchange(
        self,
        upstream: Upstream,
        account: str,
        body: tuple[RequestBody, bytes | None],
        deadline: float,
    ) -> UpstreamAnswer:
        stream, whole = body
        connection = await upstream.connections.take()
        remaining_s = deadline - trio.current_time()
        outbound = OutboundRequest(
            method=self.request.method.encode(),
            target=self.request.target,
            headers=upstream_headers(
                self.request,
                account,
                upstream.host,
                remaining_s,
                has_stream=whole is None,
            ),
        )
        # From here on bytes may reach the upstream.
        self.ran = Ran.UNKNOWN
        return await upstream.connections.exchange(
            connection,
            outbound,
            stream.chunks() if whole is None else whole,
            remaining_s,
        )

    async def _pass_on(self, answer: UpstreamAnswer) -> None:
        self.status = answer.status
        headers = caller_headers(answer.headers, self.request.request_id)
        await self._start(answer.status, headers)
        async for chunk in answer.chunks():
            await self._send(
                {
                    'type': 'http.response.body',
                    'body': chunk,
                    'more_body': True,
                }
            )
        await self._send({'type': 'http.response.body', 'body': b''})
        self.finished = True

    async def _start(
        self,
        status: int,
        headers: list[tuple[bytes, bytes]],
    ) -> None:
        self.started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': int(status),
                'headers': headers,
            }
        )
