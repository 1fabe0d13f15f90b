"""A deployment of real processes that scenarios act on."""

import os
import pathlib
import signal
import subprocess
import tempfile
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

import attrs
import httpx
import trio

from demo.plan import PLATFORM_PORT, UPSTREAM_PORT, make_plan
from demo.processes import Demonstration

# Test runs side by side use loopback networks of their own.
NETWORK = 1 + os.getpid() % 250
CALL_S = 20.0


@attrs.define
class World:
    """The running deployment, its clients, and the answers kept by name."""

    demonstration: Demonstration
    client: httpx.AsyncClient
    answers: dict[str, httpx.Response] = attrs.field(factory=dict)

    @property
    def keys(self) -> dict[str, str]:
        """One key for each client account."""
        return self.demonstration.plan.keys

    def vm_url(self, name: str) -> str:
        """Return where callers reach the named VM."""
        return _named(self.demonstration.plan.vms, name)['url']

    def upstream_url(self, name: str) -> str:
        """Return where the named upstream is."""
        upstream = _named(self.demonstration.plan.upstreams, name)
        return f'http://{upstream["address"]}:{UPSTREAM_PORT}'

    @property
    def platform_url(self) -> str:
        """Where the stand-in platform is."""
        address = self.demonstration.plan.platform_address
        return f'http://{address}:{PLATFORM_PORT}'

    def signal_vm(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a VM's process."""
        self.demonstration.vms[name].send_signal(number)

    async def run_operator(self, name: str, *words: str) -> tuple[int, str]:
        """Run a command at a VM; return its exit code and what it printed."""
        finished = await trio.run_process(
            self.demonstration.operator(name, *words),
            capture_stdout=True,
            stderr=subprocess.STDOUT,
            check=False,
        )
        return finished.returncode, finished.stdout.decode()


def _named(records: list[dict[str, Any]], name: str) -> dict[str, Any]:
    return next(record for record in records if record['name'] == name)


@asynccontextmanager
async def running(deployment: str) -> AsyncIterator[World]:
    """Run a deployment for the block, and end all its processes after."""
    with tempfile.TemporaryDirectory() as directory:
        plan = make_plan(
            deployment,
            pathlib.Path(directory) / 'demo',
            network=NETWORK,
        )
        demonstration = Demonstration(plan)
        try:
            await demonstration.start()
            async with httpx.AsyncClient(
                verify=False,
                trust_env=False,
                timeout=CALL_S,
            ) as client:
                yield World(demonstration, client)
        finally:
            demonstration.stop()
