"""Errors of a request whose answer is being passed on already."""

import logging
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from unittest.mock import patch

import attrs
import trio
from trio.testing import trio_test

from chestnutshift.callers.limits import CallerLimits
from chestnutshift.edge import events, ports
from chestnutshift.edge.pending_requests import BODY_BUFFER_MAX_B
from chestnutshift.events.catalogue import EventKind
from chestnutshift.events.log import EventFilter
from tests.callers.clients import Caller, calling, get
from tests.edge.stand_ins import LONG_ANSWER_B, REQUEST_ID
from tests.edge.world import (
    SEARCH,
    World,
    running_edge_at,
    until,
)
from tests.platform.samples import ROUTE_TABLE

LIMIT_B = 2 * BODY_BUFFER_MAX_B
LIMITS = {**ROUTE_TABLE['limits'], 'max_body_bytes': LIMIT_B}
BODY_TIMEOUT_S = 0.3
CHUNK_B = 65_536
CHUNK = b'%x\r\n%b\r\n' % (CHUNK_B, b'u' * CHUNK_B)
# So much of a long answer comes early.
BEGUN_B = 300_000
HEAD = (
    b'HTTP/1.1 200 OK\r\nx-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-server-seal: s\r\ncontent-length: %d\r\n\r\n%b'
)
make_limits = ports.make_limits


async def _answer_early(stream: trio.SocketStream) -> None:
    """Begin a long answer at once, and read the request's body."""
    async with stream:
        head = await stream.receive_some(CHUNK_B)
        found = REQUEST_ID.search(head)
        begun = b'l' * BEGUN_B
        await stream.send_all(HEAD % (found[1], LONG_ANSWER_B, begun))
        with suppress(trio.BrokenResourceError):
            while await stream.receive_some(CHUNK_B):
                await trio.lowlevel.checkpoint()


def _short_body_timeout(state: object) -> CallerLimits:
    return attrs.evolve(make_limits(state), body_timeout_s=BODY_TIMEOUT_S)


@asynccontextmanager
async def _early_world() -> AsyncIterator[World]:
    with patch.object(ports, 'make_limits', _short_body_timeout):
        async with running_edge_at(_answer_early, limits=LIMITS) as world:
            yield world


async def _begin(caller: Caller) -> None:
    """Send more of a body than is buffered, and wait for the answer."""
    head = get(
        SEARCH,
        'x-chestnutshift-request-id: r-1',
        'authorization: Token k1',
        'transfer-encoding: chunked',
        method='POST',
    ).replace(b'host: test', b'host: one.example')
    await caller.send(head)
    for _ in range(BODY_BUFFER_MAX_B // CHUNK_B + 2):
        await caller.send(CHUNK)
    await until(caller.stream.socket.is_readable)


async def _read_until_reset(caller: Caller) -> bytes:
    content = b''
    try:
        while chunk := await caller.stream.receive_some(CHUNK_B):
            content += chunk
    except trio.BrokenResourceError:
        return content
    raise AssertionError('the answer ended as if it were complete')


def _count(world: World, kind: EventKind) -> int:
    return len(world.state.event_log.select(EventFilter(number=kind.number)))


@contextmanager
def _no_exceptions() -> Iterator[None]:
    """Fail if an exception that nothing handles is logged in the block."""
    with patch.object(
        logging.getLogger('chestnutshift.http'), 'exception'
    ) as log:
        yield
    log.assert_not_called()


# A caller's body that stopped, or was malformed or too long, after its answer
# had begun ended in an exception: a refusal was written behind the head.
@trio_test
async def test_body_that_ends_amid_its_answer() -> None:
    """The answer is cut off, and nothing is written behind its beginning."""
    for rest in (b'', b'no chunk\r\n', CHUNK * 16):
        with _no_exceptions():
            async with _early_world() as world:
                received = await _send_rest(world, rest)
                assert received.count(b'HTTP/1.1') == 1
                assert _count(world, events.REQUEST_ABORTED) == 1, rest[:8]
                assert not _count(world, events.REQUEST_REFUSED)


async def _send_rest(world: World, rest: bytes) -> bytes:
    """Send a body that ends so amid its answer; return what is received."""
    async with calling(world.state.settings.callers.port) as caller:
        await _begin(caller)
        await caller.send(rest)
        received = await _read_until_reset(caller)
    await until(lambda: _count(world, events.CONNECTION_LOST))
    return received
