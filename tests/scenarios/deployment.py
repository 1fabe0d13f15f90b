"""A deployment of real processes that scenarios act on."""

import contextlib
import os
import pathlib
import signal
import subprocess
import tempfile
import tomllib
from collections.abc import AsyncIterator
from typing import Any

import attrs
import httpx
import trio

from demo.plan import (
    EXAMPLES,
    OPERATORS_PORT,
    PLATFORM_PORT,
    UPSTREAM_PORT,
    make_plan,
)
from demo.processes import Demonstration

# Each test process uses its own loopback network, so several can run at once.
NETWORK = 1 + os.getpid() % 250
REQUEST_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
NO_PLATFORM_FAULTS = {'outage': False, 'latency_ms': 0, 'lose_answers': 0}


@attrs.define
class Deployment:
    """A running deployment, and an HTTP client for it."""

    demonstration: Demonstration
    client: httpx.AsyncClient

    @property
    def keys(self) -> dict[str, str]:
        """One key for each client account."""
        return self.demonstration.plan.keys

    def vm_url(self, name: str) -> str:
        """Return the base URL of the named VM for callers."""
        return _find_by_name(self.demonstration.plan.vms, name)['url']

    def upstream_url(self, name: str) -> str:
        """Return the base URL of the named upstream."""
        upstream = _find_by_name(self.demonstration.plan.upstreams, name)
        return f'http://{upstream["address"]}:{UPSTREAM_PORT}'

    @property
    def platform_url(self) -> str:
        """The base URL of the stand-in platform."""
        address = self.demonstration.plan.platform_address
        return f'http://{address}:{PLATFORM_PORT}'

    def limits(self, account: str) -> dict[str, float]:
        """Return the account's rate and burst in the ordinary preset."""
        path = EXAMPLES / self.demonstration.plan.name / 'ordinary.toml'
        return tomllib.loads(path.read_text())['accounts'][account]

    async def status(self, vm: dict[str, Any]) -> dict[str, Any]:
        """Return a VM's status; raises httpx.HTTPError."""
        answer = await self.request_operators_port(vm, 'GET', '/status')
        return answer.raise_for_status().json()

    async def request_operators_port(
        self,
        vm: dict[str, Any],
        method: str,
        path: str,
        document: dict[str, Any] | None = None,
    ) -> httpx.Response:
        """Send a request to a VM's operators' port and return the answer."""
        directory = self.demonstration.plan.directory
        secret = (directory / 'operators.secret').read_text()
        return await self.client.request(
            method,
            f'http://{vm["address"]}:{OPERATORS_PORT}{path}',
            headers={'Authorization': f'Bearer {secret}'},
            json=document,
        )

    async def restore(self) -> None:
        """Resume or restart VMs, end platform faults; wait until all serve."""
        for name, process in self.demonstration.vms.items():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
            else:
                self.demonstration.start_vm(name)
        faults_url = f'{self.platform_url}/standin/faults'
        await self.client.put(faults_url, json=NO_PLATFORM_FAULTS)
        with trio.fail_after(READY_TIMEOUT_S):
            while not await self._all_ready():
                await trio.sleep(POLL_INTERVAL_S)

    def signal_vm(self, name: str, sent_signal: signal.Signals) -> None:
        """Send a signal to a VM's process."""
        self.demonstration.vms[name].send_signal(sent_signal)

    async def run_operator(self, name: str, *arguments: str) -> tuple[int, str]:
        """Run an operator's command; return its exit code and output."""
        finished = await trio.run_process(
            self.demonstration.operator_command(name, *arguments),
            capture_stdout=True,
            stderr=subprocess.STDOUT,
            check=False,
        )
        return finished.returncode, finished.stdout.decode()

    async def _all_ready(self) -> bool:
        try:
            statuses = [
                await self.status(vm) for vm in self.demonstration.plan.vms
            ]
        except httpx.HTTPError:
            return False
        return all(
            status['in_force_on'] == status['vms']
            and status['headroom'] > 0
            and status['keys'] == 'fresh'
            for status in statuses
        )


def _find_by_name(records: list[dict[str, Any]], name: str) -> dict[str, Any]:
    return next(record for record in records if record['name'] == name)


def _make_client() -> httpx.AsyncClient:
    return httpx.AsyncClient(
        verify=False,
        trust_env=False,
        timeout=REQUEST_TIMEOUT_S,
        limits=httpx.Limits(),
    )


class SharedDeployment:
    """One deployment for several tests, each with its own trio run."""

    def __init__(self, name: str) -> None:
        """Keep the deployment's name; start() starts its processes."""
        self._name = name
        self._stack = contextlib.ExitStack()

    def start(self) -> None:
        """Start every process."""
        directory = self._stack.enter_context(tempfile.TemporaryDirectory())
        plan = make_plan(
            self._name,
            pathlib.Path(directory) / 'demo',
            network=NETWORK,
        )
        self._demonstration = Demonstration(plan)
        self._stack.callback(self._demonstration.stop)
        try:
            trio.run(self._demonstration.start)
        except BaseException:
            self.stop()
            raise

    def stop(self) -> None:
        """Stop every process; a suspended one must resume to stop."""
        for process in self._demonstration.vms.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
        self._stack.close()

    @contextlib.asynccontextmanager
    async def restored(self) -> AsyncIterator[Deployment]:
        """Yield the deployment with every VM ready and no platform faults."""
        async with _make_client() as client:
            deployment = Deployment(self._demonstration, client)
            await deployment.restore()
            yield deployment


@contextlib.asynccontextmanager
async def run_deployment(name: str) -> AsyncIterator[Deployment]:
    """Run a deployment during the block; stop its processes at the end."""
    shared = SharedDeployment(name)
    await trio.to_thread.run_sync(shared.start)
    try:
        async with shared.restored() as deployment:
            yield deployment
    finally:
        await trio.to_thread.run_sync(shared.stop)
