"""Look-ups return nearby VMs that accept callers."""

import attrs

from chestnutshift.clocks import boot_time
from chestnutshift.edge.lookups import OVERLOAD_DELAY_S, answer_lookup
from chestnutshift.edge.settings import (
    Bounds,
    EdgeSettings,
    Endpoint,
    StoreSettings,
)
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from chestnutshift.fleet.heartbeats import Heartbeat, MemberPhase
from tests.fleet.factories import make_member

HERE = Endpoint('10.0.0.1', 1)
SETTINGS = EdgeSettings(
    vm='vm-1',
    address='10.0.0.1',
    failure_domain='a1',
    region='a',
    callers=HERE,
    readiness=HERE,
    lookups=HERE,
    peer_port=2,
    metrics_port=3,
    crossings_port=7742,
    regions={'a1': 'a', 'a2': 'a', 'b1': 'b'},
    descriptors_max=100,
    store=StoreSettings(HERE, 1, 1, 1),
    bounds=Bounds(),
)


def make_state(
    *peers: tuple[str, str],
    phase: MemberPhase = MemberPhase.SERVING,
) -> EdgeState:
    """Return a VM's state with live peers, by name and failure domain."""
    state = EdgeState(SETTINGS, 1, EventLog('vm-1'), phase=phase)
    now = boot_time()
    for name, domain in peers:
        member = attrs.evolve(
            make_member(name),
            callers=name,
            failure_domain=domain,
            region=domain[0],
        )
        state.fleet.add_member(member, now)
        heartbeat = Heartbeat(name, 1, 1, now, MemberPhase.SERVING, 1)
        state.fleet.record_heartbeat(heartbeat, now)
    return state


def add_peers(
    state: EdgeState, *names: str, link_mbps: float = 200, delay_s: float = 0
) -> None:
    """Add live peers with such links in the failure domain a1."""
    now = boot_time()
    for name in names:
        member = attrs.evolve(
            make_member(name), callers=name, link_mbps=link_mbps
        )
        state.fleet.add_member(member, now)
        heartbeat = Heartbeat(
            name, 1, 1, now, MemberPhase.SERVING, 1, delay_s=delay_s
        )
        state.fleet.record_heartbeat(heartbeat, now)


def look_up(state: EdgeState, domain: str) -> set[str]:
    """Return the addresses for a caller in the failure domain."""
    answer = answer_lookup(state, domain[0], domain, boot_time())
    return set(answer.addresses)


def test_own_failure_domain_first() -> None:
    """Two VMs in the failure domain suffice; no others are returned."""
    state = make_state(('p1', 'b1'), ('p2', 'b1'), ('p3', 'a2'))
    assert look_up(state, 'b1') == {'p1', 'p2'}


def test_single_vm_adds_its_region() -> None:
    """A single VM would leave callers without any if it failed."""
    state = make_state(('p1', 'a1'), ('p2', 'a2'), ('p3', 'b1'))
    assert look_up(state, 'a1') == {'p1', 'p2'}


def test_last_vm_of_a_region_keeps_callers() -> None:
    """Planned work in a small region does not send its callers elsewhere."""
    state = make_state(('p1', 'a1'), ('p2', 'a2'), ('p3', 'b1'))
    assert look_up(state, 'b1') == {'p3'}


def test_region_without_vms_gets_those_of_others() -> None:
    """Callers of a region without VMs get the VMs of other regions."""
    state = make_state(('p1', 'a1'), ('p2', 'a2'))
    assert look_up(state, 'b1') == {'p1', 'p2'}


def test_stopping_vm_does_not_return_itself() -> None:
    """A stopping VM leaves the look-ups at once."""
    assert not look_up(make_state(phase=MemberPhase.STOPPING), 'a1')


def test_isolated_vm_returns_itself() -> None:
    """A VM without live peers still accepts callers."""
    assert look_up(make_state(), 'b1') == {str(HERE)}


def slow_links() -> EdgeState:
    """Return the state of a VM with a slow link and a peer like it."""
    state = make_state()
    add_peers(state, 'slow', link_mbps=10)
    state.settings = attrs.evolve(state.settings, link_mbps=10)
    return state


def test_fast_links_preferred() -> None:
    """VMs with slow links are not returned beside two with fast ones."""
    state = slow_links()
    add_peers(state, 'f1', 'f2')
    assert look_up(state, 'a1') == {'f1', 'f2'}
    assert look_up(state, 'a2') == {'f1', 'f2'}


def test_one_fast_link() -> None:
    """A single VM with a fast link would be a single point of failure."""
    state = slow_links()
    add_peers(state, 'f1')
    assert look_up(state, 'a1') == {'slow', 'f1'}


def test_overloaded_fast_links() -> None:
    """VMs with slow links help while those with fast ones are overloaded."""
    state = slow_links()
    add_peers(state, 'f1', 'f2', delay_s=OVERLOAD_DELAY_S * 2)
    assert look_up(state, 'a1') == {'slow', 'f1', 'f2'}


def test_unknown_links() -> None:
    """VMs of an earlier release, with unknown links, are returned as well."""
    state = make_state(('old', 'a1'))
    add_peers(state, 'f1', 'f2')
    assert look_up(state, 'a1') == {'old', 'f1', 'f2'}
