"""Drains are planned moves whose progress can be seen."""

from chestnutshift.regions.drains import DrainBoard, Topology
from chestnutshift.regions.exceptions import UnknownTargetError
from chestnutshift.regions.model import Place

HERE = Place('m1a', 'marmara-1', 'marmara')
TOPOLOGY = Topology(
    vms={'m1a': HERE, 'm2a': Place('m2a', 'marmara-2', 'marmara')},
    upstreams={'listings-1': 'marmara-1', 'listings-2': 'marmara-2'},
)


def board(*targets: str) -> DrainBoard:
    """Return a board whose drains began at time 0."""
    found = DrainBoard(TOPOLOGY, ramp_s=30, lookup_lifetime_s=10)
    found.update(frozenset(targets), 0)
    return found


def test_upstream_gets_no_new_work_at_once():
    """The drain of one upstream closes it, and it alone."""
    assert board('listings-1').closed_upstreams(0) == {'listings-1'}


def test_domain_moves_over_the_ramp():
    """A failure domain's work moves bit by bit, then it is closed."""
    drains = board('marmara-1')
    moved = [drains.moved_fraction(HERE, now) for now in (0, 15, 30)]
    assert moved == [0, 0.5, 1]
    assert not drains.closed_upstreams(29)
    assert drains.closed_upstreams(30) == {'listings-1'}


def test_domain_serves_cached_look_ups():
    """A drained domain stays open while cached answers name its VMs."""
    drains = DrainBoard(TOPOLOGY, ramp_s=5, lookup_lifetime_s=10)
    drains.update(frozenset(('marmara-1',)), 0)
    assert not drains.closed_upstreams(9)
    assert drains.closed_upstreams(10)


def test_region_has_all_its_domains():
    """The drain of a region concerns both of its failure domains."""
    assert board('marmara').closed_upstreams(30) == set(TOPOLOGY.upstreams)


def test_vm_drain_moves_no_work_of_its_domain():
    """A drained VM leaves its domain's upstreams in use."""
    drains = board('m1a')
    assert drains.moved_fraction(HERE, 30) == 0
    assert not drains.closed_upstreams(30)


def test_drain_ends_after_cached_look_ups():
    """A VM that runs nothing may still get requests by cached answers."""
    drains = board('m1a')
    early = drains.progress({}, 9)[0]
    assert (early.finished_at, early.cached_until) == (None, 10)
    assert drains.progress({'m1a': 1}, 10)[0].finished_at is None
    assert drains.progress({}, 12)[0].drain_s == 12
    assert drains.progress({}, 20)[0].drain_s == 12


def test_running_requests_are_waited_for():
    """A drained upstream is empty when its last request is over."""
    drains = board('listings-1')
    assert drains.progress({'listings-1': 1}, 1)[0].in_flight == 1
    assert drains.progress({}, 2)[0].drain_s == 2


def test_withdrawn_drain_ends():
    """A target that the configuration no longer names takes work again."""
    drains = board('listings-1')
    drains.update(frozenset(), 1)
    assert not drains.closed_upstreams(1)


def test_unknown_target_is_refused():
    """A drain of nothing is an error for the operator."""
    TOPOLOGY.validate(['marmara', 'm1a', 'listings-1'])
    try:
        TOPOLOGY.validate(['elsewhere'])
    except UnknownTargetError:
        return
    raise AssertionError('the target was accepted')
