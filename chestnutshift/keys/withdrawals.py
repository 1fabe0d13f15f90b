"""The digests of withdrawn keys: a set that only grows.

VMs merge their sets whenever they talk, in any order and any number of
times, so a withdrawal floods while the platform is out of reach. What the
platform has not confirmed yet is kept apart until it is written down.
"""

from collections.abc import Iterable

import attrs

# The fingerprint fits a signed 64-bit integer on the wire.
_FINGERPRINT_HEX_DIGITS = 15
_HEXADECIMAL_BASE = 16


@attrs.define
class Withdrawals:
    """Withdrawn digests of one VM, and those still to be written down."""

    _digests: set[str] = attrs.field(factory=set)
    _unwritten: set[str] = attrs.field(factory=set)
    _fingerprint: int = 0

    @property
    def digests(self) -> frozenset[str]:
        """Every digest known to be withdrawn."""
        return frozenset(self._digests)

    @property
    def unwritten(self) -> frozenset[str]:
        """Withdrawals that no configuration seen so far contains."""
        return frozenset(self._unwritten)

    @property
    def fingerprint(self) -> int:
        """A number that two VMs share if they hold the same set.

        A count would not do: two VMs may each hold one that the other lacks.
        """
        return self._fingerprint

    def __contains__(self, digest: str) -> bool:
        """Tell whether the digest is withdrawn."""
        return digest in self._digests

    def add(self, digests: Iterable[str]) -> frozenset[str]:
        """Merge withdrawals from an operator or a peer; return the new."""
        added = self._merge(digests)
        self._unwritten |= added
        return added

    def confirm(self, digests: Iterable[str]) -> frozenset[str]:
        """Merge withdrawals that the platform holds; return the new."""
        written = frozenset(digests)
        self._unwritten -= written
        return self._merge(written)

    def _merge(self, digests: Iterable[str]) -> frozenset[str]:
        added = frozenset(digests) - self._digests
        self._digests |= added
        for digest in added:
            self._fingerprint ^= int(
                digest[:_FINGERPRINT_HEX_DIGITS], _HEXADECIMAL_BASE
            )
        return added
