"""Later requests don't use connections that have stalled.

The relay drops all bytes of its open connections without closing them, as a
lost network path does.
"""

import functools

import trio
from trio.testing import trio_test

from tests.callers.clients import get
from tests.forwarding.world import (
    AUTHORIZED,
    READ_B,
    ScriptedUpstream,
    forwarding,
    listen,
    reply,
)


class Relay:
    """Relays bytes, except on connections that have been frozen."""

    def __init__(self, target: int) -> None:
        """Relay to the target port."""
        self._target = target
        self._frozen = trio.Event()
        self.connections = 0

    def freeze(self) -> None:
        """Drop all further bytes of the connections that are open now."""
        self._frozen.set()
        self._frozen = trio.Event()

    async def serve(self, stream: trio.SocketStream) -> None:
        """Relay one connection until it is frozen."""
        self.connections += 1
        frozen = self._frozen
        upstream = await trio.open_tcp_stream('127.0.0.1', self._target)
        async with upstream, trio.open_nursery() as nursery:
            nursery.start_soon(_copy, frozen, stream, upstream, nursery)
            nursery.start_soon(_copy, frozen, upstream, stream, nursery)


async def _copy(frozen, source, target, nursery) -> None:
    try:
        while chunk := await source.receive_some(READ_B):
            if not frozen.is_set():
                await target.send_all(chunk)
    except trio.BrokenResourceError:
        nursery.cancel_scope.cancel()
    nursery.cancel_scope.cancel()


@trio_test
async def test_stalled_siblings():
    """After a stalled exchange the other idle connections are not used."""
    all_arrived = trio.Event()

    async def script(upstream, stream) -> None:
        while True:
            await upstream.next_head(stream)
            if len(upstream.heads) == 3:
                all_arrived.set()
            await all_arrived.wait()
            await stream.send_all(reply(b'ok'))

    upstream = ScriptedUpstream(script)
    async with trio.open_nursery() as nursery, forwarding() as world:
        relay = Relay(await listen(nursery, upstream.serve))
        world.add(await listen(nursery, relay.serve))
        async with trio.open_nursery() as callers:
            for _ in range(3):
                callers.start_soon(functools.partial(world.get))
        assert relay.connections == 3
        relay.freeze()
        stalled = await world.get(
            'chestnutshift-deadline-ms: 1500',
        )
        assert stalled.status == 504
        assert (await world.get()).body == b'ok'
        assert relay.connections == 4
        nursery.cancel_scope.cancel()


@trio_test
async def test_answering_sibling_is_reused():
    """A connection that answered after the stall began is still used."""
    slow_arrived = trio.Event()

    async def script(upstream, stream) -> None:
        while True:
            head = await upstream.next_head(stream)
            if b'/slow' in head:
                slow_arrived.set()
                await trio.sleep_forever()
            await stream.send_all(reply(b'ok'))

    upstream = ScriptedUpstream(script)
    async with forwarding(upstream) as world, world.calling() as caller:
        await caller.send(
            get(
                '/listings/slow', AUTHORIZED, 'chestnutshift-deadline-ms: 1500'
            ),
        )
        await slow_arrived.wait()
        await world.get()
        assert (await caller.answer()).status == 504
        await world.get()
        assert upstream.connections == 2
