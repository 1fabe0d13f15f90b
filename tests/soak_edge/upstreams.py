"""Upstreams of the soak, which record their runs and fail at random."""

import math
import random
import time
from collections.abc import Callable
from hashlib import sha256
from typing import Any

import attrs
import trio

from tests.edge.stand_ins import Header, answer, read_body

DEADLINE_HEADER = 'x-chestnutshift-deadline-ms'
MS_PER_S = 1000
# A request whose path contains this ends the upstream.
CRASH_MARK = 'crash'
SHED_PROBABILITY = 0.06
LOST_ANSWER_PROBABILITY = 0.06
ERROR_PROBABILITY = 0.02
PROCESSING_S = (0.005, 0.08)
SLOW_RATIO = 0.03
SLOW_PROCESSING_S = 2.0
# A request whose path contains this takes as long as what a stop may cut.
WORK_MARK = 'work'
WORK_S = (2.0, 5.5)
# A request whose path contains this gets an answer that VMs stream.
LONG_MARK = 'long'
LONG_ANSWER_B = 400_000
# A request whose path contains this gets an answer of so many bytes.
LARGE_MARK = 'large'
LARGE_ANSWER_B = 4_000_000
# From the deadline that it is told, an upstream that keeps it answers so late.
AT_DEADLINE_S = (-0.008, 0.004)
AT_DEADLINE_STATUSES = (200, 200, 504)
# Of longer bodies only the digest is recorded.
RECORDED_B = 1000


def recorded(body: bytes) -> bytes:
    """Return what is recorded of a body: itself, or the digest if long."""
    return body if len(body) <= RECORDED_B else sha256(body).digest()


@attrs.frozen
class Run:
    """One request that an upstream began to run; started_at is monotonic."""

    request_id: str
    account: str
    body: bytes
    started_at: float
    upstream: str = ''


@attrs.frozen
class Arrival:
    """A request that reached an upstream from a VM; at is monotonic."""

    upstream: str
    vm: str
    request_id: str
    at: float


@attrs.frozen
class Told:
    """What an answer told a VM: that it leaves, or the pause it asks for."""

    upstream: str
    vm: str
    at: float
    pause_s: float = 0


@attrs.frozen
class Work:
    """A request that an upstream has received; deadline is a time of trio."""

    request_id: str
    vm: str
    account: str
    body: bytes
    path: str
    deadline: float

    @property
    def id_header(self) -> Header:
        """The header by which an answer names the request."""
        return (b'x-chestnutshift-request-id', self.request_id.encode())

    @property
    def answer_b(self) -> int:
        """The least length of the answer."""
        if LARGE_MARK in self.path:
            return LARGE_ANSWER_B
        return LONG_ANSWER_B if LONG_MARK in self.path else 0


