"""Measurements of time and memory in this process."""

import gc
import pathlib
import resource
import time
import tracemalloc
from collections.abc import Callable

REPEATS = 5
PAGE_B = resource.getpagesize()
KIB = 1024


def cpu_seconds(work: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the least processor time of several runs, in seconds."""
    durations_s = []
    for _ in range(repeats):
        gc.collect()
        started = time.process_time()
        work()
        durations_s.append(time.process_time() - started)
    return min(durations_s)


def allocated_bytes(make: Callable[[], object]) -> int:
    """Return the bytes that stay allocated while the result is kept."""
    # The first run fills caches that are not part of the result.
    make()
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def resident_bytes() -> int:
    """Return the resident memory of this process in bytes."""
    fields = pathlib.Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * PAGE_B


def peak_resident_bytes() -> int:
    """Return the peak resident memory of this process in bytes."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
