"""The store returns from an older copy, and gives versions out again."""

import json

import trio
from trio.testing import trio_test

from chestnutshift.clocks import boot_time
from tests.edge.world import World, running_edge, until
from tests.platform.samples import REGISTRATION


def write_cold(world: World, name: str) -> None:
    """Write the row of an upstream that has just become cold."""
    document = json.loads(json.dumps(REGISTRATION))
    registration = world.state.directory.find(name).registration
    document['addr'] = f'{registration.address}:{registration.port}'
    document['status'] |= {'seq': 99, 'cold_left': '30s'}
    world.store.write('servers', name, json.dumps(document).encode())


# Guards against news that is missed after the store's return: a poll goes on
# after a version that was given out again, and gets no 410.
@trio_test
async def test_changes_below_a_version_given_out_again() -> None:
    """The versions have passed the VM's own before its poll is answered."""
    async with running_edge('serve') as world:
        store, state = world.store, world.state
        store.keep_copy()
        for number in range(5):
            store.write('servers', f'x-{number}', b'{}')
        known = store.version
        await until(lambda: state.upstreams_changes.changed_at.version == known)
        store.return_from_copy()
        write_cold(world, 'i-0')
        for number in range(5):
            store.write('servers', f'y-{number}', b'{}')
        await until(lambda: state.directory.find('i-0').is_cold(boot_time()))


# Guards against tables that keep rows of the earlier era: only the poller
# that noticed the return read its table again.
@trio_test
async def test_return_ends_the_polls_of_all_tables() -> None:
    """A change of one table tells of the return; the others stay silent."""
    async with running_edge('serve') as world:
        store, state = world.store, world.state
        store.keep_copy()
        store.write('op', 'evacuate/a1', b'{}')
        await until(lambda: 'a1' in state.directory.evacuated)
        store.return_from_copy()
        write_cold(world, 'i-0')
        await until(lambda: state.store_era == 2)
        await until(lambda: state.operators_changes.changed_at.era == 2)


# Guards against a VM that stays out of the list: its row was written once, at
# the start, and nobody else writes it again.
@trio_test
async def test_vm_registers_again() -> None:
    """The store returns from a copy older than the VM's registration."""
    async with running_edge('serve') as world:
        store = world.store
        row = ('vms', 'vm-1')
        await until(lambda: row in store.rows)
        await until(lambda: world.state.store_era == 1)
        store.rows.pop(row)
        store.keep_copy()
        store.return_from_copy()
        store.write('op', 'other', b'{}')
        await until(lambda: row in store.rows)
        writes = store.version
        await trio.sleep(1)
        assert store.version == writes
