"""Status page of a VM: its own state and what it knows of its peers."""

import attrs

from chestnutshift.invariants.registry import INVARIANTS
from chestnutshift.metrics.measures import Measures
from chestnutshift.operators.drains import count_in_flight
from chestnutshift.vms.membership import Peer
from chestnutshift.vms.state import VmState


def vm_status(
    state: VmState,
    measures: Measures,
    now: float,
) -> dict[str, object]:
    """Return the status page as a JSON document."""
    configuration = state.holder.current
    number = configuration.number
    behind = state.membership.behind(number, now)
    live = state.membership.live_peers(now)
    return {
        'vm': state.name,
        'phase': state.phase,
        'configuration': number,
        'preset': configuration.in_force,
        'in_force_on': 1 + len(state.membership.peers) - len(behind),
        'vms': 1 + len(state.membership.peers),
        'not_reached': list(behind),
        'platform_reachable': state.platform_poller.reachable,
        'keys': state.key_ring.freshness(now).value,
        'drains': _drains(state, now),
        'headroom': round(state.local_upstreams.headroom(now), 3),
        'shares': [
            attrs.asdict(share) for share in state.admission.summary(now)
        ],
        'measures': attrs.asdict(measures.summary()),
        'violations': {
            name: invariant.violations
            for name, invariant in INVARIANTS.items()
            if invariant.violations
        },
        'peers': [
            _peer_status(peer, peer in live) for peer in state.membership.peers
        ],
    }


def _drains(state: VmState, now: float) -> list[dict[str, object]]:
    tracker = state.steering.drain_tracker
    if tracker is None:
        return []
    return [
        {
            'target': drain.target,
            'running_s': round(now - drain.started_at, 1),
            'moved': round(drain.moved, 3),
            'in_flight': drain.in_flight,
            'cached_s': round(max(0, drain.cached_until - now), 1),
            'finished': drain.finished_at is not None,
            'drain_s': drain.drain_s,
        }
        for drain in tracker.progress(count_in_flight(state), now)
    ]


def _peer_status(peer: Peer, is_live: bool) -> dict[str, object]:
    report = peer.report
    return {
        'vm': peer.name,
        'heard': is_live,
        'phase': report.phase if report else 'unknown',
        'configuration': report.configuration_number if report else 0,
        'platform_reachable': bool(report and report.platform_reachable),
        'headroom': round(report.headroom, 3) if report else None,
    }
