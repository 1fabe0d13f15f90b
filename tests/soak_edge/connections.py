"""Connections of callers, whose ends without an answer are told apart."""

import math
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import attrs
import h11
import trio

from tests.soak_edge.deployment import SoakDeployment
from tests.soak_edge.guarantees import SentRequest
from tests.soak_edge.upstreams import recorded
from tests.soak_edge.vms import SoakVm

READ_B = 65_536
CALLERS_PORT = 8686
DEADLINE_MS = 4000
CONNECT_TIMEOUT_S = 3.0
# From a caller's deadline until it leaves without an answer.
PATIENCE_S = 2.0
BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError)


class NoAnswerError(Exception):
    """A connection ended before a complete answer."""


ENDED = (NoAnswerError, *BROKEN)


@attrs.define
class Connection:
    """A caller's connection to a VM, on which it may send early."""

    deployment: SoakDeployment
    vm: SoakVm
    stream: trio.SocketStream
    # Whether any byte of the present answer has come.
    has_begun: bool = False
    # When the bytes sent last were out, infinite if they were not.
    sent_at: float = math.inf
    _h11: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(h11.CLIENT)
    )

    def draw(
        self, path: str, body: bytes = b'', deadline_ms: int = DEADLINE_MS
    ) -> tuple[SentRequest, bytes]:
        """Return a new request, and the bytes of its head."""
        deployment = self.deployment
        request = SentRequest(
            f'r-{next(deployment.numbers)}',
            deployment.rng.choice(deployment.keys),
            not body,
            recorded(body),
            time.monotonic(),
            vm=self.vm.callers_url,
            path=path,
            limit_s=deadline_ms / 1000,
        )
        lines = [
            f'{"POST" if body else "GET"} {path} HTTP/1.1',
            'host: one.example',
            f'x-chestnutshift-request-id: {request.request_id}',
            f'x-chestnutshift-deadline-ms: {deadline_ms}',
            f'authorization: Token {request.key}',
            f'content-length: {len(body)}',
        ]
        return request, '\r\n'.join([*lines, '', '']).encode()

    async def exchange(
        self, path: str, body: bytes = b'', deadline_ms: int = DEADLINE_MS
    ) -> bool:
        """Send one request and record it; return whether it was answered."""
        request, head = self.draw(path, body, deadline_ms)
        return await self.finish(request, head + body, deadline_ms)

    async def finish(
        self,
        request: SentRequest,
        content: bytes = b'',
        deadline_ms: int = DEADLINE_MS,
    ) -> bool:
        """Send the rest of a request and record what becomes of it.

        Returns whether it was answered, and the connection is kept.
        """
        with staying(self.deployment):
            request = await self._finish(request, content, deadline_ms)
        return request.status is not None and self._h11.our_state is h11.IDLE

    def record(self, request: SentRequest) -> None:
        """Record a request, with its end now."""
        self.deployment.sent_requests.append(
            attrs.evolve(request, ended_at=time.monotonic())
        )

    async def _finish(
        self, request: SentRequest, content: bytes, deadline_ms: int
    ) -> SentRequest:
        self.has_begun = bool(self._h11.trailing_data[0])
        is_announced = self._h11.our_state is h11.MUST_CLOSE
        try:
            with trio.fail_after(deadline_ms / 1000 + PATIENCE_S):
                await self._send_rest(content)
                status, text = await self._answer()
        except ENDED:
            request = attrs.evolve(
                request,
                is_announced=is_announced,
                is_closed=not self.has_begun,
                is_cut=self.has_begun,
            )
        except trio.TooSlowError:
            request = attrs.evolve(request, is_unanswered=True)
        else:
            request = attrs.evolve(request, status=status, text=text.strip())
        finally:
            self.record(attrs.evolve(request, whole_at=self.sent_at))
        return request

    async def _send_rest(self, content: bytes) -> None:
        """Send as much as a VM reads; it may answer early."""
        if content:
            self.sent_at = math.inf
            with suppress(*BROKEN):
                await self.stream.send_all(content)
                self.sent_at = time.monotonic()

    async def _answer(self) -> tuple[int, str]:
        if self._h11.our_state is not h11.IDLE:
            raise NoAnswerError
        # h11 parses an answer only after it has sent a request.
        self._h11.send(
            h11.Request(method='GET', target='/', headers=[('host', 'a')])
        )
        self._h11.send(h11.EndOfMessage())
        chunks = []
        head = await self._next_event()
        while isinstance(head, h11.InformationalResponse):
            head = await self._next_event()
        event = await self._next_event()
        while isinstance(event, h11.Data):
            chunks.append(event.data)
            event = await self._next_event()
        if self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        return head.status_code, b''.join(chunks).decode()

    async def _next_event(self) -> h11.Event:
        try:
            event = self._h11.next_event()
            while event is h11.NEED_DATA:
                content = await self.stream.receive_some(READ_B)
                self.has_begun |= bool(content)
                self._h11.receive_data(content)
                event = self._h11.next_event()
        except h11.RemoteProtocolError as error:
            raise NoAnswerError from error
        if isinstance(event, h11.ConnectionClosed):
            raise NoAnswerError
        return event


def staying(deployment: SoakDeployment) -> trio.CancelScope:
    """Return a scope for what a caller ends before it leaves, if it stays."""
    return trio.CancelScope(shield=deployment.has_staying_callers)


@asynccontextmanager
async def connected(
    deployment: SoakDeployment,
    vm: SoakVm,
    port: int = CALLERS_PORT,
    window_b: int = 0,
) -> AsyncIterator[Connection]:
    """Connect to a port of a VM for the block; the caller leaves after it.

    window_b limits what the kernel receives for the caller, 0 is its default.
    Raises OSError or trio.TooSlowError.
    """
    with trio.socket.socket() as sock:
        if window_b:
            sock.setsockopt(
                trio.socket.SOL_SOCKET, trio.socket.SO_RCVBUF, window_b
            )
        with trio.fail_after(CONNECT_TIMEOUT_S):
            await sock.connect((vm.address, port))
        yield Connection(deployment, vm, trio.SocketStream(sock))
