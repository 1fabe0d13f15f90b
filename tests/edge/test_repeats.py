"""Arrivals at upstreams beyond the first of each request, over all VMs."""

from collections import Counter

import trio

from tests.edge.linked_fleet import (
    READ,
    LinkedFleet,
    LinkedVm,
    running_fleet,
)
from tests.links import LinkFault
from tests.virtual_time import in_virtual_time

RETRY_RATIO = 0.2
RETRY_SLACK = 64
REQUESTS = 40
PAUSE_S = 0.05
UPSTREAMS = 8


async def ask_often(
    fleet: LinkedFleet, vms: list[LinkedVm], path: str = READ
) -> int:
    """Send requests to the VMs within a window; return how many."""
    async with trio.open_nursery() as nursery:
        for _ in range(REQUESTS):
            for vm in vms:
                nursery.start_soon(fleet.ask, vm, path)
            await trio.sleep(PAUSE_S)
    return REQUESTS * len(vms)


def count_repeats(fleet: LinkedFleet) -> int:
    """Return the arrivals beyond the first of each request."""
    arrivals = Counter(
        headers['x-chestnutshift-request-id']
        for upstream in fleet.upstreams.values()
        for headers in upstream.received
    )
    return arrivals.total() - len(arrivals)


# BUDGET: upstreams whose addresses others had now got requests sent on to
# them, one after the other, without a charge for any.
@in_virtual_time
async def test_misdirected_requests_are_charged() -> None:
    """An arrival that is rejected with 421 counts like any other."""
    async with running_fleet(upstream_count=UPSTREAMS) as fleet:
        for upstream in fleet.upstreams.values():
            upstream.behaviour = 'misdirect'
        requests = await ask_often(fleet, fleet.vms)
        assert count_repeats(fleet) <= RETRY_RATIO * requests + RETRY_SLACK


# BUDGET: requests that had been given up in a cut, and were repeated by peers,
# arrived all the same when it healed, all in one window.
@in_virtual_time
async def test_what_a_cut_held_up_does_not_arrive() -> None:
    """VMs lose their upstreams for a while, and nothing is reset."""
    async with running_fleet(upstream_count=UPSTREAMS) as fleet:
        requests = await ask_often(fleet, fleet.vms)
        for vm in fleet.vms[:2]:
            vm.cut(LinkFault.HELD_UP)
        requests += await ask_often(fleet, fleet.vms)
        before = count_repeats(fleet)
        for vm in fleet.vms[:2]:
            vm.cut(LinkFault.NONE)
        await trio.sleep(1)
        assert count_repeats(fleet) == before
