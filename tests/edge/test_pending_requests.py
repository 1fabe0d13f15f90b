"""Requests that neither their caller nor their route gives a timeout."""

from trio.testing import trio_test

from chestnutshift.edge.state import EdgeState
from tests.callers.clients import calling, get
from tests.edge.linked_fleet import HOST, running_fleet
from tests.edge.stand_ins import UpstreamStandIn
from tests.edge.world import running_edge

DEADLINE = 'x-chestnutshift-deadline-ms'
ROUTES = {
    'cols': ['name', 'host', 'prefix', 'kind', 'service'],
    'rows': [['patient', HOST, '/a/', 'safe', 's1']],
}


async def _status(state: EdgeState) -> int:
    """Return the status of a request without a deadline."""
    request = get(
        '/a/1', 'x-chestnutshift-request-id: r-1', 'authorization: Token k1'
    )
    request = request.replace(b'host: test', b'host: %b' % HOST.encode())
    async with calling(state.settings.callers.port) as caller:
        await caller.send(request)
        return (await caller.answer()).status


def _told(upstreams: list[UpstreamStandIn]) -> list[dict[str, str]]:
    return [headers for upstream in upstreams for headers in upstream.received]


# A fault of the program: such requests got 500, as the time that was left could
# not be written.
@trio_test
async def test_request_without_a_timeout() -> None:
    """Its upstream is told no deadline."""
    async with running_edge('serve', routes=ROUTES) as world:
        status = await _status(world.state)
    assert status == 200
    assert DEADLINE not in _told(world.upstreams)[-1]


@trio_test
async def test_request_without_a_timeout_over_the_hop() -> None:
    """The peer's upstream is told none either."""
    async with running_fleet(vm_count=2, routes=ROUTES) as fleet:
        await fleet.cut_off(fleet.vms[0])
        for upstream in fleet.upstreams.values():
            upstream.received.clear()
        status = await _status(fleet.vms[0].state)
    assert status == 200
    told = _told(list(fleet.upstreams.values()))
    assert len(told) == 1
    assert DEADLINE not in told[0]
