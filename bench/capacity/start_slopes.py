"""The start of a VM from nothing: time and memory."""

import importlib
import pathlib
import subprocess  # noqa: S404
import sys
import tempfile
import time

from bench.capacity.fits import Point
from bench.capacity.lookup_slopes import BLOCK_COUNTS, dumped_table
from bench.capacity.slopes import SECONDS, slope

# The process module pulls in everything that a VM runs.
PROCESS = 'chestnutshift.vms.process'
FALLBACK = 'chestnutshift.lookup.directory'
STARTS = 3
RESIDENT = """
import importlib, sys
importlib.import_module(sys.argv[1])
from bench.capacity.probes import resident_bytes
print(resident_bytes())
"""
PROGRAM = """
import importlib, pathlib, sys
from chestnutshift.lookup.table import load_table
importlib.import_module(sys.argv[1])
load_table(pathlib.Path(sys.argv[2]).read_bytes()).locate('10.0.0.1')
"""


def _start_once(module: str, path: str) -> float:
    started = time.perf_counter()
    subprocess.run(  # noqa: S603
        [sys.executable, '-c', PROGRAM, module, path],
        check=True,
    )
    return time.perf_counter() - started


def started_module() -> str:
    """Return the module that a start imports: all of a VM if it is there."""
    try:
        importlib.import_module(PROCESS)
    except ImportError:
        return FALLBACK
    return PROCESS


def measure_base_memory() -> int:
    """Return the resident bytes of a process that has imported a VM."""
    finished = subprocess.run(  # noqa: S603
        [sys.executable, '-c', RESIDENT, started_module()],
        check=True,
        capture_output=True,
    )
    return int(finished.stdout)


@slope('start', 'start from nothing, table in memory', 'client block', SECONDS)
def measure_start() -> list[Point]:
    """Start an interpreter, import the program, load and ask a table."""
    points = []
    with tempfile.TemporaryDirectory() as directory:
        path = pathlib.Path(directory) / 'table'
        for count in BLOCK_COUNTS:
            path.write_bytes(dumped_table(count))
            spent = [
                _start_once(started_module(), str(path)) for _ in range(STARTS)
            ]
            points.append(Point(count, min(spent)))
    return points
