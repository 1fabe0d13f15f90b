"""Broken invariants raise while a test runs."""

import contextlib
from collections.abc import Iterator

from chestnutshift.invariants.registry import ENFORCEMENT


@contextlib.contextmanager
def enforced() -> Iterator[None]:
    """Raise InvariantViolationError within the block."""
    before = ENFORCEMENT.raises
    ENFORCEMENT.raises = True
    try:
        yield
    finally:
        ENFORCEMENT.raises = before
