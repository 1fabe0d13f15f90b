"""VMs as processes, with stand-ins for the store and the upstreams."""

import copy
import json
import os
import pathlib
import tempfile
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager, suppress
from typing import Any

import attrs
import httpx
import trio

from tests.edge.stand_ins import StoreStandIn, UpstreamStandIn, served
from tests.platform.samples import ROUTE_TABLE
from tests.processes.vms import Launch, VmProcess, make_vm

SERVICE = 's1'
SAFE = '/a/1'
UNSAFE = '/b/1'
UPLOAD = '/u/1'
# Repeatable, slow, and with a timeout that is shorter than a grace of 6 s.
REPORT = '/r/1'
# Repeatable, with a long timeout.
PAGE = '/p/1'
BODY_MAX_B = 67_108_864
COLUMNS = (
    'name', 'prefix', 'kind', 'timeout', 'goal', 'priority', 'attempts',
    'host', 'service',
)  # fmt: skip
ROUTES = (
    ('search', '/a/', 'safe', '4s', '600ms', 2, 2),
    ('book', '/b/', 'unsafe', '4s', '800ms', 1, 1),
    ('report', '/r/', 'safe', '5s', '2s', 2, 2),
    ('page', '/p/', 'safe', '20s', '600ms', 2, 2),
    ('upload', '/u/', 'upload', '20s', '5s', 1, 1),
)
START_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_S = 10.0
OK = 200


@attrs.define
class ProcessWorld:
    """Running VMs, and the stand-ins that they use."""

    store: StoreStandIn
    vms: list[VmProcess]
    folder: pathlib.Path

    @property
    def vm(self) -> VmProcess:
        """The first VM."""
        return self.vms[0]

    async def ask(
        self, vm: VmProcess, path: str = SAFE, body: bytes = b''
    ) -> httpx.Response:
        """Send one request on a new connection and return the answer."""
        async with httpx.AsyncClient(
            base_url=vm.callers_url, verify=False, timeout=REQUEST_TIMEOUT_S
        ) as client:
            return await client.request(
                'POST' if body else 'GET',
                path,
                headers=dict(request_headers()),
                content=body,
            )

    async def wait_until_served(
        self, vm: VmProcess, timeout_s: float = START_TIMEOUT_S
    ) -> None:
        """Send requests until one is answered 200; raises TooSlowError."""
        with trio.fail_after(timeout_s):
            while not await self._is_served(vm):
                await trio.sleep(0.1)

    def list_upstream(self, name: str, port: int) -> None:
        """Write the row of an upstream of the service."""
        document = {
            'addr': f'127.0.0.1:{port}',
            'born': 1,
            'info': {
                'service': SERVICE,
                'version': 'v1',
                'zone': 'a1',
                'slots': 900,
            },
            'status': {'state': 'ready', 'seq': 1, 'cold_left': '0ms'},
        }
        self.store.write('servers', name, json.dumps(document).encode())

    def write_table(self, version: int = 16, **limits: object) -> None:
        """Write a route table; limits override those of the manifest."""
        table = copy.deepcopy(ROUTE_TABLE)
        table['version'] = f'{version:08x}'
        table['routes'] = {
            'cols': list(COLUMNS),
            'rows': [[*route, 'one.example', SERVICE] for route in ROUTES],
        }
        table['services'] = {
            'cols': ['name', 'health_path', 'max_conns', 'cold', 'cold_per_s'],
            'rows': [[SERVICE, '/healthz', 4000, '0s', 1000.0]],
        }
        table['tenants'] = {
            'cols': ['name', 'api_keys', 'rate_per_s', 'burst'],
            'rows': [['konya', ['k1'], 0, 0]],
        }
        table['limits'] |= {'max_body_bytes': BODY_MAX_B, **limits}
        self.store.write('op', 'config', json.dumps(table).encode())

    async def _is_served(self, vm: VmProcess) -> bool:
        with suppress(httpx.HTTPError):
            answer = await self.ask(vm)
            return answer.status_code == OK
        return False


def request_headers(deadline_ms: int = 4000) -> tuple[tuple[str, str], ...]:
    """Return the headers of a request with an id of its own."""
    return (
        ('host', 'one.example'),
        ('x-chestnutshift-request-id', f'r-{os.urandom(4).hex()}'),
        ('x-chestnutshift-deadline-ms', f'{deadline_ms}'),
        ('authorization', 'Token k1'),
    )


def raw_head(
    method: str, path: str, *extra: tuple[str, str], deadline_ms: int = 4000
) -> bytes:
    """Return the bytes of the head of a request with an id of its own."""
    lines = [f'{method} {path} HTTP/1.1']
    lines += [
        f'{name}: {text}'
        for name, text in (*request_headers(deadline_ms), *extra)
    ]
    return '\r\n'.join([*lines, '', '']).encode()


@asynccontextmanager
async def running_vms(
    count: int = 1,
    upstreams: Mapping[str, Any] | None = None,
    launch: Launch | None = None,
) -> AsyncIterator[ProcessWorld]:
    """Run VM processes with ASGI applications as upstreams, by name.

    The processes are started; they need not serve yet.
    """
    applications = upstreams or {'i-0': UpstreamStandIn('i-0')}
    store = StoreStandIn()
    folder = pathlib.Path(tempfile.mkdtemp(prefix='vm-processes-'))
    async with trio.open_nursery() as nursery:
        store_port = await nursery.start(_serve, store)
        world = ProcessWorld(store, [], folder)
        for name, application in applications.items():
            world.list_upstream(name, await nursery.start(_serve, application))
        world.write_table()
        for number in range(count):
            world.vms.append(
                make_vm(number, store_port, folder, launch or Launch())
            )
        try:
            for vm in world.vms:
                vm.start()
            yield world
        finally:
            for vm in world.vms:
                vm.kill()
        nursery.cancel_scope.cancel()


async def _serve(application: Any, task_status: trio.TaskStatus) -> None:
    async with served(application) as port:
        task_status.started(port)
        await trio.sleep_forever()
