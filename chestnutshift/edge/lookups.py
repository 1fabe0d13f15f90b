"""Answer callers' look-ups of the VMs to connect to."""

import attrs

from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.bandwidth import without_slow_links
from chestnutshift.fleet.heartbeats import Heartbeat, MemberPhase

ADDRESSES_MAX = 64
LIFETIME_S = 2.0
# With fewer VMs in the caller's failure domain, the VMs of its whole region
# are returned.
DOMAIN_VMS_MIN = 2
# If the timers of the VMs with fast links are later than this on average, all
# VMs are returned.
OVERLOAD_DELAY_S = 0.05


@attrs.frozen
class LookupAnswer:
    """Addresses of VMs as address:port, and how long callers may cache them."""

    addresses: tuple[str, ...]
    lifetime_s: float


@attrs.frozen
class _Candidate:
    callers: str
    failure_domain: str
    region: str
    link_mbps: float
    delay_s: float
    is_cut_off: bool


def answer_lookup(
    state: EdgeState,
    region: str,
    failure_domain: str,
    now: float,
) -> LookupAnswer:
    """Return the VMs nearest to the caller that accept connections."""
    candidates = _candidates(state, now)
    lifetime_s = min(LIFETIME_S, state.settings.bounds.lookup_lifetime_s)
    # Callers of routes with home regions must not be sent to another region
    # while a VM in their own accepts callers.
    nearby = [
        candidate for candidate in candidates if candidate.region == region
    ]
    nearby = _prefer_reaching(nearby or candidates)
    nearby = _prefer_fast_links(nearby)
    in_domain = [
        candidate
        for candidate in nearby
        if candidate.failure_domain == failure_domain
    ]
    chosen = in_domain if len(in_domain) >= DOMAIN_VMS_MIN else nearby
    addresses = tuple(vm.callers for vm in chosen[:ADDRESSES_MAX])
    return LookupAnswer(addresses, lifetime_s)


def _prefer_reaching(candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the VMs that reach upstreams; all VMs if these are too few.

    The others pass requests on, so they can still serve callers.
    """
    reaching = [vm for vm in candidates if not vm.is_cut_off]
    return reaching if len(reaching) >= DOMAIN_VMS_MIN else candidates


def _prefer_fast_links(candidates: list[_Candidate]) -> list[_Candidate]:
    """Return the VMs with fast links; all VMs if too few or overloaded."""
    fast = without_slow_links(candidates)
    delay_s = sum(vm.delay_s for vm in fast)
    if len(fast) < DOMAIN_VMS_MIN or delay_s > OVERLOAD_DELAY_S * len(fast):
        return candidates
    return fast


def _candidates(state: EdgeState, now: float) -> list[_Candidate]:
    candidates = [
        _Candidate(
            peer.member.callers,
            peer.member.failure_domain,
            peer.member.region,
            peer.member.link_mbps,
            peer.heartbeat.delay_s,
            is_cut_off=_is_cut_off(state, peer.heartbeat),
        )
        for peer in state.fleet.serving(now)
    ]
    # Without live peers, this VM is returned even if it is not ready.
    if state.is_ready(now) or not candidates:
        settings = state.settings
        this_vm = _Candidate(
            str(settings.callers),
            settings.failure_domain,
            settings.region,
            settings.link_mbps,
            state.delay_s,
            is_cut_off=state.directory.reach.is_cut_off,
        )
        if state.phase is not MemberPhase.STOPPING:
            candidates.append(this_vm)
    return candidates


def _is_cut_off(state: EdgeState, heartbeat: Heartbeat) -> bool:
    """Return whether the VM reaches no upstream of any service."""
    services = state.table.services if state.table else ()
    return bool(services) and len(heartbeat.unreached) >= len(services)
