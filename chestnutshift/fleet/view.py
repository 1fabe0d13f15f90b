"""What a VM knows of its peers from the list and from their beats."""

import math
from collections import Counter
from collections.abc import Iterator, Mapping, Sequence

import attrs

from chestnutshift.fleet.beats import Beat, MemberPhase
from chestnutshift.fleet.members import Member

# A listed VM that nobody heard for this long has no claim to a share.
CLAIM_EXPIRY_S = 30.0
# Beats of one VM, to all peers together, take no more of its time than this
# many a second; a small fleet beats faster than it would need to.
HEARTBEAT_RATE_MAX = 65.0
HEARTBEAT_INTERVAL_MIN_S = 0.25
MISSED_HEARTBEATS_MAX = 3
SILENCE_MIN_S = 1.25


@attrs.define(eq=False)
class Peer:
    """One other VM; times are seconds of this VM's boot clock.

    proven_at is a time since which the store vouched for the peer's route
    table, by a beat that answered one of ours.
    """

    member: Member
    listed_at: float
    beat: Beat | None = None
    heard_at: float = -math.inf
    proven_at: float = -math.inf


class FleetView:
    """All VMs but this one."""

    def __init__(self, vm: str) -> None:
        """Start without a peer, for the named VM."""
        self._vm = vm
        self._peers: dict[str, Peer] = {}

    def __iter__(self) -> Iterator[Peer]:
        """Iterate over the peers."""
        return iter(tuple(self._peers.values()))

    @property
    def names(self) -> Sequence[str]:
        """Every listed VM, this one included, in alphabetical order."""
        return sorted([self._vm, *self._peers])

    @property
    def beat_s(self) -> float:
        """Seconds between two beats to a peer, by the size of the fleet."""
        return max(
            HEARTBEAT_INTERVAL_MIN_S, len(self._peers) / HEARTBEAT_RATE_MAX
        )

    @property
    def silence_s(self) -> float:
        """Seconds of silence after which a peer does not count."""
        return max(SILENCE_MIN_S, MISSED_HEARTBEATS_MAX * self.beat_s)

    def find(self, vm: str) -> Peer | None:
        """Return the peer of that name."""
        return self._peers.get(vm)

    def enlist(self, member: Member, now: float) -> None:
        """Take a VM from the list; a new incarnation starts afresh."""
        if member.vm == self._vm:
            return
        known = self._peers.get(member.vm)
        if known is None or known.member.incarnation != member.incarnation:
            self._peers[member.vm] = Peer(member, now)

    def forget(self, vm: str) -> None:
        """Take that a VM is no longer listed."""
        self._peers.pop(vm, None)

    def hear(self, beat: Beat, now: float) -> bool:
        """Take a beat; tell whether it is news of a listed VM."""
        peer = self._peers.get(beat.vm)
        if peer is None:
            return False
        known = peer.beat
        if known is not None and _sequence(beat) <= _sequence(known):
            return False
        peer.beat = beat
        peer.heard_at = now
        if beat.echoed_at is not None and beat.proof_age_s is not None:
            # The peer sent this after it heard what we sent at echoed_at.
            proven_at = beat.echoed_at - beat.proof_age_s
            peer.proven_at = max(peer.proven_at, proven_at)
        return True

    def is_heard(self, peer: Peer, now: float) -> bool:
        """Tell whether the peer spoke lately."""
        return now - peer.heard_at <= self.silence_s

    def heard(self, now: float) -> list[Peer]:
        """Return the peers that spoke lately."""
        return [peer for peer in self if self.is_heard(peer, now)]

    def beats(self, now: float) -> list[Beat]:
        """Return the last beats of the peers that spoke lately."""
        return [peer.beat for peer in self.heard(now) if peer.beat is not None]

    def serving(self, now: float) -> list[Peer]:
        """Return the peers that take callers."""
        return [
            peer
            for peer in self.heard(now)
            if peer.beat and peer.beat.phase is MemberPhase.SERVING
        ]

    def claimants(self, now: float) -> int:
        """Return how many VMs may hold a share, this one included."""
        return 1 + sum(
            now - max(peer.heard_at, peer.listed_at) <= CLAIM_EXPIRY_S
            for peer in self
        )

    def in_flight(self, now: float) -> Mapping[int, int]:
        """Return the peers' requests by hash of the upstream's id."""
        counts: Counter[int] = Counter()
        for beat in self.beats(now):
            counts.update(beat.in_flight)
        return counts

    def proof(self, version: int) -> float:
        """Return since when peers vouch that a table is the newest."""
        return max(
            (
                peer.proven_at
                for peer in self
                if peer.beat and peer.beat.table_version == version
            ),
            default=-math.inf,
        )


def _sequence(beat: Beat) -> tuple[int, int]:
    return beat.incarnation, beat.number
