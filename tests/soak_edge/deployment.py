"""The store, upstreams, links and VMs of a soak."""

import itertools
import json
import pathlib
import random
import signal
import time
from collections.abc import Collection, Iterator, Mapping, Sequence
from contextlib import contextmanager

import attrs
import trio

from tests.edge.stand_ins import StoreStandIn, StoreView, served
from tests.links import Link, LinkFault, LinkGroup
from tests.soak_edge.guarantees import IssuedKey, NamedLimit, SentRequest
from tests.soak_edge.losses import Impairment
from tests.soak_edge.route_tables import SERVICE, RouteTables
from tests.soak_edge.upstreams import Run, SoakUpstream, VmUpstream
from tests.processes.vms import make_vm
from tests.soak_edge.vms import LAUNCH, SoakVm

UPSTREAM_COUNT = 4
ZONES = ('a1', 'b1')
RESTART_S = 1.0


@attrs.define
class SoakDeployment:
    """What a soak starts, and the requests and runs that it recorded.

    With has_own_links each VM has a link of its own to each upstream, and so
    knows it by an address of its own. VMs that tell each other which upstreams
    ended need the same addresses; then all VMs share one link to each. With
    has_staying_callers no caller leaves before its request has ended.
    """

    rng: random.Random
    folder: pathlib.Path
    has_own_links: bool
    has_staying_callers: bool = False
    store: StoreStandIn = attrs.field(factory=StoreStandIn)
    vms: list[SoakVm] = attrs.field(factory=list)
    store_links: list[Link] = attrs.field(factory=list)
    # The links of all VMs to an upstream.
    upstream_links: dict[str, Link | LinkGroup] = attrs.field(factory=dict)
    # The links of each VM, by VM and upstream, if they have own ones.
    vm_links: dict[str, dict[str, Link]] = attrs.field(factory=dict)
    runs: list[Run] = attrs.field(factory=list)
    sent_requests: list[SentRequest] = attrs.field(factory=list)
    issued_keys: dict[str, IssuedKey] = attrs.field(factory=dict)
    upstreams: dict[str, SoakUpstream] = attrs.field(factory=dict)
    named_limits: list[NamedLimit] = attrs.field(factory=list)
    impairments: list[Impairment] = attrs.field(factory=list)
    # When the crashing request reached an upstream, and ended one.
    crash_arrivals: list[float] = attrs.field(factory=list)
    crash_ends: list[float] = attrs.field(factory=list)
    # Numbers of requests, for their ids.
    numbers: itertools.count = attrs.field(factory=itertools.count)
    tables: RouteTables = attrs.field(
        default=attrs.Factory(
            lambda deployment: RouteTables(deployment.store), takes_self=True
        )
    )
    _nursery: trio.Nursery | None = None
    _rows: dict[str, dict] = attrs.field(factory=dict)

    async def start(self, vm_count: int, nursery: trio.Nursery) -> None:
        """Start the store, upstreams and links, then the VMs."""
        self._nursery = nursery
        for number in range(UPSTREAM_COUNT):
            name = f'i-{number}'
            upstream = SoakUpstream(name, self.rng, self.runs, self._crash)
            self.upstreams[name] = upstream
            link = LinkGroup()
            if not self.has_own_links:
                link = Link(await nursery.start(_serve, upstream))
                await nursery.start(link.run)
            self.upstream_links[name] = link
            self.list_upstream(name)
        self.issued_keys['k0'] = IssuedKey('konya')
        self.write_table()
        for number in range(vm_count):
            await self._add_vm(number)
        for vm in self.vms:
            vm.start()

    @property
    def keys(self) -> list[str]:
        """Keys that are not withdrawn."""
        return [
            key
            for key, issued in self.issued_keys.items()
            if issued.withdrawn_at is None
        ]

    def write_table(self) -> None:
        """Write the next version of the route table with the current keys."""
        self.tables.write(self.issued_keys)

    def change_keys(
        self, withdrawn: Sequence[str], accounts: Sequence[str]
    ) -> None:
        """Withdraw keys, and issue one to each account, in one version."""
        now = time.monotonic()
        keys = {key: self.issued_keys[key] for key in withdrawn}
        self.issued_keys |= _withdrawn(keys, now)
        for account in accounts:
            issued = IssuedKey(account, issued_at=now)
            self.issued_keys[f'k{len(self.issued_keys)}'] = issued
        self.write_table()
        # The withdrawal is confirmed once the row is written.
        self.issued_keys |= _withdrawn(keys, time.monotonic())

    def list_upstream(self, name: str) -> None:
        """Write an upstream's row as if it had just started."""
        number = int(name.split('-')[1])
        document = {
            'addr': f'127.0.0.1:{self.upstream_links[name].port}',
            'born': time.time_ns() // 1_000_000,
            'info': {
                'service': SERVICE,
                'version': 'v1',
                'zone': ZONES[number % len(ZONES)],
                'slots': 9,
            },
            'status': {'state': 'ready', 'seq': 1, 'cold_left': '0ms'},
        }
        self.upstreams[name].is_leaving = False
        self._rows[name] = document
        self.store.write('servers', name, json.dumps(document).encode())

    def unlist_upstream(self, name: str) -> None:
        """Remove an upstream's row; the upstream keeps serving."""
        self._rows.pop(name, None)
        self.store.remove('servers', name)

    def write_again(self, copied_at: float) -> None:
        """Write what the operator and the upstreams say, after a return.

        No VM may have lived on that knew a key of after the copy.
        """
        now = time.monotonic()
        for key, issued in self.issued_keys.items():
            if issued.issued_at >= copied_at:
                self.issued_keys[key] = attrs.evolve(issued, issued_at=now)
        self.write_table()
        for name, document in self._rows.items():
            document['status']['seq'] += 1
            self.store.write('servers', name, json.dumps(document).encode())

    def cut_off(self, vms: Collection[SoakVm], fault: LinkFault) -> None:
        """Set the fault on all links of the VMs to upstreams."""
        for vm in vms:
            for link in self.vm_links[vm.name].values():
                link.set_fault(fault)

    def name_limit(self, name: str, limit: float) -> None:
        """Have an upstream name a limit in its answers."""
        self.upstreams[name].rate_limit = limit
        self.named_limits.append(NamedLimit(name, limit, time.monotonic()))

    def end_limits(self) -> None:
        """Have no upstream name a limit any more."""
        for upstream in self.upstreams.values():
            upstream.rate_limit = None
        now = time.monotonic()
        self.named_limits = [
            limit if limit.ended_at else attrs.evolve(limit, ended_at=now)
            for limit in self.named_limits
        ]

    async def end_faults(self) -> None:
        """End every fault, and start the VMs that are not running."""
        self.store.is_down = False
        self.end_limits()
        for upstream in self.upstreams.values():
            upstream.end_delays()
        self.tables.reset_routes()
        self.write_table()
        for link in (*self.store_links, *self.upstream_links.values()):
            link.set_fault(LinkFault.NONE)
        self.cut_off(self.vms, LinkFault.NONE)
        for name in self.upstream_links:
            self.list_upstream(name)
        for vm in self.vms:
            vm.send_signal(signal.SIGCONT)
            # The fault that would have ended this was cancelled.
            vm.write_settings(vm.good_settings)
            if vm.is_stopping or not vm.is_launched_plainly:
                vm.relaunch(LAUNCH)
            vm.start()

    def stop(self) -> None:
        """Kill every VM process."""
        for vm in self.vms:
            vm.kill()
            vm.close_reader()

    async def _add_vm(self, number: int) -> None:
        """Add a VM with a link of its own to the store and each upstream."""
        links = {}
        if self.has_own_links:
            links = await self._link_upstreams(f'vm-{number}')
        addresses = {
            name: f'127.0.0.1:{link.port}' for name, link in links.items()
        }
        view = StoreView(self.store, addresses)
        store_link = Link(await self._nursery.start(_serve, view))
        await self._nursery.start(store_link.run)
        self.store_links.append(store_link)
        vm = make_vm(number, store_link.port, self.folder, LAUNCH, SoakVm)
        self.vm_links[vm.name] = links
        self.vms.append(vm)

    async def _link_upstreams(self, vm: str) -> dict[str, Link]:
        """Return a VM's links to the upstreams, which tell VMs by them."""
        links = {}
        for name, upstream in self.upstreams.items():
            port = await self._nursery.start(_serve, VmUpstream(upstream, vm))
            links[name] = Link(port)
            await self._nursery.start(links[name].run)
            self.upstream_links[name].links.append(links[name])
        return links

    def _crash(self, name: str) -> None:
        """End an upstream under a request; it is back soon, as a new run."""
        now = time.monotonic()
        self.crash_arrivals.append(now)
        if self.upstream_links[name].fault is not LinkFault.DOWN:
            self.crash_ends.append(now)
            self.upstreams[name].break_off()
            self.upstream_links[name].set_fault(LinkFault.DOWN)
            self._nursery.start_soon(self._restart_upstream, name)

    async def _restart_upstream(self, name: str) -> None:
        await trio.sleep(RESTART_S)
        self.upstream_links[name].set_fault(LinkFault.NONE)
        self.list_upstream(name)


@contextmanager
def impairing(
    deployment: SoakDeployment, vms: Collection[SoakVm]
) -> Iterator[None]:
    """Record for the block that the links of the VMs are impaired."""
    began_at = time.monotonic()
    try:
        yield
    finally:
        deployment.impairments.append(
            Impairment(
                frozenset(vm.callers_url for vm in vms),
                began_at,
                time.monotonic(),
            )
        )


def _withdrawn(
    keys: Mapping[str, IssuedKey], now: float
) -> dict[str, IssuedKey]:
    return {
        key: attrs.evolve(issued, withdrawn_at=now)
        for key, issued in keys.items()
    }


async def _serve(application: object, task_status: trio.TaskStatus) -> None:
    async with served(application) as port:
        task_status.started(port)
        await trio.sleep_forever()
