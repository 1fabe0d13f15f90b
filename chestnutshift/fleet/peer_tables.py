"""The newest route table that peers name in their heartbeats."""

import math
from collections.abc import Iterable

import attrs


@attrs.define
class PeerTables:
    """The newest version that any peer names, and how long this VM lacks it.

    A version counts until no peer has named it for hold_s seconds: a peer that
    falls silent may still be the only one to know it.
    """

    newest: int = 0
    _named_at: float = -math.inf
    # When a version first was newer than this VM's.
    _behind_since: float = math.inf

    def record(self, version: int, own_version: int, now: float) -> None:
        """Record the version that a peer's heartbeat names."""
        if version < self.newest:
            return
        was_behind = own_version < self.newest
        if version > own_version and not was_behind:
            self._behind_since = now
        self.newest = version
        self._named_at = now

    def expire(
        self, versions: Iterable[int], hold_s: float, now: float
    ) -> None:
        """Go by versions, those of the live peers, once the newest expired."""
        if now - self._named_at > hold_s:
            self.newest = max(versions, default=0)

    def behind_s(self, own_version: int, now: float) -> float:
        """Return for how long a newer version has been known, 0 for none."""
        return 0 if own_version >= self.newest else now - self._behind_since
