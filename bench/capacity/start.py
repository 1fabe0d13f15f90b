"""Time and memory of the cold start of a VM."""

import importlib
import subprocess  # noqa: S404
import sys
import tempfile
import time

# The process module imports everything that a VM runs.
PROCESS_MODULE = 'chestnutshift.vms.process'
FALLBACK_MODULE = 'chestnutshift.lookup.directory'
STARTS = 3
RESIDENT_PROGRAM = """
import importlib, sys
importlib.import_module(sys.argv[1])
from bench.capacity.probes import resident_bytes
print(resident_bytes())
"""
START_PROGRAM = """
import importlib, pathlib, sys
from chestnutshift.lookup.table import load_table
importlib.import_module(sys.argv[1])
load_table(pathlib.Path(sys.argv[2]).read_bytes()).locate('10.0.0.1')
"""


def vm_module() -> str:
    """Return the VM's process module, or a smaller one if it is missing."""
    try:
        importlib.import_module(PROCESS_MODULE)
    except ImportError:
        return FALLBACK_MODULE
    return PROCESS_MODULE


def measure_base_memory() -> int:
    """Return a process's resident bytes after importing the VM's modules."""
    finished = subprocess.run(  # noqa: S603
        [sys.executable, '-c', RESIDENT_PROGRAM, vm_module()],
        check=True,
        capture_output=True,
    )
    return int(finished.stdout)


def measure_start(packed: bytes) -> float:
    """Return the least wall time of several cold starts, in seconds.

    In each, a new interpreter imports the VM's modules, loads the serialized
    table and looks up an address.
    """
    with tempfile.NamedTemporaryFile() as table:
        table.write(packed)
        table.flush()
        command = [sys.executable, '-c', START_PROGRAM, vm_module(), table.name]
        return min(_run(command) for _ in range(STARTS))


def _run(command: list[str]) -> float:
    started = time.perf_counter()
    subprocess.run(command, check=True)  # noqa: S603
    return time.perf_counter() - started
