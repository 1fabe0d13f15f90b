"""Requests with a body that are refused before it is read."""

import trio
from trio.testing import trio_test

from tests.callers.clients import Caller, calling
from tests.edge.world import SEARCH, running_edge
from tests.processes.world import raw_head

BODY_B = 4000
BODY = b'b' * BODY_B
LENGTH = ('content-length', f'{BODY_B}')
CHUNKED = ('transfer-encoding', 'chunked')
CHUNKS = b'%x\r\n%b\r\n0\r\n\r\n' % (BODY_B, BODY)
UNKNOWN = '/unknown'


async def _statuses(caller: Caller, count: int) -> list[int]:
    return [(await caller.answer()).status for _ in range(count)]


# LOST: a refusal announced the end of its connection although the body had
# arrived, and the requests behind it got neither an answer nor a refusal.
@trio_test
async def test_requests_behind_a_refused_body() -> None:
    """They are served, and the connection goes on."""
    refused = (
        raw_head('POST', UNKNOWN, LENGTH) + BODY,
        raw_head('POST', UNKNOWN, CHUNKED) + CHUNKS,
    )
    async with running_edge('serve') as world:
        async with calling(world.state.settings.callers.port) as caller:
            for request in refused:
                await caller.send(request + raw_head('GET', SEARCH))
                assert await _statuses(caller, 2) == [404, 200]
        assert len(world.upstreams[0].received) == len(refused)


@trio_test
async def test_refused_body_that_has_not_arrived() -> None:
    """The refusal announces the end, as the rest may never come."""
    async with running_edge('serve') as world:
        async with calling(world.state.settings.callers.port) as caller:
            await caller.send(raw_head('POST', UNKNOWN, LENGTH) + BODY[1:])
            answer = await caller.answer()
            assert answer.status == 404
            assert answer.headers['connection'] == 'close'
            with trio.fail_after(1):
                await caller.read_end()
