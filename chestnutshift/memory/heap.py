"""Give freed memory back to the kernel, where the C library can.

glibc raises the size from which it maps buffers one by one to the largest that
was freed. Smaller ones come from its heap, which holds what was freed until
what was allocated after it is freed too.
"""

import ctypes
from collections.abc import Callable

# Buffers from this size on are mapped, and given back as they are freed. A
# buffer for one read of a connection is smaller.
MAP_MIN_B = 131_072
# Free bytes at the end of the heap that are kept for the next buffers. glibc
# keeps 128 KB once MAP_MIN_B is set, and each read would ask for pages anew.
KEPT_FREE_B = 4_194_304
# The parameters of mallopt.
_M_TRIM_THRESHOLD = -1
_M_MMAP_THRESHOLD = -3


def _find(name: str) -> Callable[..., int] | None:
    """Return a function of the C library, None if it has none."""
    try:
        return getattr(ctypes.CDLL(None), name, None)
    except OSError:
        return None


def map_large_buffers() -> bool:
    """Let large buffers be mapped one by one; return whether that works."""
    mallopt = _find('mallopt')
    if mallopt is None:
        return False
    if mallopt(_M_MMAP_THRESHOLD, MAP_MIN_B) != 1:
        return False
    mallopt(_M_TRIM_THRESHOLD, KEPT_FREE_B)
    return True


def trim_heap() -> bool:
    """Give free pages back; return whether the C library can."""
    malloc_trim = _find('malloc_trim')
    if malloc_trim is None:
        return False
    malloc_trim(0)
    return True
