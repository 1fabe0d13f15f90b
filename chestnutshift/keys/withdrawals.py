"""The digests of withdrawn keys: a set that only grows.

VMs merge their sets whenever they talk, in any order and any number of
times, so a withdrawal floods while the platform is out of reach. What the
platform has not confirmed yet is kept apart until it is written down.
"""

from collections.abc import Iterable

import attrs


@attrs.define
class Withdrawals:
    """Withdrawn digests of one VM, and those still to be written down."""

    _digests: set[str] = attrs.field(factory=set)
    _unwritten: set[str] = attrs.field(factory=set)

    @property
    def digests(self) -> frozenset[str]:
        """Every digest known to be withdrawn."""
        return frozenset(self._digests)

    @property
    def unwritten(self) -> frozenset[str]:
        """Withdrawals that no configuration seen so far contains."""
        return frozenset(self._unwritten)

    def __contains__(self, digest: str) -> bool:
        """Tell whether the digest is withdrawn."""
        return digest in self._digests

    def add(self, digests: Iterable[str]) -> frozenset[str]:
        """Merge withdrawals from an operator or a peer; return the new."""
        fresh = frozenset(digests) - self._digests
        self._digests |= fresh
        self._unwritten |= fresh
        return fresh

    def confirm(self, digests: Iterable[str]) -> frozenset[str]:
        """Merge withdrawals that the platform holds; return the new."""
        written = frozenset(digests)
        fresh = written - self._digests
        self._digests |= written
        self._unwritten -= written
        return fresh
