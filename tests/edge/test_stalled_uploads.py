"""Uploads that stop while an upstream is at work on them."""

from unittest.mock import patch

import attrs
import trio
from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.callers.limits import CallerLimits
from chestnutshift.edge import ports
from chestnutshift.edge.pending_requests import BODY_BUFFER_MAX_B
from tests.callers.clients import Caller, calling, get
from tests.edge.world import SEARCH, World, running_edge_at, until
from tests.platform.samples import ROUTE_TABLE

LIMIT_B = 2 * BODY_BUFFER_MAX_B
LIMITS = {**ROUTE_TABLE['limits'], 'max_body_bytes': LIMIT_B}
BODY_TIMEOUT_S = 0.3
CHUNK_B = 65_536
CHUNK = b'%x\r\n%b\r\n' % (CHUNK_B, b'u' * CHUNK_B)


@attrs.define
class ReadingUpstream:
    """An upstream that begins to work as soon as a request's head is there."""

    runs: int = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Read one request without answering it."""
        async with stream:
            self.runs += 1
            while await stream.receive_some(CHUNK_B):
                await trio.lowlevel.checkpoint()


def _short_body_timeout(state: object) -> CallerLimits:
    limits = make_limits(state)
    return attrs.evolve(limits, body_timeout_s=BODY_TIMEOUT_S)


make_limits = ports.make_limits


async def _upload(world: World, upstream: ReadingUpstream, rest: bytes) -> int:
    """Send more of a body than is buffered, then rest; return the status."""
    async with calling(world.state.settings.callers.port) as caller:
        await _begin(caller)
        await until(lambda: upstream.runs)
        await caller.send(rest)
        return (await caller.answer()).status


async def _begin(caller: Caller) -> None:
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


# REFUSED: an upload that stopped was answered 408, which promises that it has
# not run, though an upstream was at work on it.
@params(b'', b'no chunk\r\n', CHUNK * 16)
@trio_test
async def test_upload_that_an_upstream_works_on(rest: bytes) -> None:
    """A body that stops, is malformed or too long is not said not to run."""
    upstream = ReadingUpstream()
    with patch.object(ports, 'make_limits', _short_body_timeout):
        async with running_edge_at(upstream.serve, limits=LIMITS) as world:
            status = await _upload(world, upstream, rest)
    assert status not in {408, 421, 429, 503}
