"""Freshness of the keys that a VM knows, which decides if it trusts them.

Each time here is when this VM, by its own clock, started the exchange that
gave the knowledge. A slow answer or a paused VM thus makes knowledge look
older than it is, never newer.
"""

import enum
import math

import attrs


class Freshness(enum.Enum):
    """Whether a VM can have missed a withdrawal that others accepted.

    FRESH: the platform has confirmed the keys in the last trust_s seconds.
    SHARED_OUTAGE: it has not, but every VM has answered in that time.
    UNCERTAIN: keys must not be trusted.
    """

    FRESH = 'fresh'
    SHARED_OUTAGE = 'shared-outage'
    UNCERTAIN = 'uncertain'

    @property
    def is_trusted(self) -> bool:
        """Whether requests with a key may run."""
        return self is not Freshness.UNCERTAIN


@attrs.frozen
class PeerView:
    """The last answer of a peer about its keys.

    `requested_at` is when this VM sent the request for it, None before the
    first answer. `age_s` is the age of the platform's last confirmation at the
    peer when it answered, None if it never had one. `is_caught_up` means that
    this VM has at least the configuration and withdrawals that the peer had.
    `is_gone` means that the peer has stopped and passed on all it knew, as
    it reported when it stopped or as an operator declared. A silent peer is
    not taken to be gone.
    """

    requested_at: float | None = None
    age_s: float | None = None
    is_caught_up: bool = True
    is_gone: bool = False


@attrs.frozen
class KnowledgeView:
    """The answers of the platform and the peers that a VM has.

    `trust_s` is how long an answer may be trusted. `is_complete` means that
    this VM can't lack a withdrawal that is not yet written to the platform.
    """

    trust_s: float
    confirmed_at: float | None = None
    peers: tuple[PeerView, ...] = ()
    is_complete: bool = True


def confirmed_at(view: KnowledgeView) -> float:
    """Return when the platform last confirmed the keys, in seconds.

    A peer may have relayed the confirmation. Minus infinity if there is none.
    """
    times = [
        peer.requested_at - peer.age_s
        for peer in view.peers
        if peer.requested_at is not None
        and peer.age_s is not None
        and peer.is_caught_up
    ]
    if view.confirmed_at is not None:
        times.append(view.confirmed_at)
    return max(times, default=-math.inf)


def assess(view: KnowledgeView, now: float) -> Freshness:
    """Return the freshness of the keys at the time `now`, in seconds."""
    if not view.is_complete:
        return Freshness.UNCERTAIN
    if now - confirmed_at(view) <= view.trust_s:
        return Freshness.FRESH
    if now - _oldest_answer_at(view) <= view.trust_s:
        return Freshness.SHARED_OUTAGE
    return Freshness.UNCERTAIN


def trusted_until(view: KnowledgeView) -> float:
    """Return the time after which `assess` returns UNCERTAIN."""
    if not view.is_complete:
        return -math.inf
    return view.trust_s + max(confirmed_at(view), _oldest_answer_at(view))


def _oldest_answer_at(view: KnowledgeView) -> float:
    """Return the time of the oldest of the peers' last answers.

    Peers that are gone don't count. A peer that has newer configuration or
    withdrawals counts as silent until this VM has caught up with it.
    """
    times = (
        -math.inf if peer.requested_at is None else peer.requested_at
        for peer in view.peers
        if not peer.is_gone
    )
    if not all(peer.is_caught_up or peer.is_gone for peer in view.peers):
        return -math.inf
    return min(times, default=math.inf)
