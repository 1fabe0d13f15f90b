"""Ways to measure time and memory in this process."""

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
    """Return the least processor time, in seconds, of several runs."""
    durations_s = []
    for _ in range(repeats):
        gc.collect()
        started = time.process_time()
        work()
        durations_s.append(time.process_time() - started)
    return min(durations_s)


def allocated_bytes(make: Callable[[], object]) -> int:
    """Return the bytes that stay allocated while what is made is kept."""
    # The first run fills caches that are no part of what is made.
    make()
    gc.collect()
    tracemalloc.start()
    made = make()
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del made
    return size


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    fields = pathlib.Path('/proc/self/statm').read_text().split()
    return int(fields[1]) * PAGE_B


def peak_resident_bytes() -> int:
    """Return the largest resident memory that this process has had."""
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIB
