"""Intervals of the long polls by which a VM follows the store.

Each answer proves that the VM knows the newest routes, and heartbeats pass
such proofs on to peers. In a large fleet therefore only a few VMs, the
watchers, use short polls, and the others long ones. A VM whose proof gets
old, or whose peers know changes that it does not, polls again at once.
"""

import math
from collections.abc import Collection

import attrs

from chestnutshift.rendezvous import score

# Timeout of a long poll. The short one bounds the age of proofs and the time
# until a dead connection to the store is detected.
POLL_TIMEOUT_S = 2.4
POLL_TIMEOUT_LONG_S = 25.0
# Pause after a change, so that the following ones arrive in one answer.
SETTLE_S = 0.4
SETTLE_LONG_S = 1.0
# The same for a VM that serves no callers, as a fraction of the time within
# which a leaving upstream must get no more requests.
IDLE_SETTLE_RATIO = 0.6
# Number of watchers; with fewer than twice as many peers, every VM is one.
WATCHER_COUNT = 12
WATCHERS_KEY = b'store'
# Age of a proof, as a fraction of its validity, above which a VM polls at once.
PROOF_DUE_RATIO = 0.68
# A change normally reaches this VM at about the same time as its peers, so it
# waits this long before it polls for a change that a peer knows.
CATCH_UP_DELAY_S = 0.5
# Minimum interval between immediate polls.
CATCH_UP_INTERVAL_MIN_S = 1.0


@attrs.frozen
class PollPace:
    """The timeout of a long poll, and the pause after a change."""

    wait_s: float
    settle_s: float


def is_small_fleet(live_peers: Collection[str]) -> bool:
    """Return whether the fleet is so small that all VMs are watchers.

    live_peers are the names of the live peers.
    """
    return len(live_peers) < 2 * WATCHER_COUNT


def is_watcher(vm: str, live_peers: Collection[str]) -> bool:
    """Return whether the VM is a watcher among itself and its live peers."""
    if is_small_fleet(live_peers):
        return True
    own_score = score(WATCHERS_KEY, vm)
    higher = sum(score(WATCHERS_KEY, peer) > own_score for peer in live_peers)
    return higher < WATCHER_COUNT


def is_proof_due(age_s: float, bound_s: float) -> bool:
    """Return whether a proof is so old that the VM must poll the store."""
    return age_s > bound_s * PROOF_DUE_RATIO


@attrs.frozen(order=True)
class StorePosition:
    """A version of the store and the era in which it was given out.

    A store that returns from an older copy gives versions out again, in the
    next era.
    """

    era: int = 0
    version: int = 0


@attrs.define
class ChangeTracker:
    """A tracker of changes to a table that peers know and this VM does not.

    changed_at is the position of the newest change that this VM knows; it has
    seen all changes up to the position known_until.
    """

    changed_at: StorePosition = StorePosition()
    _known_until: StorePosition = StorePosition()
    _behind_since: float = math.inf
    _polled_at: float = -math.inf

    def record_answer(
        self, changed_at: StorePosition, known_until: StorePosition
    ) -> None:
        """Record the positions of an answer from the store."""
        self.changed_at = max(self.changed_at, changed_at)
        self._known_until = max(self._known_until, known_until)
        self._behind_since = math.inf

    def record_peers(self, changed_at: StorePosition, now: float) -> None:
        """Record the position of the newest change that any peer knows."""
        if changed_at <= self._known_until:
            self._behind_since = math.inf
            return
        self._behind_since = min(self._behind_since, now)

    def is_due(self, now: float, *, is_proof_due: bool = False) -> bool:
        """Return whether to poll the store now; if so, record the poll."""
        is_behind = now - self._behind_since > CATCH_UP_DELAY_S
        if not is_behind and not is_proof_due:
            return False
        if now - self._polled_at < CATCH_UP_INTERVAL_MIN_S:
            return False
        self._polled_at = now
        return True
