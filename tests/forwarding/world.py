"""A VM that forwards between socket callers and scripted upstreams."""

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import trio

from bench.one_vm import KEY, list_upstreams, start_vm
from chestnutshift.callers.limits import CallerLimits
from chestnutshift.configuration.model import RetriesPreset
from chestnutshift.vms.serving import make_callers_application
from chestnutshift.vms.state import VmState
from tests.callers.clients import Answer, Caller, calling, get
from tests.callers.serving import LIMITS, Port, serving

AUTHORIZED = f'authorization: Bearer {KEY}'
READ_B = 65_536
OK = b'200 OK'
TARGET = '/listings/1'

Serve = Callable[[trio.SocketStream], Awaitable[None]]


def reply(body: bytes, *headers: bytes, status: bytes = OK) -> bytes:
    """Return the bytes of an upstream's complete answer."""
    length = b'content-length: %d' % len(body)
    lines = (b'HTTP/1.1 %b' % status, length, *headers, b'', body)
    return b'\r\n'.join(lines)


async def read_head(stream: trio.SocketStream) -> bytes:
    """Read until the end of a request's head; the body may follow it."""
    content = b''
    while b'\r\n\r\n' not in content:
        chunk = await stream.receive_some(READ_B)
        if not chunk:
            raise trio.EndOfChannel
        content += chunk
    return content


@attrs.define
class ScriptedUpstream:
    """An upstream that runs a script on each connection."""

    script: Callable[['ScriptedUpstream', trio.SocketStream], Awaitable[None]]
    heads: list[bytes] = attrs.field(factory=list)
    connections: int = 0
    closed: trio.Event = attrs.field(factory=trio.Event)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Run the script on one connection."""
        self.connections += 1
        try:
            async with stream:
                await self.script(self, stream)
        except (trio.EndOfChannel, trio.BrokenResourceError):
            self.closed.set()

    async def next_head(self, stream: trio.SocketStream) -> bytes:
        """Read the head of a request and add it to `heads`."""
        head = await read_head(stream)
        self.heads.append(head)
        return head


def answering(content: bytes) -> ScriptedUpstream:
    """Return an upstream that sends every request the same answer."""

    async def script(
        upstream: ScriptedUpstream, stream: trio.SocketStream
    ) -> None:
        while True:
            await upstream.next_head(stream)
            await stream.send_all(content)

    return ScriptedUpstream(script)


@attrs.define
class World:
    """One VM and its port for callers."""

    port: Port
    state: VmState

    @asynccontextmanager
    async def calling(self) -> AsyncIterator[Caller]:
        """Connect a caller for the block."""
        async with calling(self.port.number) as caller:
            yield caller

    async def get(self, *headers: str, target: str = TARGET) -> Answer:
        """Return the answer to one authorized request on a new connection."""
        async with self.calling() as caller:
            await caller.send(get(target, AUTHORIZED, *headers))
            return await caller.answer()

    def add(self, *ports: int) -> None:
        """Use the upstreams that listen on these ports."""
        self.state.update_vm_list(list_upstreams(ports), trio.current_time())


@asynccontextmanager
async def forwarding(
    *upstreams: ScriptedUpstream,
    limits: CallerLimits = LIMITS,
    **preset: Any,
) -> AsyncIterator[World]:
    """Forward to the upstreams for the block, with invariants enforced.

    Unless the preset has retries, there are none.
    """
    preset.setdefault('retries', RetriesPreset(ratio=0, reserve=0))
    async with trio.open_nursery() as nursery:
        ports = [
            await listen(nursery, upstream.serve) for upstream in upstreams
        ]
        state = await start_vm(nursery, 0, list_upstreams(ports), **preset)
        application = make_callers_application(state, b'secret')
        # Only a newer configuration makes the application use the preset.
        newer = attrs.evolve(state.holder.current, number=2)
        assert state.holder.offer(newer)
        async with serving(application, limits) as port:
            yield World(port, state)
        nursery.cancel_scope.cancel()


async def listen(nursery: trio.Nursery, serve: Serve) -> int:
    """Serve connections on a free port and return the port."""
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    return listeners[0].socket.getsockname()[1]
