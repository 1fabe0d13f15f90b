"""An edge VM with stand-ins for its callers, store and upstreams."""

import json
import os
import random
import socket
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager

import attrs
import httpx
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.backend import Backend
from chestnutshift.edge.process import EdgeProcess
from chestnutshift.edge.settings import (
    Bounds,
    EdgeSettings,
    Endpoint,
    StoreSettings,
)
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.vm_registration import Registrar
from chestnutshift.events.log import Event, EventFilter, EventLog
from chestnutshift.logs.bounded import BoundedLines
from chestnutshift.platform.entry import EntryApplication
from chestnutshift.platform.heads import PlatformDialect
from chestnutshift.platform.sources import (
    StoreRegister,
    member_source,
    operator_source,
    upstream_source,
)
from chestnutshift.platform.store import StoreClient
from tests.edge.stand_ins import StoreStandIn, UpstreamStandIn, served
from tests.platform.samples import REGISTRATION, route_table

ADDRESS = '127.0.0.1'
SEARCH = '/a/1'
BOOK = '/a/b/1'
TIMEOUT_S = 20.0
# By then the store has proven the route table again.
PROVEN_WITHIN_S = 5.0
PORTS = (12_000, 30_000)
RAW_UPSTREAM = 'i-raw'

Serve = Callable[[trio.SocketStream], Awaitable[None]]


@attrs.define
class World:
    """A running edge VM with its store and upstreams.

    settings_file stands in for the content of the VM's settings file.
    expects_faults allows that the VM logs a fault of the program.
    """

    state: EdgeState
    store: StoreStandIn
    upstreams: list[UpstreamStandIn]
    settings_file: EdgeSettings
    expects_faults: bool = False

    async def ask(
        self,
        path: str = SEARCH,
        key: str = 'k1',
        method: str = 'GET',
        body: bytes = b'',
        **headers: str,
    ) -> httpx.Response:
        """Send one request on a new connection and return the answer."""
        request_headers = {
            'host': 'one.example',
            'x-chestnutshift-request-id': f'r-{os.urandom(4).hex()}',
            'x-chestnutshift-deadline-ms': '4000',
            'x-chestnutshift-affinity-key': '17',
            'authorization': f'Token {key}',
        }
        request_headers |= {
            name.replace('_', '-'): text for name, text in headers.items()
        }
        url = f'http://{self.state.settings.callers}{path}'
        async with httpx.AsyncClient(verify=False, timeout=TIMEOUT_S) as client:
            return await client.request(
                method, url, headers=request_headers, content=body
            )

    async def call(self, endpoint: Endpoint, target: str) -> httpx.Response:
        """Call one of the VM's other ports and return the answer."""
        async with httpx.AsyncClient(verify=False, timeout=TIMEOUT_S) as client:
            return await client.get(f'http://{endpoint}{target}')

    async def until_proven(self) -> None:
        """Wait until the VM accepts keys: an error may have cost it a proof."""
        with trio.fail_after(PROVEN_WITHIN_S):
            while not self.state.trust.accepts_keys(boot_time()):
                await trio.sleep(0.01)

    def register(self, upstream: UpstreamStandIn, port: int) -> None:
        """Register an upstream of the first service."""
        document = json.loads(json.dumps(REGISTRATION))
        document['addr'] = f'{ADDRESS}:{port}'
        document['status']['cold_left'] = '0ms'
        content = json.dumps(document).encode()
        self.store.write('servers', upstream.name, content)


async def until(condition: Callable[[], bool]) -> None:
    """Wait until the condition holds; fails after TIMEOUT_S."""
    with trio.fail_after(TIMEOUT_S):
        while not condition():
            await trio.sleep(0.01)


