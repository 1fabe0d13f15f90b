"""Callers of VM processes, on raw sockets."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio

from tests.callers.clients import Caller
from tests.processes.upstreams import NAME, ObedientUpstream
from tests.processes.vms import Launch
from tests.processes.world import ProcessWorld, running_vms

PORT = 8686


@attrs.frozen
class KeptConnection:
    """A caller's kept connection to a VM process with one upstream."""

    world: ProcessWorld
    upstream: ObedientUpstream
    caller: Caller

    async def wait_for_target(self, target: str) -> None:
        """Wait until a request with that path and query has been passed on."""
        while target not in self.upstream.targets:
            await trio.sleep(0.01)


@asynccontextmanager
async def calling_vm(
    launch: Launch | None = None,
) -> AsyncIterator[KeptConnection]:
    """Run a VM with one upstream, and connect a caller for the block."""
    upstream = ObedientUpstream()
    async with running_vms(1, {NAME: upstream}, launch) as world:
        await world.wait_until_served(world.vm)
        stream = await trio.open_tcp_stream(world.vm.address, PORT)
        async with stream:
            yield KeptConnection(world, upstream, Caller(stream))
