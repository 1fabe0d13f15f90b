"""Write answers to one caller."""

import json

import attrs

from chestnutshift.edge.attempts import Reply
from chestnutshift.edge.dialect import Dialect
from chestnutshift.forwarding.problems import Problem
from chestnutshift.forwarding.requests import Headers, Send


@attrs.define
class AnswerWriter:
    """The caller of one request, and how far its answer is."""

    _send: Send
    _dialect: Dialect
    request_id: str = ''
    account: str = ''
    route: str = ''
    is_started: bool = False

    async def start(self, status: int, headers: Headers) -> None:
        """Send the head of an answer."""
        self.is_started = True
        await self._send(
            {
                'type': 'http.response.start',
                'status': int(status),
                'headers': headers,
            },
        )

    async def write_part(self, content: bytes, is_last: bool) -> None:
        """Send a part of the body."""
        await self._send(
            {
                'type': 'http.response.body',
                'body': content,
                'more_body': not is_last,
            },
        )

    async def write_reply(self, reply: Reply) -> None:
        """Pass on a whole answer; a streamed one has been already."""
        if reply.is_streamed:
            return
        await self.start(reply.status, reply.headers)
        await self.write_part(reply.body, is_last=True)

    async def write_problem(self, problem: Problem) -> None:
        """Answer in the system's own name."""
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
        headers.append((b'content-length', b'%d' % len(body)))
        await self.start(problem.status, headers)
        await self.write_part(body, is_last=True)
