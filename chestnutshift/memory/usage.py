"""The memory that this process uses."""

import os
import pathlib

STATM = pathlib.Path('/proc/self/statm')
_PAGE_B = os.sysconf('SC_PAGE_SIZE')


def read_resident_b() -> int | None:
    """Return the resident bytes of this process, None if they are unknown."""
    try:
        fields = STATM.read_bytes().split()
        return int(fields[1]) * _PAGE_B
    except (OSError, ValueError, IndexError):
        return None
