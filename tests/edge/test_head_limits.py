"""The route table in force says how long the head of a request may be."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from trio.testing import trio_test

from tests.callers.clients import Caller, calling, get
from tests.edge.world import SEARCH, World, running_edge, until
from tests.platform.samples import ROUTE_TABLE, route_table

LIMIT_B = 32_768
LATER_LIMIT_B = 65_536


def _limits(header_limit_b: int) -> dict[str, object]:
    return {**ROUTE_TABLE['limits'], 'max_header_bytes': header_limit_b}


def _request(extra_b: int) -> bytes:
    """Return a request with a header of so many bytes."""
    return get(
        SEARCH,
        'x-chestnutshift-request-id: r-1',
        'authorization: Token k1',
        f'x-long: {"y" * extra_b}',
    ).replace(b'host: test', b'host: one.example')


@asynccontextmanager
async def _kept_connection() -> AsyncIterator[tuple[World, Caller]]:
    async with running_edge('serve', limits=_limits(LIMIT_B)) as world:
        async with calling(world.state.settings.callers.port) as caller:
            yield world, caller


# DENIED: proper requests with long heads were refused with 431, as a fixed
# limit was applied and not the one in force.
@trio_test
async def test_head_within_the_limit_in_force() -> None:
    """It is served, whole or in pieces, and a longer one is refused."""
    async with _kept_connection() as (_world, caller):
        await caller.send(_request(20_000))
        assert (await caller.answer()).status == 200
        request = _request(30_000)
        await caller.send(request[:25_000])
        await caller.send(request[25_000:])
        assert (await caller.answer()).status == 200
        await caller.send(_request(LIMIT_B))
        assert (await caller.answer()).status == 431


@trio_test
async def test_limit_of_a_later_table() -> None:
    """It holds for requests on connections that are open already."""
    async with _kept_connection() as (world, caller):
        await caller.send(_request(10))
        assert (await caller.answer()).status == 200
        later = route_table(version='d', limits=_limits(LATER_LIMIT_B))
        world.store.write('op', 'config', later)
        await until(lambda: world.state.table.version == 13)
        await caller.send(_request(40_000))
        assert (await caller.answer()).status == 200
