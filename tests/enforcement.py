"""Enforcement of invariants in tests."""

import contextlib
from collections.abc import Iterator

from chestnutshift.invariants.registry import ENFORCEMENT


@contextlib.contextmanager
def enforced() -> Iterator[None]:
    """Within the block, raise InvariantViolationError for violations."""
    before = ENFORCEMENT.raises
    ENFORCEMENT.raises = True
    try:
        yield
    finally:
        ENFORCEMENT.raises = before
