"""VM processes that tests start, with the limits and files that they choose."""

import os
import pathlib
import resource
import signal
import subprocess
import sys
from collections.abc import Callable, Mapping
from typing import BinaryIO

import attrs
import trio

ROOT = pathlib.Path(__file__).parents[2]
SETTINGS = """
[self]
node = "{name}"
ip = "{address}"
zone = "{zone}"
region = "{region}"
[self.limits]
memory_mb = {memory_mb}
max_fds = {descriptors}
link_mbps = 1000.0
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
revoke = "{withdrawal_s}s"
strict_revoke = true
grace = "{grace_s}s"
contact = "4000ms"
drain = "3000ms"
"""
ZONE_REGIONS = (('a1', 'a'), ('b1', 'b'))
# Addresses derive from the process id, so concurrent tests use different ones.
OCTET_RANGE = 250
STATUS_UNIT_B = 1024
EXIT_POLL_S = 0.02


@attrs.frozen
class Launch:
    """How the process of a VM is started.

    program is the folder of the checkout that runs, grace_s and withdrawal_s
    bounds of its settings. descriptors_max and
    memory_max_b are limits of the kernel (RLIMIT_NOFILE and RLIMIT_AS), None
    for those of this process; descriptors_soft is the soft limit of the
    former, if it is lower. closed are descriptors that are closed at the
    start, such as 1 for standard output; environment overrides variables.
    prepare runs in the new process before its program.
    """

    program: pathlib.Path = ROOT
    grace_s: int = 4
    withdrawal_s: int = 5
    memory_mb: int = 300
    descriptors: int = 4100
    descriptors_max: int | None = None
    descriptors_soft: int | None = None
    memory_max_b: int | None = None
    closed: tuple[int, ...] = ()
    environment: Mapping[str, str] = attrs.field(factory=dict)
    prepare: Callable[[], None] | None = None


@attrs.define
class VmProcess:
    """One VM, in a process that is started, signalled and killed."""

    name: str
    address: str
    zone: str
    settings: pathlib.Path
    log: pathlib.Path
    launch: Launch
    _process: subprocess.Popen | None = None

    @property
    def callers_url(self) -> str:
        """The base URL for callers."""
        return f'http://{self.address}:8686'

    @property
    def metrics_url(self) -> str:
        """The URL of the metrics."""
        return f'http://{self.address}:7741/metrics'

    @property
    def process_id(self) -> int:
        """The id of the process."""
        return self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code of the process, None while it runs."""
        return self._process.poll()

    @property
    def is_running(self) -> bool:
        """Whether the process exists, suspended or not."""
        return self._process is not None and self._process.poll() is None

    @property
    def resident_b(self) -> int:
        """Bytes of memory that are resident now."""
        return self._status_b('VmRSS')

    @property
    def resident_peak_b(self) -> int:
        """Most bytes of memory that were resident at a time."""
        return self._status_b('VmHWM')

    @property
    def survives_reload(self) -> bool:
        """Whether the process has come so far that it ignores or has SIGHUP.

        Before its first line the interpreter loads, and SIGHUP ends it.
        """
        handled = int(_read_status(self.process_id, 'SigIgn'), 16)
        handled |= int(_read_status(self.process_id, 'SigCgt'), 16)
        return bool(handled & 1 << (signal.SIGHUP - 1))

    @property
    def log_text(self) -> str:
        """What the process wrote to standard output and error."""
        return self.log.read_text(encoding='utf-8', errors='replace')

    def start(self) -> None:
        """Start the process."""
        environment = {
            **os.environ,
            'CHESTNUTSHIFT_SETTINGS': str(self.settings),
            **self.launch.environment,
        }
        with self.log.open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'chestnutshift.platform'],
                cwd=self.launch.program,
                env=environment,
                stdout=self._standard_output(log),
                stderr=log,
                preexec_fn=self._prepare,  # noqa: PLW1509
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send the process a signal."""
        self._process.send_signal(number)

    async def wait(self, timeout_s: float) -> int:
        """Return the exit code; raises trio.TooSlowError."""
        with trio.fail_after(timeout_s):
            while self._process.poll() is None:
                await trio.sleep(EXIT_POLL_S)
        return self._process.returncode

    def kill(self) -> None:
        """Kill the process, if it runs, and wait until it has exited."""
        if self._process is None:
            return
        self._process.kill()
        self._process.wait()

    def _standard_output(self, log: BinaryIO) -> BinaryIO | int:
        """Return the file or descriptor of the process's standard output."""
        return log

    def _prepare(self) -> None:
        """Set limits and close descriptors, in the new process."""
        launch = self.launch
        limits = {
            resource.RLIMIT_NOFILE: launch.descriptors_max,
            resource.RLIMIT_AS: launch.memory_max_b,
        }
        for limit, maximum in limits.items():
            if maximum is not None:
                resource.setrlimit(limit, (maximum, maximum))
        if launch.descriptors_soft is not None:
            hard = resource.getrlimit(resource.RLIMIT_NOFILE)[1]
            resource.setrlimit(
                resource.RLIMIT_NOFILE, (launch.descriptors_soft, hard)
            )
        for descriptor in launch.closed:
            os.close(descriptor)
        if launch.prepare is not None:
            launch.prepare()

    def _status_b(self, name: str) -> int:
        return (
            int(_read_status(self.process_id, name).split()[0]) * STATUS_UNIT_B
        )


def _read_status(process_id: int, name: str) -> str:
    status = pathlib.Path(f'/proc/{process_id}/status').read_text()
    for line in status.splitlines():
        if line.startswith(f'{name}:'):
            return line.split(maxsplit=1)[1]
    raise LookupError(name)


def make_vm(
    number: int,
    store_port: int,
    folder: pathlib.Path,
    launch: Launch,
    kind: type[VmProcess] = VmProcess,
) -> VmProcess:
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
            memory_mb=launch.memory_mb,
            descriptors=launch.descriptors,
            grace_s=launch.grace_s,
            withdrawal_s=launch.withdrawal_s,
        )
    )
    return kind(name, address, zone, settings, folder / f'{name}.log', launch)
