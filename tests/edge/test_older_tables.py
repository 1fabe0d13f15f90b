"""VMs whose route table is older than the one that is in force."""

from typing import Any

import trio

from chestnutshift.edge import events
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventFilter
from chestnutshift.fleet.store_polling import POLL_TIMEOUT_S
from tests.edge.linked_fleet import (
    COLUMNS,
    HOST,
    READ,
    ROUTES,
    LinkedFleet,
    LinkedVm,
    running_fleet,
)
from tests.edge.world import until
from tests.virtual_time import in_virtual_time

ADDED = '/added/1'
ADDED_ROUTE = ('added', '/added/', 'safe', '2500ms', '600ms', 2, 2, 's1', [])
ADDED_KEY = 'k9'
NEWER: dict[str, Any] = {
    'version': '0000000d',
    'routes': {
        'cols': list(COLUMNS),
        'rows': [
            [*row[:-2], HOST, *row[-2:]] for row in (*ROUTES, ADDED_ROUTE)
        ],
    },
    'tenants': {
        'cols': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
        'rows': [['konya', ['k1', ADDED_KEY], 1, 156, 160]],
    },
}
NEWER_VERSION = 13
# How long a version has been in force before the store loses it.
IN_FORCE_S = 4.0
# When the operator writes again what the store has lost.
REWRITTEN_AFTER_S = 9.0
PAUSE_S = 0.1
REFUSALS = frozenset((401, 403, 404))


def has_newer(state: EdgeState) -> bool:
    """Return whether the newer table is in force on the VM."""
    return state.table_version == NEWER_VERSION


async def put_newer_in_force(fleet: LinkedFleet, newer: dict[str, Any]) -> None:
    """Write the newer table; it has been in force everywhere for long."""
    fleet.write_table(**newer)
    await until(lambda: all(has_newer(vm.state) for vm in fleet.vms))
    await trio.sleep(IN_FORCE_S)


async def ask_all(
    fleet: LinkedFleet, vms: list[LinkedVm], duration_s: float
) -> list[tuple[str, int]]:
    """Use the added route and key at VMs; return who answered what."""
    answers = []
    end = trio.current_time() + duration_s
    while trio.current_time() < end:
        for vm in vms:
            if vm.state.table is None:
                continue
            for path, key in ((ADDED, 'k1'), (READ, ADDED_KEY)):
                answer = await fleet.ask(vm, path, key=key)
                answers.append((vm.name, answer.status_code))
        await trio.sleep(PAUSE_S)
    return answers


async def lose_newer(
    fleet: LinkedFleet, newer: dict[str, Any] = NEWER
) -> LinkedVm:
    """Let the store lose the newer table as a VM starts; return the VM."""
    fleet.store.keep_copy()
    await put_newer_in_force(fleet, newer)
    fleet.store.return_from_copy()
    started = fleet.restart(fleet.vms[0])
    await until(lambda: started.state.table is not None)
    return started


def without_key(key: str) -> dict[str, Any]:
    """Return the newer table after a key was taken away."""
    keys = [kept for kept in ('k1', 'k2') if kept != key]
    rows = [['konya', keys, 1, 156, 160]]
    return NEWER | {'tenants': NEWER['tenants'] | {'rows': rows}}


# CONFIG: callers got 404 for a route, and 401 for a key, which had been added
# and confirmed seconds before; only an older route table lacked them.
@in_virtual_time
async def test_nothing_added_is_refused_after_a_start() -> None:
    """The store lacks the newest table until the operator writes it again."""
    async with running_fleet() as fleet:
        await lose_newer(fleet)
        answers = await ask_all(fleet, fleet.vms, REWRITTEN_AFTER_S)
        assert not {status for _, status in answers} & REFUSALS
        fleet.write_table(**NEWER)
        await until(lambda: all(has_newer(vm.state) for vm in fleet.vms))
        await trio.sleep(1)
        answers = await ask_all(fleet, fleet.vms, 1)
        assert {status for _, status in answers} == {200}


def with_moved_read() -> dict[str, Any]:
    """Return the newer table after the first route moved to another service."""
    moved = ('read', *ROUTES[0][1:-2], 's2', [])
    routes = (moved, *ROUTES[1:])
    rows = [[*row[:-2], HOST, *row[-2:]] for row in routes]
    return NEWER | {'routes': NEWER['routes'] | {'rows': rows}}


# CONFIG: a key that had been taken away was accepted again, 5 s after a store
# returned from an older copy: a newer table that peers named counted no longer.
@in_virtual_time
async def test_withdrawn_key_until_it_is_written() -> None:
    """A VM that starts on the copy does not run it, however long that lasts."""
    async with running_fleet() as fleet:
        started = await lose_newer(fleet, without_key('k2'))
        end = trio.current_time() + REWRITTEN_AFTER_S
        while trio.current_time() < end:
            assert (await fleet.ask(started, key='k2')).status_code != 200
            await trio.sleep(PAUSE_S)


async def keep_from_newer(fleet: LinkedFleet, *vms: LinkedVm) -> None:
    """Move a route, and have the store turn some VMs away meanwhile."""
    for vm in vms:
        vm.store.is_refusing = True
    # Open polls would still be answered.
    await trio.sleep(POLL_TIMEOUT_S)
    fleet.write_table(**with_moved_read())
    peers = [peer for peer in fleet.vms if peer not in vms]
    await until(lambda: all(has_newer(peer.state) for peer in peers))
    await trio.sleep(vms[0].state.settings.bounds.table_s)


# CONFIG: a request ran at the service that its route had before, at a VM that
# the store kept from the newer table while its peers had it.
@in_virtual_time
async def test_requests_go_by_a_newer_table() -> None:
    """The VM passes them on to peers that have the table."""
    async with running_fleet() as fleet:
        moved = fleet.upstreams['i-0']
        fleet.register('i-0', 's2')
        await keep_from_newer(fleet, fleet.vms[-1])
        before = fleet.arrivals
        for number in range(4):
            answer = await fleet.ask(fleet.vms[-1])
            assert answer.status_code == 200
            assert len(moved.received) == number + 1
        assert fleet.arrivals == before + 4


# CONFIG: the same where no peer can serve it by the newer table.
@in_virtual_time
async def test_older_table_after_peers_refused() -> None:
    """The request is refused; it does not run by the older table."""
    async with running_fleet() as fleet:
        await keep_from_newer(fleet, fleet.vms[-1])
        answer = await fleet.ask(fleet.vms[-1])
        assert answer.status_code == 503
        assert not fleet.arrivals


# A store that goes just after a change leaves one VM with the newer table; the
# others would have flooded it with their requests.
@in_virtual_time
async def test_older_table_where_few_have_the_newer() -> None:
    """Most VMs lack it: they serve by theirs."""
    async with running_fleet() as fleet:
        await keep_from_newer(fleet, *fleet.vms[1:])
        answer = await fleet.ask(fleet.vms[-1])
        assert answer.status_code == 200
        newer = fleet.vms[0].state.event_log
        taken_over = EventFilter(number=events.REQUEST_TAKEN_OVER.number)
        assert not newer.select(taken_over)
