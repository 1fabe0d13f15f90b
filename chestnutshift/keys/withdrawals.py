"""The digests of withdrawn keys, a grow-only set.

VMs merge their sets in every exchange, in any order and any number of times,
so that a withdrawal reaches all VMs while the platform is unreachable.
Withdrawals that the platform doesn't have yet are tracked until it does.
"""

from collections.abc import Iterable

import attrs

# The fingerprint fits a signed 64-bit integer on the wire.
_FINGERPRINT_HEX_DIGITS = 15
_HEXADECIMAL_BASE = 16


@attrs.define
class Withdrawals:
    """Withdrawn digests known to a VM, and those not yet on the platform."""

    _digests: set[str] = attrs.field(factory=set)
    _unwritten: set[str] = attrs.field(factory=set)
    _fingerprint: int = 0

    @property
    def digests(self) -> frozenset[str]:
        """Every digest known to be withdrawn."""
        return frozenset(self._digests)

    @property
    def unwritten(self) -> frozenset[str]:
        """Withdrawn digests that no configuration received so far contains."""
        return frozenset(self._unwritten)

    @property
    def fingerprint(self) -> int:
        """A number that is equal on VMs that have the same set.

        A count is not enough: two VMs may each have one that the other lacks.
        """
        return self._fingerprint

    def __contains__(self, digest: str) -> bool:
        """Return whether the digest is withdrawn."""
        return digest in self._digests

    def add(self, digests: Iterable[str]) -> frozenset[str]:
        """Merge withdrawals from an operator or a peer; return the new ones."""
        added = self._merge(digests)
        self._unwritten |= added
        return added

    def confirm(self, digests: Iterable[str]) -> frozenset[str]:
        """Merge withdrawals that the platform has; return the new ones."""
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
