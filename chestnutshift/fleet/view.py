"""View of the fleet from one VM: listed peers and their heartbeats."""

import math
from collections.abc import Collection, Iterator, Sequence

import attrs

from chestnutshift.fleet.heartbeats import (
    Heartbeat,
    MemberPhase,
    hash_name,
)
from chestnutshift.fleet.members import Member
from chestnutshift.links.handshake import new_nonce

# Heartbeats per second that one VM sends to all its peers together, which
# bounds the time spent on them in a large fleet. In a small one the interval
# is shorter than failure detection needs, down to the minimum.
HEARTBEAT_RATE_MAX = 65.0
HEARTBEAT_INTERVAL_MIN_S = 0.25
MISSED_HEARTBEATS_MAX = 3
SILENCE_MIN_S = 1.25


@attrs.define(eq=False)
class Peer:
    """Another VM; times are seconds of this VM's boot clock.

    proven_at is the time of the newest proof of the peer's route table, from
    a heartbeat that echoed one of this VM's. unlisted_at is the time at which
    the store was found to lack the peer's row, None while it is listed.
    has_restarted tells that an earlier run of it was listed before, so that it
    knows nothing of the time before listed_at.
    """

    member: Member
    listed_at: float
    heartbeat: Heartbeat | None = None
    last_heartbeat_at: float = -math.inf
    proven_at: float = -math.inf
    unlisted_at: float | None = None
    has_restarted: bool = False
    name_hash: int = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Hash the name as heartbeats do."""
        self.name_hash = hash_name(self.member.vm)


class FleetView:
    """The listed VMs except this one, by name.

    A store that returned from an older copy may lack the rows of VMs that
    run, until they register again. A live peer therefore stays in the view.
    """

    def __init__(self, vm: str) -> None:
        """Create a view of the named VM without peers."""
        self._vm = vm
        # The secret by which peers prove themselves to this incarnation.
        self.token = new_nonce()
        self._peers: dict[str, Peer] = {}
        # Whether the table of VMs has been read.
        self.is_known = False

    def __iter__(self) -> Iterator[Peer]:
        """Iterate over the peers."""
        return iter(tuple(self._peers.values()))

    @property
    def names(self) -> Sequence[str]:
        """Names of all VMs, this one included, in alphabetical order."""
        return sorted([self._vm, *self._peers])

    @property
    def heartbeat_interval_s(self) -> float:
        """Heartbeat interval in seconds, which grows with the fleet."""
        return max(
            HEARTBEAT_INTERVAL_MIN_S, len(self._peers) / HEARTBEAT_RATE_MAX
        )

    @property
    def silence_s(self) -> float:
        """Seconds without a heartbeat after which a peer is not live."""
        return max(
            SILENCE_MIN_S, MISSED_HEARTBEATS_MAX * self.heartbeat_interval_s
        )

    def find(self, vm: str) -> Peer | None:
        """Return the peer of that name, None if it is not listed."""
        return self._peers.get(vm)

    def add_member(self, member: Member, now: float) -> None:
        """Add a listed VM; a new incarnation replaces the earlier one."""
        if member.vm == self._vm:
            return
        known = self._peers.get(member.vm)
        if known is None or known.member.incarnation != member.incarnation:
            self._peers[member.vm] = Peer(
                member, now, has_restarted=known is not None
            )
            return
        known.unlisted_at = None

    def keep_only(self, vms: Collection[str], now: float) -> None:
        """Unlist all VMs but these, after a read of all rows."""
        self.is_known = True
        for vm, peer in self._peers.items():
            if vm not in vms and peer.unlisted_at is None:
                peer.unlisted_at = now

    def drop_unlisted(self, now: float) -> None:
        """Remove the unlisted VMs that are silent."""
        silent = [
            vm
            for vm, peer in self._peers.items()
            if peer.unlisted_at is not None
            and now - max(peer.unlisted_at, peer.last_heartbeat_at)
            > self.silence_s
        ]
        for vm in silent:
            self._peers.pop(vm)

    def remove_member(self, vm: str) -> None:
        """Remove a VM that is no longer listed."""
        self._peers.pop(vm, None)

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> bool:
        """Record a heartbeat; tell whether it is a listed VM's newest."""
        peer = self._peers.get(heartbeat.vm)
        if peer is None:
            return False
        known = peer.heartbeat
        if known is not None and _sequence(heartbeat) <= _sequence(known):
            return False
        peer.heartbeat = heartbeat
        peer.last_heartbeat_at = now
        proven_at = _proven_at(heartbeat, now)
        if proven_at is not None:
            peer.proven_at = max(peer.proven_at, proven_at)
        return True

    def is_waiting(self, now: float) -> bool:
        """Return whether listed peers have not had time to be heard yet."""
        if not self.is_known:
            return True
        return any(
            peer.heartbeat is None and now - peer.listed_at < self.silence_s
            for peer in self
            if not peer.has_restarted
        )

    def live_peers(self, now: float) -> list[Peer]:
        """Return the peers that are live, by their last heartbeats."""
        heard_since = now - self.silence_s
        return [peer for peer in self if peer.last_heartbeat_at >= heard_since]

    def heartbeats(self, now: float) -> list[Heartbeat]:
        """Return the last heartbeats of the live peers."""
        return [
            peer.heartbeat
            for peer in self.live_peers(now)
            if peer.heartbeat is not None
        ]

    def serving(self, now: float) -> list[Peer]:
        """Return the live peers that accept callers."""
        return [
            peer
            for peer in self.live_peers(now)
            if peer.heartbeat and peer.heartbeat.phase is MemberPhase.SERVING
        ]

    def proof(self, version: int) -> float:
        """Return the time of the peers' newest proof of a table version."""
        return max(
            (
                peer.proven_at
                for peer in self
                if peer.heartbeat and peer.heartbeat.table_version == version
            ),
            default=-math.inf,
        )


def peers_answered_at(fleet: FleetView, now: float) -> float:
    """Return when an upstream last answered any live peer."""
    return max(
        (
            peer.last_heartbeat_at - peer.heartbeat.answered_age_s
            for peer in fleet.live_peers(now)
            if peer.heartbeat.answered_age_s is not None
        ),
        default=-math.inf,
    )


def _proven_at(heartbeat: Heartbeat, now: float) -> float | None:
    """Return since when the peer's route table is proven, None for never.

    Its proof was at most proof_age_s old when it sent this heartbeat, and that
    was after this VM's clock read echoed_at. The clock starts anew with the
    machine, so an echo of a later time is of an earlier start of this VM.
    """
    echoed_at, age_s = heartbeat.echoed_at, heartbeat.proof_age_s
    if echoed_at is None or age_s is None or echoed_at > now:
        return None
    return echoed_at - age_s


def _sequence(heartbeat: Heartbeat) -> tuple[int, int]:
    return heartbeat.incarnation, heartbeat.number
