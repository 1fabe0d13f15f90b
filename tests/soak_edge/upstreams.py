"""Upstreams of the soak, which record their runs and fail at random."""

import random
import time
from typing import Any

import attrs
import trio

from tests.edge.stand_ins import Header, answer, read_body

SHED_PROBABILITY = 0.06
LOST_ANSWER_PROBABILITY = 0.06
ERROR_PROBABILITY = 0.02
PROCESSING_S = (0.005, 0.08)
SLOW_PROBABILITY = 0.03
SLOW_PROCESSING_S = 2.0


@attrs.frozen
class Run:
    """One request that an upstream began to run; started_at is monotonic."""

    request_id: str
    account: str
    body: bytes
    started_at: float
    upstream: str = ''


@attrs.define
class SoakUpstream:
    """ASGI application of one upstream; all upstreams append to runs.

    Answers name rate_limit, in requests per second, unless it is None.
    """

    name: str
    rng: random.Random
    runs: list[Run]
    rate_limit: float | None = None

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer, shed, fail or lose the answer, at random."""
        body = await read_body(receive)
        headers = {
            name.decode(): text.decode() for name, text in scope['headers']
        }
        instance_header = (b'x-chestnutshift-instance-id', self.name.encode())
        if scope['path'] == '/healthz':
            await answer(send, 200, b'', instance_header)
            return
        request_id = headers['x-chestnutshift-request-id']
        id_header = (b'x-chestnutshift-request-id', request_id.encode())
        if headers.get('x-chestnutshift-expect-instance') != self.name:
            await answer(send, 421, b'', id_header, instance_header)
            return
        draw = self.rng.random()
        if draw < SHED_PROBABILITY:
            not_executed_header = (b'x-chestnutshift-not-executed', b'1')
            await answer(send, 503, b'', id_header, not_executed_header)
            return
        account = headers.get('x-chestnutshift-tenant', '')
        self.runs.append(
            Run(request_id, account, body, time.monotonic(), self.name)
        )
        await self._run_request(
            send, draw - SHED_PROBABILITY, request_id, id_header
        )

    async def _run_request(
        self,
        send: Any,
        draw: float,
        request_id: str,
        id_header: Header,
    ) -> None:
        slow = self.rng.random() < SLOW_PROBABILITY
        await trio.sleep(
            SLOW_PROCESSING_S if slow else self.rng.uniform(*PROCESSING_S)
        )
        if draw < LOST_ANSWER_PROBABILITY:
            # Without an answer the listener closes the connection.
            return
        status = (
            500 if draw < LOST_ANSWER_PROBABILITY + ERROR_PROBABILITY else 200
        )
        seal_header = (b'x-chestnutshift-server-seal', self.name.encode())
        instance_header = (b'x-chestnutshift-instance-id', self.name.encode())
        headers = [id_header, seal_header, instance_header]
        if self.rate_limit is not None:
            headers.append((b'server-limit', b'%.1f' % self.rate_limit))
        text = f'answer to {request_id}'.encode()
        await answer(send, status, text, *headers)
