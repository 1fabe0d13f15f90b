"""One VM's forwarder between real callers and scripted upstreams."""

import random
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import attrs
import trio

from chestnutshift.configuration.holder import ConfigurationHolder
from chestnutshift.configuration.model import (
    AccountLimit,
    Configuration,
    KeyRecord,
    Preset,
    Service,
)
from chestnutshift.events.log import EventLog
from chestnutshift.forwarding.application import Forwarder
from chestnutshift.keys import credentials
from chestnutshift.keys.authentication import KeyRing
from chestnutshift.keys.freshness import KnowledgeView
from chestnutshift.platform.records import VmRecord, VmRole
from chestnutshift.upstreams.directory import UpstreamDirectory
from tests.callers.clients import Answer, Caller, calling, get
from tests.callers.serving import LIMITS, Port, serving

KEY = 'q7Jr-Xb2_Wm9sKd4Tz8Lh1Vc6Nf3Pg5Yy0Ae7Uo2Ri4S'
ACCOUNT = 'konya'
AUTHORIZED = f'authorization: Bearer {KEY}'
READ_B = 65_536
OK = b'200 OK'
TARGET = '/listings/1'

Serve = Callable[[trio.SocketStream], Awaitable[None]]


def reply(body: bytes, *headers: bytes, status: bytes = OK) -> bytes:
    """Return the bytes of an upstream's whole answer."""
    length = b'content-length: %d' % len(body)
    lines = (b'HTTP/1.1 %b' % status, length, *headers, b'', body)
    return b'\r\n'.join(lines)


async def read_head(stream: trio.SocketStream) -> bytes:
    """Return the bytes up to the end of a request's head, and more."""
    content = b''
    while b'\r\n\r\n' not in content:
        chunk = await stream.receive_some(READ_B)
        if not chunk:
            raise trio.EndOfChannel
        content += chunk
    return content


@attrs.define
class ScriptedUpstream:
    """An upstream that does what its script says with each connection."""

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
        """Read and keep the head of a request."""
        head = await read_head(stream)
        self.heads.append(head)
        return head


def answering(content: bytes) -> ScriptedUpstream:
    """Return an upstream that gives every request the same answer."""

    async def script(
        upstream: ScriptedUpstream, stream: trio.SocketStream
    ) -> None:
        while True:
            await upstream.next_head(stream)
            await stream.send_all(content)

    return ScriptedUpstream(script)


@attrs.define
class World:
    """The forwarder, its port and what it knows."""

    port: Port
    forwarder: Forwarder

    @asynccontextmanager
    async def calling(self) -> AsyncIterator[Caller]:
        """Connect a caller for the block."""
        async with calling(self.port.number) as caller:
            yield caller

    async def get(self, *headers: str, target: str = TARGET) -> Answer:
        """Return the answer to one keyed request on a new connection."""
        async with self.calling() as caller:
            await caller.send(get(target, AUTHORIZED, *headers))
            return await caller.answer()

    def add(self, *ports: int, slots: int = 8) -> None:
        """Know the upstreams that listen on these ports."""
        self.forwarder.directory.update(
            VmRecord(
                f'upstream-{port}',
                VmRole.UPSTREAM,
                'domain',
                'region',
                f'127.0.0.1:{port}',
                service='listings',
                slots=slots,
            )
            for port in ports
        )


def _forwarder(**preset: Any) -> Forwarder:
    limits = {ACCOUNT: AccountLimit(rate=100, burst=100)}
    configuration = Configuration(
        number=1,
        deployment='test',
        services=(
            Service('listings', '/listings'),
            Service('open', '/open', open=True),
        ),
        presets={'ordinary': Preset(accounts=limits, **preset)},
        in_force='ordinary',
        keys={credentials.digest(KEY): KeyRecord(ACCOUNT, 'test')},
    )
    holder = ConfigurationHolder()
    holder.offer(configuration)
    key_ring = KeyRing()
    key_ring.adopt(configuration)
    key_ring.learn(KnowledgeView(1e9, trio.current_time()))
    return Forwarder(
        failure_domain='domain',
        holder=holder,
        key_ring=key_ring,
        directory=UpstreamDirectory(),
        event_log=EventLog('vm'),
        rng=random.Random(1),
    )


@asynccontextmanager
async def forwarding(
    *upstreams: ScriptedUpstream,
    **preset: Any,
) -> AsyncIterator[World]:
    """Forward to the upstreams for the block, invariants enforced."""
    async with trio.open_nursery() as nursery:
        ports = [
            await listen(nursery, upstream.serve) for upstream in upstreams
        ]
        forwarder = _forwarder(**preset)
        async with serving(forwarder, LIMITS) as port:
            world = World(port, forwarder)
            world.add(*ports)
            yield world
        nursery.cancel_scope.cancel()


async def listen(nursery: trio.Nursery, serve: Serve) -> int:
    """Serve connections on a free port and return its number."""
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    return listeners[0].socket.getsockname()[1]
