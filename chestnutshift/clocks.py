"""The clocks that decisions read."""

import time


def boot_time() -> float:
    """Return seconds of a steady clock that also counts suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
