"""Update a VM's state from what its peers' heartbeats told."""

from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.deciders import candidates_by_region
from chestnutshift.fleet.heartbeats import MemberPhase
from chestnutshift.fleet.share_holders import (
    claims,
    count_share_holders,
    sender_names,
)


def apply_heartbeats(state: EdgeState, now: float) -> None:
    """Update the state that is derived from the peers' heartbeats."""
    fleet = state.fleet
    fleet.drop_unlisted(now)
    state.trust.expire_named(now)
    _divide_limits(state, now)
    rates = {}
    if state.table is not None:
        services = state.table.services.values()
        rates = {service.name: service.cold_rate for service in services}
        if not state.trust.is_behind:
            state.record_proof(fleet.proof(state.table.version), now)
    state.upstream_rates.update(sender_names(fleet, now), rates, now)
    state.upstream_reports.apply_in_flight(fleet.heartbeats(now))


def _divide_limits(state: EdgeState, now: float) -> None:
    """Update who decides on the accounts, and this VM's shares of them."""
    fleet = state.fleet
    demands = {
        heartbeat.vm: heartbeat.demand for heartbeat in fleet.heartbeats(now)
    }
    state.live_peer_names = tuple(demands)
    share_holders = count_share_holders(fleet, now)
    state.retries.record_vms(share_holders, now)
    candidates = candidates_by_region(
        [peer.member for peer in fleet.serving(now)],
        state.settings,
        is_serving=state.phase is MemberPhase.SERVING,
    )
    state.deciders.update(candidates, share_holders)
    state.shares.update(demands, share_holders, now, claims(fleet, now))
