"""Several edge VMs, each with a link of its own to each upstream."""

import itertools
import json
import signal
from collections.abc import AsyncIterator, Collection, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, contextmanager

import attrs
import httpx
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from chestnutshift.fleet.heartbeats import MemberPhase
from tests.edge.stand_ins import (
    StoreStandIn,
    StoreView,
    UpstreamStandIn,
    served,
)
from tests.edge.world import ADDRESS, make_process, make_settings, until
from tests.links import Link, LinkFault
from tests.platform.samples import REGISTRATION, ROUTE_TABLE

SERVED = 200
DOMAINS = (('a1', 'a'), ('b1', 'b'))
COLUMNS = (
    'name', 'prefix', 'kind', 'timeout', 'goal', 'priority', 'attempts',
    'host', 'service', 'home_regions',
)  # fmt: skip
READ = '/a/1'
WRITE = '/b/1'
HOMED = '/h/1'
HOMELESS = '/n/1'
ROUTES = (
    ('read', '/a/', 'safe', '2500ms', '600ms', 2, 2, 's1', []),
    ('write', '/b/', 'unsafe', '2500ms', '800ms', 1, 1, 's1', []),
    ('homed', '/h/', 'safe', '2500ms', '800ms', 1, 2, 's1', ['a']),
    # A client account with another home has none in common with this route.
    ('homeless', '/n/', 'safe', '2500ms', '800ms', 1, 2, 's1', ['b']),
)
HOST = 'one.example'
# First tries that a caller sends to one VM in a second.
TRIES_RATE = 10.0


@attrs.frozen
class FirstTry:
    """A caller's first try; status is None without a complete answer."""

    vm: str
    sent_at: float
    took_s: float
    status: int | None

    @property
    def is_served(self) -> bool:
        """Whether it was answered with success."""
        return self.status == SERVED


@attrs.define
class LinkedVm:
    """A VM and its links to the upstreams, by id."""

    state: EdgeState
    links: dict[str, Link]
    store: StoreView
    # Cancelled when the VM is killed.
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)
    _stopping: trio.Event = attrs.field(factory=trio.Event)

    @property
    def name(self) -> str:
        """The VM's name."""
        return self.state.settings.vm

    async def run(self) -> None:
        """Run the VM until it has stopped or is killed."""
        state = self.state
        with self.scope:
            await make_process(
                state, lambda: state.settings, self._stopping
            ).run()

    def stop(self) -> None:
        """Begin the graceful stop, as a stop signal does."""
        self.state.phase = MemberPhase.STOPPING
        self._stopping.set()

    def cut(self, fault: LinkFault, upstreams: Collection[str] = ()) -> None:
        """Set the fault on the links to some upstreams, by default all."""
        for upstream in upstreams or self.links:
            self.links[upstream].set_fault(fault)


