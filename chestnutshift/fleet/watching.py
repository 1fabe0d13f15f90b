"""How long a VM leaves a question to the store open.

Each answer proves that the VM knows the newest routes, and peers pass on such
proofs. In a large fleet a few VMs therefore ask often, and the others leave
their questions open for long. A VM that misses proofs, or hears of changes
that it does not know, asks again at once.
"""

import math
from collections.abc import Collection

import attrs

from chestnutshift.rendezvous import score

# An answer at least this often bounds the age of proofs, and how late a dead
# path to the store is noticed.
WAIT_S = 2.4
WAIT_LONG_S = 25.0
# After a change, so that those that follow come in one answer.
SETTLE_S = 0.4
SETTLE_LONG_S = 1.0
# VMs that ask often; in a fleet of less than twice as many all do.
WATCHER_COUNT = 12
WATCHERS_KEY = b'store'
# Of the time for which a proof is good.
PROOF_DUE_RATIO = 0.68
# Peers hear of a change at about the same time.
CATCH_UP_DELAY_S = 0.5
# Questions that are hurried follow each other no sooner.
CATCH_UP_INTERVAL_MIN_S = 1.0


@attrs.frozen
class Pace:
    """Seconds for which a question is left open, and a change settles."""

    wait_s: float
    settle_s: float


def is_small(heard: Collection[str]) -> bool:
    """Tell whether all VMs ask often, by the peers that one hears."""
    return len(heard) < 2 * WATCHER_COUNT


def is_watcher(vm: str, heard: Collection[str]) -> bool:
    """Tell whether the VM asks often, beside the peers that it hears."""
    if is_small(heard):
        return True
    own = score(WATCHERS_KEY, vm)
    higher = sum(score(WATCHERS_KEY, peer) > own for peer in heard)
    return higher < WATCHER_COUNT


def is_proof_due(age_s: float, bound_s: float) -> bool:
    """Tell whether a proof is so old that the store must be asked."""
    return age_s > bound_s * PROOF_DUE_RATIO


@attrs.define
class News:
    """What peers know of a table beside what this VM knows, by versions.

    changed_at is the newest change that this VM knows; it knows every change
    up to known_until.
    """

    changed_at: int = 0
    _known_until: int = 0
    _behind_since: float = math.inf
    _polled_at: float = -math.inf

    def learn(self, changed_at: int, known_until: int) -> None:
        """Take an answer of the store."""
        self.changed_at = max(self.changed_at, changed_at)
        self._known_until = max(self._known_until, known_until)
        self._behind_since = math.inf

    def hear(self, changed_at: int, now: float) -> None:
        """Take the newest change that any peer knows."""
        if changed_at <= self._known_until:
            self._behind_since = math.inf
            return
        self._behind_since = min(self._behind_since, now)

    def is_due(self, now: float, *, is_proof_due: bool = False) -> bool:
        """Tell whether the store must be asked now; count it if so."""
        is_behind = now - self._behind_since > CATCH_UP_DELAY_S
        if not is_behind and not is_proof_due:
            return False
        if now - self._polled_at < CATCH_UP_INTERVAL_MIN_S:
            return False
        self._polled_at = now
        return True
