"""Drains move requests away and report their progress."""

from chestnutshift.regions.drains import DrainTracker, Topology
from chestnutshift.regions.exceptions import UnknownTargetError
from chestnutshift.regions.model import Place

LOCAL = Place('m1a', 'marmara-1', 'marmara')
TOPOLOGY = Topology(
    vms={'m1a': LOCAL, 'm2a': Place('m2a', 'marmara-2', 'marmara')},
    upstreams={'listings-1': 'marmara-1', 'listings-2': 'marmara-2'},
)


def make_tracker(*targets: str) -> DrainTracker:
    """Return a tracker whose drains started at time 0."""
    tracker = DrainTracker(TOPOLOGY, ramp_s=30, lookup_lifetime_s=10)
    tracker.update(frozenset(targets), 0)
    return tracker


def test_drained_upstream_is_closed_at_once():
    """The drain of one upstream closes only that upstream."""
    assert make_tracker('listings-1').closed_upstreams(0) == {'listings-1'}


def test_domain_moves_over_the_ramp():
    """Requests of a failure domain move gradually, then it is closed."""
    tracker = make_tracker('marmara-1')
    moved = [tracker.moved_fraction(LOCAL, now) for now in (0, 15, 30)]
    assert moved == [0, 0.5, 1]
    assert not tracker.closed_upstreams(29)
    assert tracker.closed_upstreams(30) == {'listings-1'}


def test_domain_serves_cached_lookups():
    """A drained domain stays open while cached look-ups name its VMs."""
    tracker = DrainTracker(TOPOLOGY, ramp_s=5, lookup_lifetime_s=10)
    tracker.update(frozenset(('marmara-1',)), 0)
    assert not tracker.closed_upstreams(9)
    assert tracker.closed_upstreams(10)


def test_region_drain_covers_all_its_domains():
    """The drain of a region covers both of its failure domains."""
    assert make_tracker('marmara').closed_upstreams(30) == set(
        TOPOLOGY.upstreams
    )


def test_vm_drain_moves_no_work_of_its_domain():
    """The drain of a VM keeps the upstreams of its domain in use."""
    tracker = make_tracker('m1a')
    assert tracker.moved_fraction(LOCAL, 30) == 0
    assert not tracker.closed_upstreams(30)


def test_drain_finishes_after_cached_lookups():
    """An idle VM may still get requests through cached look-ups."""
    tracker = make_tracker('m1a')
    early = tracker.progress({}, 9)[0]
    assert (early.finished_at, early.cached_until) == (None, 10)
    assert tracker.progress({'m1a': 1}, 10)[0].finished_at is None
    assert tracker.progress({}, 12)[0].drain_s == 12
    assert tracker.progress({}, 20)[0].drain_s == 12


def test_running_requests_are_waited_for():
    """The drain of an upstream finishes with its last request."""
    tracker = make_tracker('listings-1')
    assert tracker.progress({'listings-1': 1}, 1)[0].in_flight == 1
    assert tracker.progress({}, 2)[0].drain_s == 2


def test_removed_drain_ends():
    """A target that is no longer configured takes requests again."""
    tracker = make_tracker('listings-1')
    tracker.update(frozenset(), 1)
    assert not tracker.closed_upstreams(1)


def test_unknown_target_is_refused():
    """An unknown drain target is reported to the operator."""
    TOPOLOGY.validate(['marmara', 'm1a', 'listings-1'])
    try:
        TOPOLOGY.validate(['elsewhere'])
    except UnknownTargetError:
        return
    raise AssertionError('the unknown target was accepted')
