"""Clock for durations and expiry times."""

import time


def boot_time() -> float:
    """Return the time since boot in seconds, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
