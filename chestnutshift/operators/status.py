"""What one VM shows of itself and of the others."""

from chestnutshift.vms.membership import Peer
from chestnutshift.vms.state import VmState


def vm_status(state: VmState, now: float) -> dict[str, object]:
    """Return the status page as a document."""
    configuration = state.holder.current
    number = configuration.number
    behind = state.membership.behind(number, now)
    heard = state.membership.heard(now)
    return {
        'vm': state.name,
        'phase': state.phase,
        'configuration': number,
        'preset': configuration.in_force,
        'in_force_on': 1 + len(state.membership.peers) - len(behind),
        'vms': 1 + len(state.membership.peers),
        'not_reached': list(behind),
        'platform_reachable': state.follower.reachable,
        'keys': state.key_ring.freshness(now).value,
        'drains': sorted(configuration.drains),
        'headroom': round(state.work.headroom(now), 3),
        'peers': [
            _peer_status(peer, peer in heard) for peer in state.membership.peers
        ],
    }


def _peer_status(peer: Peer, heard: bool) -> dict[str, object]:
    report = peer.report
    return {
        'vm': peer.name,
        'heard': heard,
        'phase': report.phase if report else 'unknown',
        'configuration': report.configuration_number if report else 0,
        'platform_reachable': bool(report and report.platform_reachable),
        'headroom': round(report.headroom, 3) if report else None,
    }
