"""Clocks for durations, expiry times and starts."""

import time


def boot_time() -> float:
    """Return the time since boot in seconds, including suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def make_incarnation() -> int:
    """Return the time of day in milliseconds, to tell starts of a VM apart."""
    return time.time_ns() // 1_000_000
