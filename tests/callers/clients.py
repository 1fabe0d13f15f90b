"""Callers on raw sockets, which can send what HTTP clients don't."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import h11
import trio

READ_B = 65_536
READ_TIMEOUT_S = 20.0


@attrs.frozen
class Answer:
    """One complete answer as a caller receives it."""

    status: int
    headers: dict[str, str]
    body: bytes
    interim: tuple[int, ...] = ()


@attrs.define
class Caller:
    """A caller with one connection."""

    stream: trio.SocketStream
    _h11: h11.Connection = attrs.field(
        factory=lambda: h11.Connection(h11.CLIENT)
    )

    async def send(self, content: bytes) -> None:
        """Send bytes unchanged."""
        await self.stream.send_all(content)

    async def answer(self, method: bytes = b'GET') -> Answer:
        """Read one complete answer; raise if it is truncated."""
        # h11 parses an answer only after it has sent a request.
        self._h11.send(
            h11.Request(method=method, target='/', headers=[('host', 'a')]),
        )
        self._h11.send(h11.EndOfMessage())
        interim: list[int] = []
        chunks = []
        with trio.fail_after(READ_TIMEOUT_S):
            event = await self._next_event()
            while isinstance(event, h11.InformationalResponse):
                interim.append(event.status_code)
                event = await self._next_event()
            head = event
            event = await self._next_event()
            while isinstance(event, h11.Data):
                chunks.append(event.data)
                event = await self._next_event()
        assert isinstance(event, h11.EndOfMessage), event
        if self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
        headers = {name.decode(): text.decode() for name, text in head.headers}
        return Answer(
            head.status_code, headers, b''.join(chunks), tuple(interim)
        )

    async def read_end(self) -> bytes:
        """Read until the other side closes its sending side."""
        content = b''
        with trio.fail_after(READ_TIMEOUT_S):
            while chunk := await self.stream.receive_some(READ_B):
                content += chunk
        return content

    async def _next_event(self) -> h11.Event:
        event = self._h11.next_event()
        while event is h11.NEED_DATA:
            self._h11.receive_data(await self.stream.receive_some(READ_B))
            event = self._h11.next_event()
        return event


@asynccontextmanager
async def calling(port: int) -> AsyncIterator[Caller]:
    """Connect a caller for the block."""
    stream = await trio.open_tcp_stream('127.0.0.1', port)
    async with stream:
        yield Caller(stream)


def get(target: str, *headers: str, method: str = 'GET') -> bytes:
    """Return the bytes of a request without a body."""
    lines = (f'{method} {target} HTTP/1.1', 'host: test', *headers, '', '')
    return '\r\n'.join(lines).encode()