@attrs.define
class LinkedFleet:
    """The VMs, their upstreams, and the first tries that were sent."""

    store: StoreStandIn
    upstreams: dict[str, UpstreamStandIn]
    vms: list[LinkedVm] = attrs.field(factory=list)
    tries: list[FirstTry] = attrs.field(factory=list)
    _numbers: Iterator[int] = attrs.field(factory=itertools.count)
    # Runs the VMs.
    _nursery: trio.Nursery | None = None

    def run(self, vm: LinkedVm) -> None:
        """Start a VM of the fleet."""
        self.vms.append(vm)
        self._nursery.start_soon(vm.run)

    def restart(self, vm: LinkedVm) -> LinkedVm:
        """Kill a VM and start it again, on other ports; return its run."""
        vm.scope.cancel()
        self.vms.remove(vm)
        before = vm.state.settings
        settings = attrs.evolve(
            make_settings(before.store.endpoint.port),
            vm=before.vm,
            failure_domain=before.failure_domain,
            region=before.region,
        )
        state = EdgeState(settings, vm.state.incarnation + 1, EventLog(vm.name))
        again = LinkedVm(state, vm.links, vm.store)
        self.run(again)
        return again

    def write_table(self, **tables: object) -> None:
        """Write a route table as the operator, with some fields replaced."""
        self.store.write('op', 'config', _route_table(tables))

    def register(self, name: str, service: str = 's1') -> None:
        """Write the row of an upstream."""
        self.store.write('servers', name, _registration(name, service))

    def is_settled(self, upstream_count: int) -> bool:
        """Return whether all VMs are ready, and know peers and upstreams."""
        now = boot_time()
        return all(
            vm.state.is_ready(now)
            and len(list(vm.state.directory)) == upstream_count
            and len(vm.state.fleet.live_peers(now)) == len(self.vms) - 1
            for vm in self.vms
        )

    @property
    def arrivals(self) -> int:
        """The number of requests that reached upstreams."""
        return sum(
            len(upstream.received) for upstream in self.upstreams.values()
        )

    async def cut_off(
        self, *vms: LinkedVm, fault: LinkFault = LinkFault.REFUSED
    ) -> None:
        """Cut VMs off from all upstreams, and wait until they know it."""
        for vm in vms:
            vm.cut(fault)
        while not all(vm.state.directory.reach.is_cut_off for vm in vms):
            for vm in vms:
                await self.ask(vm)
            await trio.sleep(0.05)

    async def ask(
        self,
        vm: LinkedVm,
        path: str = READ,
        body: bytes = b'',
        key: str = 'k1',
        **headers: str,
    ) -> httpx.Response:
        """Send one request to a VM; raises httpx.HTTPError."""
        async with httpx.AsyncClient(verify=False, timeout=20) as client:
            return await self._request(client, vm, path, body, key, headers)

    async def send_tries(self, vm: LinkedVm, path: str = READ) -> None:
        """Send first tries to a VM until cancelled, and record them."""
        async with (
            httpx.AsyncClient(verify=False, timeout=20) as client,
            trio.open_nursery() as nursery,
        ):
            while True:
                nursery.start_soon(self._try, client, vm, path)
                await trio.sleep(1 / TRIES_RATE)

    async def _try(
        self, client: httpx.AsyncClient, vm: LinkedVm, path: str
    ) -> None:
        sent_at = trio.current_time()
        body = b'body' if path == WRITE else b''
        try:
            answer = await self._request(client, vm, path, body, 'k1', {})
            status = answer.status_code
        except httpx.HTTPError:
            status = None
        took_s = trio.current_time() - sent_at
        self.tries.append(FirstTry(vm.name, sent_at, took_s, status))

    async def _request(
        self,
        client: httpx.AsyncClient,
        vm: LinkedVm,
        path: str,
        body: bytes,
        key: str,
        headers: dict[str, str],
    ) -> httpx.Response:
        number = next(self._numbers)
        request_headers = {
            'host': HOST,
            'x-chestnutshift-request-id': f'r-{number}',
            'x-chestnutshift-deadline-ms': '4000',
            'x-chestnutshift-affinity-key': f'{number}',
            'authorization': f'Token {key}',
        }
        request_headers |= {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        return await client.request(
            'POST' if body else 'GET',
            f'http://{vm.state.settings.callers}{path}',
            headers=request_headers,
            content=body,
        )


@asynccontextmanager
async def running_fleet(
    vm_count: int = 4, upstream_count: int = 4, **tables: object
) -> AsyncIterator[LinkedFleet]:
    """Run VMs that know each other, in front of upstreams that serve."""
    with _kept_signal_handlers():
        async with AsyncExitStack() as stack:
            names = [f'i-{number}' for number in range(upstream_count)]
            nursery = await stack.enter_async_context(trio.open_nursery())
            fleet = LinkedFleet(
                StoreStandIn(),
                {name: UpstreamStandIn(name) for name in names},
                nursery=nursery,
            )
            fleet.write_table(**tables)
            ports = {}
            for name, upstream in fleet.upstreams.items():
                ports[name] = await stack.enter_async_context(served(upstream))
                fleet.register(name)
            for number in range(vm_count):
                links = {name: Link(port) for name, port in ports.items()}
                for link in links.values():
                    await nursery.start(link.run)
                view = StoreView(
                    fleet.store,
                    {
                        name: f'{ADDRESS}:{link.port}'
                        for name, link in links.items()
                    },
                )
                store_port = await stack.enter_async_context(served(view))
                state = _make_state(number, store_port)
                fleet.run(LinkedVm(state, links, view))
            await until(lambda: fleet.is_settled(len(names)))
            yield fleet
            nursery.cancel_scope.cancel()


def _route_table(tables: dict[str, object]) -> bytes:
    rows = [[*row[:-2], HOST, *row[-2:]] for row in ROUTES]
    table = ROUTE_TABLE | {'routes': {'cols': list(COLUMNS), 'rows': rows}}
    return json.dumps(table | tables).encode()


def _registration(name: str, service: str) -> bytes:
    number = int(name.split('-')[1])
    zone = DOMAINS[number % len(DOMAINS)][0]
    info = REGISTRATION['info'] | {'zone': zone, 'service': service}
    status = REGISTRATION['status'] | {'cold_left': '0ms'}
    row = REGISTRATION | {'addr': '127.0.0.1:1', 'info': info, 'status': status}
    return json.dumps(row).encode()


def _make_state(number: int, store_port: int) -> EdgeState:
    failure_domain, region = DOMAINS[number % len(DOMAINS)]
    settings = attrs.evolve(
        make_settings(store_port),
        vm=f'vm-{number}',
        failure_domain=failure_domain,
        region=region,
    )
    return EdgeState(settings, 1, EventLog(settings.vm))


@contextmanager
def _kept_signal_handlers() -> Iterator[None]:
    """Restore the handlers that several VMs of one process replace."""
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    handlers = {number: signal.getsignal(number) for number in watched}
    try:
        yield
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
