"""Drain plans and counts of requests in flight, as one VM knows them."""

from collections import Counter

from chestnutshift.checks.plans import DrainPlan
from chestnutshift.regions.drains import Topology
from chestnutshift.regions.model import Place
from chestnutshift.upstreams.model import ServiceLoad
from chestnutshift.vms.membership import VmPhase
from chestnutshift.vms.state import VmState


def make_drain_plan(
    state: VmState,
    target: str,
    drains: frozenset[str],
    now: float,
) -> DrainPlan:
    """Return the plan that is checked before the target is drained."""
    upstreams = {
        upstream.name: upstream.record
        for upstream in state.local_upstreams.directory
    }
    vm = state.settings.vm
    places = {vm.name: Place(vm.name, vm.failure_domain, vm.region)}
    for peer in state.membership.peers:
        address = peer.address
        places[peer.name] = Place(
            address.name,
            address.failure_domain,
            address.region,
        )
    return DrainPlan(
        target=target,
        drains=drains,
        topology=Topology(
            places,
            {name: record.failure_domain for name, record in upstreams.items()},
        ),
        live_vms=_live_vms(state, now),
        services={name: record.service for name, record in upstreams.items()},
    )


def count_in_flight(state: VmState) -> Counter[str]:
    """Count requests in flight by VM, and by upstream that is a drain target.

    The counts of other VMs come from their last reports. An upstream's count
    covers the requests of this VM only.
    """
    pool = state.local_upstreams.pool
    own_counts = pool.in_flight if pool else {}
    counts = Counter({state.name: sum(own_counts.values())})
    for peer in state.membership.peers:
        if peer.report is not None:
            counts[peer.name] = _requests_in_flight(peer.report.loads)
    drains = state.holder.current.drains
    for name in drains & own_counts.keys():
        counts[name] = own_counts[name]
    return counts


def _requests_in_flight(loads: dict[str, ServiceLoad]) -> int:
    return sum(load.in_use for load in loads.values())


def _live_vms(state: VmState, now: float) -> frozenset[str]:
    live = {
        peer.name
        for peer in state.membership.live_peers(now)
        if peer.report and peer.report.phase != VmPhase.LEAVING
    }
    if state.phase is not VmPhase.LEAVING:
        live.add(state.name)
    return frozenset(live)
