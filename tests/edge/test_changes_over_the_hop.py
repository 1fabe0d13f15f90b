"""Changes of route table and upstreams while a peer has a request."""

import functools
import itertools
from collections.abc import (
    AsyncIterator,
    Awaitable,
    Callable,
    Collection,
    Iterator,
    Mapping,
)
from contextlib import asynccontextmanager

import attrs
import trio
from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.events.log import EventFilter
from tests.edge.linked_fleet import (
    COLUMNS,
    HOST,
    READ,
    ROUTES,
    WRITE,
    LinkedFleet,
    LinkedVm,
    running_fleet,
)
from tests.edge.world import until

Document = Mapping[str, object]
BODY = b'body'
SERVED = 200
# That of a request which an exception has ended.
FAULT_STATUS = 500
SHORT = '50ms'
LOSSES = (events.CONNECTION_LOST, events.REQUEST_ABORTED, events.FAULT)
# Which VMs learn of the change before the request comes: the one that passes
# it on, which is cut off, or its peer.
CUT, PEER = 0, 1


def _routes(**fields: object) -> Document:
    rows = [[*row[:-2], HOST, *row[-2:]] for row in ROUTES]
    for name, content in fields.items():
        for row in rows:
            row[COLUMNS.index(name)] = content
    return {'cols': list(COLUMNS), 'rows': rows}


def _accounts(name: str, key: str, rate: float) -> Document:
    row = [name, [key], rate, 1]
    return {'cols': ['name', 'api_keys', 'rate_per_s', 'burst'], 'rows': [row]}


NO_ROWS = {'cols': [], 'rows': []}
TABLES: dict[str, dict[str, Document]] = {
    'no route': {'routes': NO_ROWS},
    'renamed routes': {'routes': _routes(name='other')},
    'other service': {'routes': _routes(service='s2')},
    'no services': {'routes': NO_ROWS, 'services': NO_ROWS},
    'shorter timeouts': {'routes': _routes(timeout=SHORT)},
    'unsafe': {'routes': _routes(kind='unsafe')},
    'no accounts': {'tenants': NO_ROWS},
    'other account': {'tenants': _accounts('adana', 'k9', 100)},
    'renamed account': {'tenants': _accounts('adana', 'k1', 100)},
    'small rate': {'tenants': _accounts('konya', 'k1', 0.01)},
    'small limits': {
        'limits': {
            'max_header_bytes': 1,
            'max_body_bytes': 1,
            'header_timeout': SHORT,
            'idle_timeout': SHORT,
        }
    },
}


@attrs.define
class Change:
    """The tables of one fleet, each newer than the last."""

    fleet: LinkedFleet
    _versions: Iterator[int] = attrs.field(factory=lambda: itertools.count(100))

    async def make(self, tables: Document, vms: Collection[LinkedVm]) -> None:
        """Write a route table of which only the VMs learn, and wait for it."""
        version = next(self._versions)
        for vm in self.fleet.vms:
            vm.store.is_refusing = vm not in vms
        self.fleet.write_table(version=f'{version:x}', **tables)
        await until(
            lambda: all(vm.state.table_version == version for vm in vms)
        )

    async def remove_upstreams(self) -> None:
        """Remove the rows of all upstreams, and wait until all VMs know."""
        for name in self.fleet.upstreams:
            self.fleet.store.remove('servers', name)
        await until(
            lambda: not any(list(vm.state.directory) for vm in self.fleet.vms)
        )


def _count_losses(fleet: LinkedFleet) -> int:
    return sum(
        len(vm.state.event_log.select(EventFilter(number=kind.number)))
        for vm in fleet.vms
        for kind in LOSSES
    )


async def _ask(fleet: LinkedFleet, statuses: list[int], path: str) -> None:
    body = BODY if path == WRITE else b''
    answer = await fleet.ask(fleet.vms[CUT], path, body)
    statuses.append(answer.status_code)


@trio_test
async def test_changes_while_upstreams_work() -> None:
    """Requests that a peer has sent are answered, whatever changes."""
    async with _cut_off_fleet() as (fleet, change):
        for name, tables in TABLES.items():
            await change.make({}, fleet.vms)
            make = functools.partial(change.make, tables, fleet.vms)
            statuses = await _ask_amid(fleet, make)
            assert statuses == [SERVED, SERVED], (name, statuses)
        assert not _count_losses(fleet)


@trio_test
async def test_upstreams_leave_while_they_work() -> None:
    """Requests that a peer has sent are answered by upstreams that leave."""
    async with _cut_off_fleet() as (fleet, change):
        statuses = await _ask_amid(fleet, change.remove_upstreams)
        assert statuses == [SERVED, SERVED]
        assert not _count_losses(fleet)


@params(CUT, PEER)
@trio_test
async def test_change_that_one_vm_knows(knowing: int) -> None:
    """Requests are answered or refused, by the table of either VM."""
    async with _cut_off_fleet() as (fleet, change):
        for name, tables in TABLES.items():
            await change.make({}, fleet.vms)
            await until(functools.partial(_are_proven, fleet))
            await change.make(tables, fleet.vms[knowing : knowing + 1])
            statuses: list[int] = []
            await _ask(fleet, statuses, READ)
            await _ask(fleet, statuses, WRITE)
            assert FAULT_STATUS not in statuses, (name, statuses)
        assert not _count_losses(fleet)


@asynccontextmanager
async def _cut_off_fleet() -> AsyncIterator[tuple[LinkedFleet, Change]]:
    """Run two VMs, of which one passes on all of its requests."""
    async with running_fleet(vm_count=2, upstream_count=2) as fleet:
        await fleet.cut_off(fleet.vms[CUT])
        yield fleet, Change(fleet)


async def _ask_amid(
    fleet: LinkedFleet, change: Callable[[], Awaitable[None]]
) -> list[int]:
    """Make the change while upstreams work; return the statuses."""
    for upstream in fleet.upstreams.values():
        upstream.behaviour = 'slow'
    statuses: list[int] = []
    arrivals = fleet.arrivals
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_ask, fleet, statuses, READ)
        nursery.start_soon(_ask, fleet, statuses, WRITE)
        await until(lambda: fleet.arrivals == arrivals + 2)
        await change()
    return statuses


def _are_proven(fleet: LinkedFleet) -> bool:
    now = boot_time()
    return all(vm.state.trust.accepts_keys(now) for vm in fleet.vms)
