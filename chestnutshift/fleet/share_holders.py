"""Which VMs may hold a share of the fleet's limits, as one VM sees it."""

import itertools
from collections.abc import Mapping, Sequence, Set

from chestnutshift.fleet.view import FleetView

# A listed VM that was silent for this long, and that no live peer hears, no
# longer counts as holding a share.
SHARE_EXPIRY_S = 30.0
# Silent VMs that a heartbeat names. The receivers take the others for heard by
# the sender, so that they claim less of its share.
SILENT_NAMED_MAX = 256


def count_share_holders(fleet: FleetView, now: float) -> int:
    """Return how many VMs may hold a share, this one included."""
    return len(fleet.names) - len(lapsed(fleet, now))


def lapsed(fleet: FleetView, now: float) -> Set[str]:
    """Return the VMs that no longer hold a share, by name.

    One that a live peer hears is only out of this VM's reach.
    """
    old = {
        peer.name_hash: peer.member.vm
        for peer in fleet
        if now - max(peer.last_heartbeat_at, peer.listed_at) > SHARE_EXPIRY_S
    }
    unheard = frozenset(old)
    if unheard:
        for heartbeat in fleet.heartbeats(now):
            unheard -= heartbeat.heard_among(unheard)
    return frozenset(old[name_hash] for name_hash in unheard)


def claims(fleet: FleetView, now: float) -> Mapping[str, float]:
    """Return which part of each live peer's share this VM may use.

    VMs that it doesn't hear and the peer does may use it as well, each by the
    demand that it hears of, so each of them may use an equal part.
    """
    unheard = silent(fleet, now)
    return {
        heartbeat.vm: 1 / (1 + len(heartbeat.heard_among(unheard)))
        for heartbeat in fleet.heartbeats(now)
    }


def silent(fleet: FleetView, now: float) -> Set[int]:
    """Return the hashes of the listed VMs that this one does not hear."""
    heard_since = now - fleet.silence_s
    return frozenset(
        peer.name_hash for peer in fleet if peer.last_heartbeat_at < heard_since
    )


def named_silent(fleet: FleetView, now: float) -> Set[int]:
    """Return the silent VMs that a heartbeat names."""
    named = itertools.islice(sorted(silent(fleet, now)), SILENT_NAMED_MAX)
    return frozenset(named)


def sender_names(fleet: FleetView, now: float) -> Sequence[str]:
    """Return the VMs among which senders to limited upstreams are chosen.

    VMs that were silent for long are left out, as their rows stay in the
    store. A VM that does not hear from most of the others may be the silent
    one itself, and leaves out none.
    """
    live = len(fleet.live_peers(now)) + 1
    if 2 * live <= len(fleet.names):
        return fleet.names
    gone = lapsed(fleet, now)
    return [vm for vm in fleet.names if vm not in gone]
