"""How far a VM may trust the keys it knows.

Every time is the VM's own `now` at the START of the exchange that gave the
knowledge, so that a slow answer or a paused VM makes knowledge look older
than it is, never younger.
"""

import enum
import math

import attrs


class Freshness(enum.Enum):
    """What a VM knows about withdrawals that others may have accepted."""

    FRESH = 'fresh'
    SHARED_OUTAGE = 'shared-outage'
    UNCERTAIN = 'uncertain'

    @property
    def is_trusted(self) -> bool:
        """Whether keyed requests may run."""
        return self is not Freshness.UNCERTAIN


@attrs.frozen
class PeerView:
    """What one known VM last answered.

    `asked_at` is when the answered question was sent, None before the first
    answer. `age_s` is how old the peer's own confirmation by the platform
    was when it answered, None if it never had one. `is_held` says that this
    VM holds at least the configuration and withdrawals that the peer had.
    `is_gone` says that the VM runs no longer and has passed on everything:
    it said so when it stopped, or an operator did. Silence is no proof.
    """

    asked_at: float | None = None
    age_s: float | None = None
    is_held: bool = True
    is_gone: bool = False


@attrs.frozen
class KnowledgeView:
    """What a VM knows of the platform and of the other VMs.

    `is_complete` says that no withdrawal which waits to be written down can
    be missing here.
    """

    trust_s: float
    confirmed_at: float | None = None
    peers: tuple[PeerView, ...] = ()
    is_complete: bool = True


def confirmed_at(view: KnowledgeView) -> float:
    """Return when the platform last confirmed the keys, in seconds.

    Minus infinity if it never did.
    """
    times = [
        peer.asked_at - peer.age_s
        for peer in view.peers
        if peer.asked_at is not None and peer.age_s is not None and peer.is_held
    ]
    if view.confirmed_at is not None:
        times.append(view.confirmed_at)
    return max(times, default=-math.inf)


def assess(view: KnowledgeView, now: float) -> Freshness:
    """Tell how far the keys may be trusted at the time `now`, in seconds."""
    if not view.is_complete:
        return Freshness.UNCERTAIN
    if now - confirmed_at(view) <= view.trust_s:
        return Freshness.FRESH
    if now - _oldest_answer_at(view) <= view.trust_s:
        return Freshness.SHARED_OUTAGE
    return Freshness.UNCERTAIN


def trusted_until(view: KnowledgeView) -> float:
    """Return the time at which `assess` turns to UNCERTAIN."""
    if not view.is_complete:
        return -math.inf
    return view.trust_s + max(confirmed_at(view), _oldest_answer_at(view))


def _oldest_answer_at(view: KnowledgeView) -> float:
    """Return since when some VM has been silent.

    A VM that is ahead of this one counts as silent until this one has
    caught up with it.
    """
    times = (
        -math.inf if peer.asked_at is None else peer.asked_at
        for peer in view.peers
        if not peer.is_gone
    )
    if not all(peer.is_held or peer.is_gone for peer in view.peers):
        return -math.inf
    return min(times, default=math.inf)
