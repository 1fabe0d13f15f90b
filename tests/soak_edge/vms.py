"""Edge VMs of the soak, each in its own process."""

import os
import pathlib
import signal
import subprocess
import sys

import attrs
import trio

SETTINGS = """
[self]
node = "{name}"
ip = "{address}"
zone = "{zone}"
region = "{region}"
[self.limits]
max_fds = 1000
[network]
internal_ports = [7740, 7755]
[network.listen]
front = "{address}:8686"
ready = "{address}:8680"
directory = "{address}:8684"
[network.zones]
a1 = "a"
b1 = "b"
[platform]
beat = "1500ms"
[platform.platform]
addr = "127.0.0.1:{store_port}"
[terms.bounds]
config = "3000ms"
revoke = "5000ms"
strict_revoke = true
grace = "4s"
contact = "4000ms"
drain = "3000ms"
"""
ZONE_REGIONS = (('a1', 'a'), ('b1', 'b'))
# Addresses derive from the process id, so concurrent soaks use different ones.
OCTET_RANGE = 250
FAULT_NAME = '"edge.fault"'
ROOT = pathlib.Path(__file__).parents[2]


@attrs.define
class SoakVm:
    """One VM process, which reaches the store through its own link."""

    name: str
    address: str
    zone: str
    settings: pathlib.Path
    log: pathlib.Path
    is_stopping: bool = False
    # Exit codes of processes that ended by themselves.
    own_ends: list[int] = attrs.field(factory=list)
    _process: subprocess.Popen | None = None

    @property
    def callers_url(self) -> str:
        """The base URL for callers."""
        return f'http://{self.address}:8686'

    @property
    def is_running(self) -> bool:
        """Whether its process exists, suspended or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start the process unless it is running."""
        if self.is_running:
            return
        self._record_own_end()
        environment = os.environ | {
            'CHESTNUTSHIFT_SETTINGS': str(self.settings),
        }
        with self.log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'chestnutshift.platform'],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=subprocess.STDOUT,
            )
        self.is_stopping = False

    def send_signal(self, sent_signal: signal.Signals) -> None:
        """Send the process a signal, if it is running."""
        if not self.is_running:
            return
        self._process.send_signal(sent_signal)
        if sent_signal == signal.SIGTERM:
            self.is_stopping = True

    async def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self._process is None:
            return
        self._record_own_end()
        self._process.kill()
        with trio.CancelScope(shield=True):
            await trio.to_thread.run_sync(self._process.wait)

    def faults(self) -> list[str]:
        """Return the faults of the program in the log, one line each."""
        text = self.log.read_text(encoding='utf-8', errors='replace')
        return [line for line in text.splitlines() if FAULT_NAME in line]

    def _record_own_end(self) -> None:
        """Record that the process has ended, if nobody stopped or killed it."""
        if self._process is None or self.is_stopping:
            return
        code = self._process.poll()
        if code is not None and code != -signal.SIGKILL:
            self.own_ends.append(code)


def make_vm(number: int, store_port: int, folder: pathlib.Path) -> SoakVm:
    """Write a VM's settings, and return the VM without starting it."""
    zone, region = ZONE_REGIONS[number % len(ZONE_REGIONS)]
    upper, lower = divmod(os.getpid(), OCTET_RANGE)
    name = f'vm-{number}'
    address = f'127.{1 + upper % OCTET_RANGE}.{lower}.{number + 1}'
    settings = folder / f'{name}.toml'
    settings.write_text(
        SETTINGS.format(
            name=name,
            address=address,
            zone=zone,
            region=region,
            store_port=store_port,
        ),
    )
    return SoakVm(name, address, zone, settings, folder / f'{name}.log')
