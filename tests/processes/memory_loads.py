"""Callers that leave much in a VM's memory, and what they get."""

import re
import socket
from collections.abc import Callable
from typing import Any

import attrs
import trio

from tests.edge.stand_ins import Header, answer, read_body
from tests.processes.vms import VmProcess
from tests.processes.world import PAGE, UPLOAD, raw_head

PORT = 8686
UPLOAD_B = 1_000_000
STALLED_B = 900_000
RECEIVE_B = 65_536
SMALL_RECEIVE_BUFFER_B = 4096
DEADLINE_MS = 20_000
# Callers that connect at a time, fewer than a VM's backlog.
CONNECT_BATCH = 200
LENGTH = re.compile(rb'content-length: (\d+)', re.IGNORECASE)
OK = 200
HEAD_END = b'\r\n\r\n'
# The store answers from the same process, so that no answer may take long.
PART = bytes(65_536)


@attrs.define
class SizedUpstream:
    """ASGI stand-in for an upstream whose answers have size_b bytes."""

    name: str
    size_b: int
    runs: int = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer a health check or a request."""
        await read_body(receive)
        headers = dict(scope['headers'])
        name = (b'x-chestnutshift-instance-id', self.name.encode())
        if scope['path'] == '/healthz':
            await answer(send, OK, b'', name)
            return
        self.runs += 1
        seal = (b'x-chestnutshift-server-seal', self.name.encode())
        request_id = b'x-chestnutshift-request-id'
        identity = (request_id, headers[request_id])
        await self._stream(send, identity, seal, name)

    async def _stream(self, send: Any, *headers: Header) -> None:
        """Send an answer in parts, as far as its reader takes them."""
        length = (b'content-length', b'%d' % self.size_b)
        start = {'status': OK, 'headers': [length, *headers]}
        await send({'type': 'http.response.start', **start})
        for sent_b in range(0, self.size_b, len(PART)):
            left_b = self.size_b - sent_b
            await send(
                {
                    'type': 'http.response.body',
                    'body': PART[:left_b],
                    'more_body': left_b > len(PART),
                }
            )


@attrs.frozen
class Received:
    """One answer as a caller got it; length_b is -1 for an incomplete one."""

    status: int
    head: bytes
    length_b: int


@attrs.define
class RawCaller:
    """A caller on one connection, which reads when it is told to."""

    stream: trio.SocketStream
    _unread: bytearray = attrs.field(factory=bytearray)

    async def send(self, content: bytes) -> None:
        """Send bytes, as far as the VM takes them."""
        try:
            await self.stream.send_all(content)
        except trio.BrokenResourceError:
            return

    async def receive(self) -> Received | None:
        """Return the next answer, None if none begins."""
        end = await self._find_head()
        if end < 0:
            return None
        head = bytes(self._unread[:end])
        del self._unread[: end + len(HEAD_END)]
        length_b = int(LENGTH.search(head).group(1))
        while len(self._unread) < length_b:
            if not await self._read():
                return Received(int(head[9:12]), head, -1)
        del self._unread[:length_b]
        return Received(int(head[9:12]), head, length_b)

    async def _find_head(self) -> int:
        end = self._unread.find(HEAD_END)
        while end < 0:
            if not await self._read():
                return -1
            end = self._unread.find(HEAD_END)
        return end

    async def _read(self) -> bool:
        try:
            content = await self.stream.receive_some(RECEIVE_B)
        except trio.BrokenResourceError:
            return False
        self._unread += content
        return bool(content)


async def connect(vm: VmProcess, count: int) -> list[RawCaller]:
    """Connect callers whose hosts keep little of what they don't read."""
    callers = []

    async def add() -> None:
        sock = trio.socket.socket()
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER_B
        )
        await sock.connect((vm.address, PORT))
        callers.append(RawCaller(trio.SocketStream(sock)))

    for first in range(0, count, CONNECT_BATCH):
        async with trio.open_nursery() as nursery:
            for _ in range(min(CONNECT_BATCH, count - first)):
                nursery.start_soon(add)
    return callers


async def for_each(
    callers: list[RawCaller], act: Callable[[RawCaller], Any], timeout_s: float
) -> list[Any]:
    """Let all act at the same time; return what they do by then."""
    results = []

    async def add(caller: RawCaller) -> None:
        results.append(await act(caller))

    with trio.move_on_after(timeout_s):
        async with trio.open_nursery() as nursery:
            for caller in callers:
                nursery.start_soon(add, caller)
    return results


async def stall_upload(caller: RawCaller) -> None:
    """Begin an upload, and stop before its end."""
    length = ('content-length', str(UPLOAD_B))
    head = raw_head('POST', UPLOAD, length, deadline_ms=DEADLINE_MS)
    await caller.send(head + bytes(STALLED_B))


async def ask(caller: RawCaller) -> None:
    """Send a repeatable request whose answer may be read slowly."""
    await caller.send(raw_head('GET', PAGE, deadline_ms=DEADLINE_MS))


async def receive_one(caller: RawCaller) -> Received | None:
    """Return the next answer."""
    return await caller.receive()


def count_metric(text: str, name: str) -> float:
    """Return the sum of a metric over its labels."""
    return sum(
        float(line.rsplit(' ', 1)[1])
        for line in text.splitlines()
        if re.match(rf'{name}[ {{]', line)
    )
