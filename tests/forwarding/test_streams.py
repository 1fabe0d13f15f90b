"""Long bodies are streamed both ways in constant memory."""

import gc
import os
import pathlib

import trio
from trio.testing import trio_test

from tests.callers.clients import get
from tests.forwarding.world import (
    AUTHORIZED,
    READ_B,
    ScriptedUpstream,
    forwarding,
    reply,
)

LENGTH_B = 64 * 1024 * 1024
GROWTH_MAX_B = 16 * 1024 * 1024
CHUNK = b'x' * READ_B
STATM = pathlib.Path('/proc/self/statm')


def _resident_b() -> int:
    return int(STATM.read_text().split()[1]) * os.sysconf('SC_PAGE_SIZE')


class MemoryGrowth:
    """The peak growth of this process's memory.

    The process contains the caller, the VM and the upstream.
    """

    def __init__(self) -> None:
        """Record the present resident memory as the baseline."""
        gc.collect()
        self._baseline_b = _resident_b()
        self._peak_b = self._baseline_b

    def sample(self) -> None:
        """Update the peak with the present resident memory."""
        self._peak_b = max(self._peak_b, _resident_b())

    def check(self) -> None:
        """Fail if the peak exceeds the baseline by GROWTH_MAX_B."""
        assert self._peak_b - self._baseline_b < GROWTH_MAX_B


async def _discard(stream: trio.SocketStream, left_b: int) -> None:
    while left_b > 0:
        left_b -= len(await stream.receive_some(READ_B))


@trio_test
async def test_upload():
    """An upload reaches the upstream completely without being buffered."""

    async def script(upstream, stream) -> None:
        head = await upstream.next_head(stream)
        body = head.partition(b'\r\n\r\n')[2]
        await _discard(stream, LENGTH_B - len(body))
        await stream.send_all(reply(b'stored'))

    async with forwarding(ScriptedUpstream(script)) as world:
        async with world.calling() as caller:
            length = f'content-length: {LENGTH_B}'
            growth = MemoryGrowth()
            await caller.send(get('/listings/1', AUTHORIZED, length))
            for _ in range(LENGTH_B // READ_B):
                await caller.send(CHUNK)
                growth.sample()
            assert (await caller.answer()).body == b'stored'
            growth.check()


@trio_test
async def test_download():
    """A download reaches the caller completely without being buffered."""

    async def script(upstream, stream) -> None:
        await upstream.next_head(stream)
        length = b'content-length: %d' % LENGTH_B
        await stream.send_all(b'HTTP/1.1 200 OK\r\n%b\r\n\r\n' % length)
        for _ in range(LENGTH_B // READ_B):
            await stream.send_all(CHUNK)

    async with forwarding(ScriptedUpstream(script)) as world:
        async with world.calling() as caller:
            growth = MemoryGrowth()
            await caller.send(
                get('/listings/1', AUTHORIZED, 'connection: close')
            )
            received_b = 0
            chunk = await caller.stream.receive_some(READ_B)
            head, _, chunk = chunk.partition(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 200')
            while chunk or not received_b:
                received_b += len(chunk)
                growth.sample()
                chunk = await caller.stream.receive_some(READ_B)
            assert received_b == LENGTH_B
            growth.check()
