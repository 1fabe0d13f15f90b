"""Requests that neither their caller nor their route limits in time."""

import copy

import httpx
from trio.testing import trio_test

from tests.edge.linked_fleet import READ, LinkedVm, running_fleet
from tests.edge.world import SEARCH, running_edge
from tests.platform.samples import ROUTE_TABLE

COLUMNS = ('name', 'prefix', 'kind', 'host', 'service')
HEADERS = {
    'host': 'one.example',
    'x-chestnutshift-request-id': 'r-1',
    'authorization': 'Token k1',
}
SERVED = 200


def _routes() -> dict[str, object]:
    """Return the sample routes without timeouts."""
    routes = copy.deepcopy(ROUTE_TABLE['routes'])
    timeout = routes['cols'].index('timeout')
    for row in routes['rows']:
        row[timeout] = None
    return routes


async def _ask(address: object, path: str) -> int:
    """Send a request that states no deadline; return the status."""
    async with httpx.AsyncClient(verify=False, timeout=20) as client:
        answer = await client.get(f'http://{address}{path}', headers=HEADERS)
    return answer.status_code


async def _ask_vm(vm: LinkedVm) -> int:
    return await _ask(vm.state.settings.callers, READ)


# LOST: an infinite deadline was sent on as a number, which raised; callers of
# a route without a timeout got 500 request.fault.
@trio_test
async def test_request_without_a_deadline() -> None:
    """It is served, and its upstream is told no deadline."""
    async with running_edge('serve', routes=_routes()) as world:
        assert await _ask(world.state.settings.callers, SEARCH) == SERVED
        received = world.upstreams[0].received[0]
        assert 'x-chestnutshift-deadline-ms' not in received


@trio_test
async def test_request_without_a_deadline_over_the_hop() -> None:
    """It is served by a peer as well."""
    routes = {
        'cols': list(COLUMNS),
        'rows': [['read', '/a/', 'safe', 'one.example', 's1']],
    }
    async with running_fleet(vm_count=2, routes=routes) as fleet:
        cut = fleet.vms[0]
        await fleet.cut_off(cut)
        assert await _ask_vm(cut) == SERVED
