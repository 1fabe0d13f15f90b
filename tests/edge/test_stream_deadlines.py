"""Pipelined requests beside a long answer that its deadline ends."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

import attrs
import trio
from trio.testing import trio_test

from chestnutshift.edge import events
from chestnutshift.edge.attempts import ANSWER_BUFFER_B, FOLLOWED_BUFFER_B
from chestnutshift.events.log import EventFilter
from tests.callers.clients import Caller, calling
from tests.edge.stand_ins import REQUEST_ID
from tests.edge.world import TIMEOUT_S, World, running_edge_at, until

HOST = 'one.example'
# Longer than what is buffered, also while requests are behind it.
LENGTH_B = ANSWER_BUFFER_B + 200_000
FOLLOWED_B = FOLLOWED_BUFFER_B + 200_000
SHORT_MS = 400
LONG_MS = 4000
HEAD = (
    b'HTTP/1.1 200 OK\r\nx-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-server-seal: s\r\ncontent-length: %d\r\n\r\n%b'
)
CHECK_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
DOWNLOAD, SLOW, QUICK = '/a/download', '/a/slow', '/a/quick'
# On a route whose requests may run once.
UNSAFE = '/b/unsafe'
READ_B = 65_536
MS_PER_S = 1000
COLUMNS = ('name', 'prefix', 'kind', 'timeout', 'attempts', 'host', 'service')
ROUTES = {
    'cols': list(COLUMNS),
    'rows': [
        ['read', '/a/', 'download', '5s', 1, HOST, 's1'],
        ['write', '/b/', 'unsafe', '5s', 1, HOST, 's1'],
    ],
}


@attrs.define
class Upstream:
    """An upstream that sends downloads but for their last byte at once.

    length_b is that of a download. Slow requests are answered once goes_on is
    set, and downloads completed. received are the targets of requests.
    """

    length_b: int = LENGTH_B
    received: list[str] = attrs.field(factory=list)
    goes_on: trio.Event = attrs.field(factory=trio.Event)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            with suppress(trio.BrokenResourceError):
                while head := await stream.receive_some(READ_B):
                    await self._answer(stream, head)

    async def _answer(self, stream: trio.SocketStream, head: bytes) -> None:
        found = REQUEST_ID.search(head)
        if found is None:
            await stream.send_all(CHECK_ANSWER)
            return
        target = head.split(b' ')[1].decode()
        self.received.append(target)
        if target == DOWNLOAD:
            begun = b'd' * (self.length_b - 1)
            await stream.send_all(HEAD % (found[1], self.length_b, begun))
            await self.goes_on.wait()
            await stream.send_all(b'd')
            return
        if target == SLOW:
            await self.goes_on.wait()
        await stream.send_all(HEAD % (found[1], 4, b'body'))


def _request(target: str, limit_ms: int = LONG_MS) -> bytes:
    lines = (
        f'GET {target} HTTP/1.1',
        f'host: {HOST}',
        f'x-chestnutshift-request-id: r{target.replace("/", "-")}',
        f'x-chestnutshift-deadline-ms: {limit_ms}',
        'authorization: Token k1',
    )
    return '\r\n'.join((*lines, '', '')).encode()


@asynccontextmanager
async def _calling_world(
    upstream: Upstream,
) -> AsyncIterator[tuple[World, Caller]]:
    async with running_edge_at(upstream.serve, routes=ROUTES) as world:
        async with calling(world.state.settings.callers.port) as caller:
            yield world, caller


# LOST: a long answer whose turn had not come was said to have begun; its
# deadline reset the connection, and the request before it was lost as well.
@trio_test
async def test_deadline_before_the_turn() -> None:
    """It is refused, and the request before it is answered."""
    upstream = Upstream()
    async with _calling_world(upstream) as (world, caller):
        # Requests wait behind answers that may be long until one is known.
        await caller.send(_request(QUICK))
        assert (await caller.answer()).body == b'body'
        await caller.send(_request(SLOW) + _request(DOWNLOAD, SHORT_MS))
        await until(lambda: DOWNLOAD in upstream.received)
        await trio.sleep(2 * SHORT_MS / MS_PER_S)
        upstream.goes_on.set()
        assert (await caller.answer()).body == b'body'
        assert (await caller.answer()).status == 504
        assert not _losses(world)


@trio_test
async def test_deadline_behind_a_stream() -> None:
    """The request is refused in its turn, as one that was not sent."""
    upstream = Upstream()
    async with _calling_world(upstream) as (world, caller):
        await caller.send(_request(DOWNLOAD))
        assert await caller.stream.receive_some(1) == b'H'
        await caller.send(_request(QUICK, SHORT_MS))
        await trio.sleep(2 * SHORT_MS / MS_PER_S)
        upstream.goes_on.set()
        await _read_until(caller, b'request.not_started')
        assert upstream.received == [DOWNLOAD]
        assert not _losses(world)


# A caller learns of the requests behind a stream that breaks off by the reset
# alone: those that may not run a second time must not have run.
@trio_test
async def test_deadline_of_a_stream() -> None:
    """Requests behind it have not been sent, and are counted as lost."""
    upstream = Upstream()
    async with _calling_world(upstream) as (world, caller):
        await caller.send(_request(DOWNLOAD, SHORT_MS))
        assert await caller.stream.receive_some(1) == b'H'
        await caller.send(_request(QUICK) + _request(UNSAFE))
        await _read_until_reset(caller)
        assert upstream.received == [DOWNLOAD]
        await until(lambda: _losses(world) == [3])


@trio_test
async def test_deadline_of_a_stream_of_any_length() -> None:
    """An unsafe request that was sent with it has not been sent on."""
    upstream = Upstream(FOLLOWED_B)
    async with _calling_world(upstream) as (world, caller):
        requests = _request(DOWNLOAD, SHORT_MS) + _request(UNSAFE)
        await caller.send(requests)
        await _read_until_reset(caller)
        assert upstream.received == [DOWNLOAD]
        await until(lambda: _losses(world) == [2])


async def _read_until(caller: Caller, content: bytes) -> None:
    received = b''
    with trio.fail_after(TIMEOUT_S):
        while content not in received:
            received += await caller.stream.receive_some(READ_B)


async def _read_until_reset(caller: Caller) -> None:
    with trio.fail_after(TIMEOUT_S), suppress(trio.BrokenResourceError):
        while await caller.stream.receive_some(READ_B):
            await trio.lowlevel.checkpoint()
        raise AssertionError('the connection ended without a reset')


def _losses(world: World) -> list[int]:
    """Return how many requests each connection has lost."""
    lost = EventFilter(number=events.CONNECTION_LOST.number)
    return [
        event.facts['requests'] for event in world.state.event_log.select(lost)
    ]
