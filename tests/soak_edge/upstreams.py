"""Upstreams of the soak: they record what they run, and misbehave."""

import random
import time
from typing import Any

import attrs
import trio

from tests.edge.stand_ins import Header, answer, read_body

SHED_PART = 0.06
LOST_PART = 0.06
FAILED_PART = 0.02
WORK_S = (0.005, 0.08)
SLOW_PART = 0.03
SLOW_S = 2.0


@attrs.frozen
class Run:
    """One request that an upstream began to work on; at is monotonic."""

    request: str
    account: str
    body: bytes
    at: float


@attrs.define
class SoakUpstream:
    """One upstream; runs are shared by all."""

    name: str
    rng: random.Random
    runs: list[Run]

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve, shed, lose the answer or fail, by chance."""
        body = await read_body(receive)
        headers = {
            name.decode(): text.decode() for name, text in scope['headers']
        }
        mine = (b'x-chestnutshift-instance-id', self.name.encode())
        if scope['path'] == '/healthz':
            await answer(send, 200, b'', mine)
            return
        request = headers['x-chestnutshift-request-id']
        own = (b'x-chestnutshift-request-id', request.encode())
        if headers.get('x-chestnutshift-expect-instance') != self.name:
            await answer(send, 421, b'', own, mine)
            return
        drawn = self.rng.random()
        if drawn < SHED_PART:
            mark = (b'x-chestnutshift-not-executed', b'1')
            await answer(send, 503, b'', own, mark)
            return
        account = headers.get('x-chestnutshift-tenant', '')
        self.runs.append(Run(request, account, body, time.monotonic()))
        await self._work(send, drawn - SHED_PART, request, own)

    async def _work(
        self,
        send: Any,
        drawn: float,
        request: str,
        own: Header,
    ) -> None:
        slow = self.rng.random() < SLOW_PART
        await trio.sleep(SLOW_S if slow else self.rng.uniform(*WORK_S))
        if drawn < LOST_PART:
            # The connection breaks, and with it the answer.
            return
        status = 500 if drawn < LOST_PART + FAILED_PART else 200
        seal = (b'x-chestnutshift-server-seal', self.name.encode())
        mine = (b'x-chestnutshift-instance-id', self.name.encode())
        text = f'answer to {request}'.encode()
        await answer(send, status, text, own, seal, mine)