@asynccontextmanager
async def running_edge(
    *behaviours: str, **tables: object
) -> AsyncIterator[World]:
    """Run an edge VM with one upstream per behaviour."""
    async with AsyncExitStack() as stack:
        store = StoreStandIn()
        store_port = await stack.enter_async_context(served(store))
        state = EdgeState(make_settings(store_port), 1, EventLog('vm-1'))
        upstreams = [
            UpstreamStandIn(f'i-{number}', behaviour)
            for number, behaviour in enumerate(behaviours)
        ]
        world = World(state, store, upstreams, state.settings)
        store.write('op', 'config', route_table(**tables))
        for upstream in upstreams:
            port = await stack.enter_async_context(served(upstream))
            world.register(upstream, port)
        nursery = await stack.enter_async_context(trio.open_nursery())
        process = make_process(state, lambda: world.settings_file)
        nursery.start_soon(process.run)
        await until(
            lambda: state.is_ready(trio.current_time()) or _is_serving(state)
        )
        await until(lambda: len(list(state.directory)) == len(upstreams))
        yield world
        nursery.cancel_scope.cancel()
        assert world.expects_faults or not _faults(state)


@asynccontextmanager
async def running_edge_at(
    serve: Serve, **tables: object
) -> AsyncIterator[World]:
    """Run an edge VM with one upstream that serves its connections itself."""
    async with running_edge(**tables) as world, trio.open_nursery() as nursery:
        listeners = await trio.open_tcp_listeners(0, host=ADDRESS)
        nursery.start_soon(trio.serve_listeners, serve, listeners)
        port = listeners[0].socket.getsockname()[1]
        world.register(UpstreamStandIn(RAW_UPSTREAM), port)
        await until(lambda: len(list(world.state.directory)) == 1)
        yield world
        nursery.cancel_scope.cancel()


def _faults(state: EdgeState) -> list[Event]:
    return state.event_log.select(EventFilter(number=events.FAULT.number))


def _is_serving(state: EdgeState) -> bool:
    return state.table is not None and state.phase.value == 'serving'


def make_settings(store_port: int) -> EdgeSettings:
    """Return settings of a VM on free ports."""
    ports = free_ports(6)
    return EdgeSettings(
        vm='vm-1',
        address=ADDRESS,
        failure_domain='a1',
        region='a',
        callers=Endpoint(ADDRESS, ports[0]),
        readiness=Endpoint(ADDRESS, ports[1]),
        lookups=Endpoint(ADDRESS, ports[2]),
        peer_port=ports[3],
        metrics_port=ports[4],
        crossings_port=ports[5],
        regions={'a1': 'a', 'b1': 'b'},
        descriptors_max=1000,
        store=StoreSettings(Endpoint(ADDRESS, store_port), 100, 100, 1),
        bounds=Bounds(),
    )


def free_ports(count: int) -> list[int]:
    """Return so many TCP ports that are free at the moment, each once."""
    ports: set[int] = set()
    while len(ports) < count:
        ports.add(free_port())
    return list(ports)


def free_port() -> int:
    """Return a port that is free at the moment, for TCP and UDP.

    It is below those that connections take, which might take it meanwhile.
    """
    while True:
        port = random.randrange(*PORTS)
        if _is_free(port, socket.SOCK_STREAM) and _is_free(
            port, socket.SOCK_DGRAM
        ):
            return port


def _is_free(port: int, kind: socket.SocketKind) -> bool:
    """Return whether no other test has the port."""
    with socket.socket(type=kind) as sock:
        try:
            sock.bind((ADDRESS, port))
        except OSError:
            return False
    return True


def make_process(
    state: EdgeState,
    read_settings: Callable[[], EdgeSettings],
    stopping: trio.Event | None = None,
) -> EdgeProcess:
    """Return the process of a VM whose log nobody reads.

    It begins its graceful stop when stopping is set.
    """
    store = StoreClient(state.settings.store.endpoint)
    backend = Backend(
        dialect=PlatformDialect(),
        operators=operator_source(store),
        upstreams=upstream_source(store),
        members=member_source(store),
        registrar=Registrar(StoreRegister(store)),
        read_settings=read_settings,
    )
    sink = os.open(os.devnull, os.O_WRONLY)
    lines = BoundedLines(sink, 0)
    return EdgeProcess(
        state,
        backend,
        EntryApplication(state),
        lines,
        trio.Event() if stopping is None else stopping,
    )