@attrs.define
class SoakUpstream:
    """ASGI application of one upstream; all upstreams append to runs.

    Answers name rate_limit, in requests per second, unless it is None, and say
    that it leaves if is_leaving is set. Refusals ask for a pause of pause_s.
    slow_ratio of the requests take long, deadline_ratio until about the
    deadline that it is told. broken_off are the times at which it broke
    requests off, by id, worked_until those until which it was at work on them,
    infinite while it is.
    on_crash is called with the name when a crashing request arrives, or midway
    through its answer if crashes_midway is set. arrivals and told are recorded
    where VMs have links of their own.
    """

    name: str
    rng: random.Random
    runs: list[Run]
    on_crash: Callable[[str], None]
    rate_limit: float | None = None
    is_leaving: bool = False
    pause_s: float = 0
    crashes_midway: bool = False
    slow_ratio: float = SLOW_RATIO
    deadline_ratio: float = 0
    broken_off: dict[str, float] = attrs.field(factory=dict)
    worked_until: dict[str, float] = attrs.field(factory=dict)
    arrivals: list[Arrival] = attrs.field(factory=list)
    told: list[Told] = attrs.field(factory=list)
    _at_work: set[str] = attrs.field(factory=set)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer, shed, fail or lose the answer, at random."""
        await self.serve('', scope, receive, send)

    async def serve(self, vm: str, scope: Any, receive: Any, send: Any) -> None:
        """Answer a request of that VM, '' if it is not known."""
        arrived_at = trio.current_time()
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
        self.arrivals.append(
            Arrival(self.name, vm, request_id, time.monotonic())
        )
        self._at_work.add(request_id)
        self.worked_until[request_id] = math.inf
        path, deadline_ms = scope['path'], headers[DEADLINE_HEADER]
        work = Work(
            request_id,
            vm,
            headers.get('x-chestnutshift-tenant', ''),
            recorded(body),
            path,
            arrived_at + int(deadline_ms) / MS_PER_S,
        )
        try:
            await self._serve_work(work, send)
        finally:
            self._at_work.discard(request_id)
            self.worked_until[request_id] = time.monotonic()

    def end_delays(self) -> None:
        """Take no longer than usual any more."""
        self.slow_ratio = SLOW_RATIO
        self.deadline_ratio = 0

    def break_off(self) -> None:
        """Record that it breaks off what it is at work on."""
        now = time.monotonic()
        self.broken_off |= dict.fromkeys(self._at_work, now)

    async def _serve_work(self, work: Work, send: Any) -> None:
        if CRASH_MARK in work.path:
            if self.crashes_midway:
                await _begin_long_answer(send, work.id_header)
                await trio.sleep(PROCESSING_S[0])
            self.on_crash(self.name)
            await trio.sleep_forever()
        draw = self.rng.random()
        if draw < SHED_PROBABILITY:
            await self._shed(work, send)
            return
        self.runs.append(
            Run(
                work.request_id,
                work.account,
                work.body,
                time.monotonic(),
                self.name,
            )
        )
        if self.is_leaving:
            self._tell(work.vm)
        await self._run(work, send, draw - SHED_PROBABILITY)

    async def _shed(self, work: Work, send: Any) -> None:
        headers = [
            work.id_header,
            (b'x-chestnutshift-not-executed', b'1'),
            *self._state_headers(),
        ]
        if self.pause_s:
            self._tell(work.vm, self.pause_s)
            headers.append((b'retry-after', b'%.1f' % self.pause_s))
        await answer(send, 503, b'', *headers)

    def _tell(self, vm: str, pause_s: float = 0) -> None:
        self.told.append(Told(self.name, vm, time.monotonic(), pause_s))

    async def _run(self, work: Work, send: Any, draw: float) -> None:
        if WORK_MARK in work.path:
            await trio.sleep(self.rng.uniform(*WORK_S))
        keeps_deadline = self.rng.random() < self.deadline_ratio
        if keeps_deadline:
            late_s = self.rng.uniform(*AT_DEADLINE_S)
            await trio.sleep_until(work.deadline + late_s)
        else:
            slow = self.rng.random() < self.slow_ratio
            await trio.sleep(
                SLOW_PROCESSING_S if slow else self.rng.uniform(*PROCESSING_S)
            )
        if draw < LOST_ANSWER_PROBABILITY:
            # Without an answer the listener closes the connection.
            self.broken_off[work.request_id] = time.monotonic()
            return
        status = 200
        if draw < LOST_ANSWER_PROBABILITY + ERROR_PROBABILITY:
            status = 500
        elif keeps_deadline:
            status = self.rng.choice(AT_DEADLINE_STATUSES)
        headers = [
            work.id_header,
            (b'x-chestnutshift-server-seal', self.name.encode()),
            (b'x-chestnutshift-instance-id', self.name.encode()),
            *self._state_headers(),
        ]
        text = f'answer to {work.request_id}'.encode()
        await answer(send, status, text.ljust(work.answer_b), *headers)

    def _state_headers(self) -> list[Header]:
        headers = []
        if self.rate_limit is not None:
            headers.append((b'server-limit', b'%.1f' % self.rate_limit))
        if self.is_leaving:
            headers.append((b'server-leaving', b'1'))
        return headers


async def _begin_long_answer(send: Any, id_header: Header) -> None:
    """Send so much of an answer that a VM passes it on."""
    headers = [
        id_header,
        (b'x-chestnutshift-server-seal', b's'),
        (b'content-length', b'%d' % LONG_ANSWER_B),
    ]
    start = {'status': 200, 'headers': headers}
    await send({'type': 'http.response.start', **start})
    part = {'body': b'l' * (LONG_ANSWER_B - 1), 'more_body': True}
    await send({'type': 'http.response.body', **part})


@attrs.frozen
class VmUpstream:
    """ASGI application of an upstream on the link of one VM."""

    _upstream: SoakUpstream
    _vm: str

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer a request of the VM."""
        await self._upstream.serve(self._vm, scope, receive, send)
