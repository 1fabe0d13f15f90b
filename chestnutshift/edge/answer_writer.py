"""Write the answer to a caller's request."""

import json
import math
from collections.abc import Awaitable, Callable

import attrs

from chestnutshift.edge.attempts import Reply
from chestnutshift.edge.dialect import Dialect
from chestnutshift.forwarding.crossing import REFUSAL_HEADER
from chestnutshift.forwarding.problems import RAN_HEADER, Problem
from chestnutshift.forwarding.requests import Headers, Send


def _do_nothing() -> None:
    """Do nothing."""


@attrs.define
class AnswerWriter:
    """Writer of the answer to one request.

    request_id, account and route identify the request once they are known,
    timeout_s is how long it may take, upstream where it is at work. has_begun
    tells whether bytes of the answer were sent; until then `start` may begin
    another one. wait_for_turn returns once the answers before it on its
    connection are written. is_ready tells whether it has the whole answer,
    is_for_peer whether a peer passed the request on. prolong is called as an
    answer begins whose end is still to come.
    """

    _send: Send
    _dialect: Dialect
    has_begun: Callable[[], bool]
    wait_for_turn: Callable[[], Awaitable[None]]
    request_id: str = ''
    account: str = ''
    route: str = ''
    timeout_s: float = math.inf
    upstream: str = ''
    is_ready: bool = False
    is_for_peer: bool = False
    prolong: Callable[[], None] = _do_nothing

    async def start(self, status: int, headers: Headers) -> None:
        """Send status and headers with the first part of the body."""
        await self._send(
            {
                'type': 'http.response.start',
                'status': int(status),
                'headers': headers,
            },
        )

    async def write_part(self, content: bytes, is_last: bool) -> None:
        """Send the next part of the body."""
        if not is_last and not self.has_begun():
            await self.wait_for_turn()
            self.prolong()
        await self._send(
            {
                'type': 'http.response.body',
                'body': content,
                'more_body': not is_last,
            },
        )

    async def write_reply(self, reply: Reply) -> None:
        """Send an answer, or the last part of one that was streamed."""
        self.is_ready = True
        if not reply.is_streamed:
            await self.start(reply.status, reply.headers)
        await self.write_part(reply.body, is_last=True)

    async def write_problem(self, problem: Problem) -> None:
        """Send a refusal as JSON."""
        body = json.dumps(
            {
                'status': problem.status,
                'code': problem.code,
                'detail': problem.detail,
                'ran': problem.ran.value,
                'request': self.request_id,
            },
        ).encode()
        headers = self._dialect.refusal_headers(
            self.request_id,
            problem.retry_after_s,
        )
        if self.is_for_peer:
            headers.append((RAN_HEADER, problem.ran.value.encode()))
            headers.append((REFUSAL_HEADER, problem.code.encode()))
        headers.append((b'content-length', b'%d' % len(body)))
        await self.start(problem.status, headers)
        await self.write_part(body, is_last=True)
