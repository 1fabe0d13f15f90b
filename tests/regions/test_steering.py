"""Requests stay in the region first; caps and ceilings limit shifts."""

import random

import attrs

from chestnutshift.configuration.model import ShiftPreset
from chestnutshift.regions.loads import REFUSAL_BACKOFF_S, LoadTable
from chestnutshift.regions.model import MovableRequest, Place, VmLoad
from chestnutshift.regions.steering import LocalTopology, Steering

LOCAL = Place('m1a', 'marmara-1', 'marmara')
SAME_REGION = Place('m2a', 'marmara-2', 'marmara')
OTHER_REGION = Place('k1a', 'kuzey-1', 'kuzey')
FARTHER_REGION = Place('e1a', 'ege-1', 'ege')
REQUEST = MovableRequest('listings', 1000, local_wait_s=1, deadline_at=100)
NOW = 10


@attrs.frozen
class SteeringSetup:
    """The steering of one VM and its load reports."""

    loads: LoadTable
    steering: Steering

    def report(
        self,
        place: Place,
        in_use: int,
        at: float = NOW,
        wait_s: float = 1,
    ) -> None:
        """Record a report that a VM uses in_use of its ten slots."""
        self.loads.record(VmLoad(place, 'listings', 10, in_use, at, wait_s))

    def choose(self, request: MovableRequest = REQUEST, avoided: str = ''):
        """Choose a place for one request now."""
        rng = random.Random(1)
        return self.steering.choose(request, NOW, rng, frozenset((avoided,)))


def make_setup(requests_per_s: float = 200) -> SteeringSetup:
    """Return the steering of a VM in marmara, without reports."""
    loads = LoadTable(report_age_s=3)
    here = LocalTopology(LOCAL, {'ege': 0.035, 'kuzey': 0.02}, 4)
    preset = ShiftPreset(requests_per_s=requests_per_s)
    return SteeringSetup(loads, Steering(here, preset, loads, 0))


def test_own_region_goes_first():
    """The other failure domain of the region comes before other regions."""
    setup = make_setup()
    setup.report(SAME_REGION, 8)
    setup.report(OTHER_REGION, 0)
    assert setup.choose() == SAME_REGION


def test_last_free_slot_is_reserved():
    """The last free slot of another domain is kept for its own requests."""
    setup = make_setup()
    setup.report(SAME_REGION, 9)
    assert setup.choose() is None


def test_much_shorter_queue_is_joined():
    """In its region a request may queue where the wait is half as long."""
    setup = make_setup()
    setup.report(SAME_REGION, 10, wait_s=0.6)
    assert setup.choose() is None
    setup.report(SAME_REGION, 10, wait_s=0.4)
    assert setup.choose() == SAME_REGION


def test_no_queueing_in_another_region():
    """A request is not moved to another region to queue there."""
    setup = make_setup()
    setup.report(OTHER_REGION, 10, wait_s=0)
    setup.report(attrs.evolve(OTHER_REGION, vm='k1b'), 0)
    setup.loads.record_refusal('k1b', 'listings', NOW)
    assert setup.choose() is None


def test_nearer_region_goes_first():
    """Among other regions the one with the smallest delay comes first."""
    setup = make_setup()
    setup.report(SAME_REGION, 10)
    setup.report(OTHER_REGION, 5)
    setup.report(FARTHER_REGION, 0)
    assert setup.choose() == OTHER_REGION
    assert setup.choose(avoided='kuzey') == FARTHER_REGION


def test_request_with_a_short_wait_stays():
    """A request is not moved if the move takes longer than the wait."""
    setup = make_setup()
    setup.report(OTHER_REGION, 0)
    assert setup.choose(attrs.evolve(REQUEST, local_wait_s=0.03)) is None


def test_request_near_its_deadline_stays():
    """A request whose answer would be too late is not moved."""
    setup = make_setup()
    setup.report(OTHER_REGION, 0)
    assert setup.choose(attrs.evolve(REQUEST, deadline_at=NOW + 0.03)) is None


def test_no_shift_without_fresh_measurement():
    """A region whose reports are stale or missing gets no requests."""
    setup = make_setup()
    assert setup.choose() is None
    setup.report(OTHER_REGION, 0, NOW - 3.1)
    assert setup.choose() is None


def test_no_shift_above_the_ceiling():
    """A region above its ceiling gets no more requests."""
    setup = make_setup()
    setup.report(OTHER_REGION, 9)
    assert setup.choose() is None


def test_moves_since_the_report_count():
    """Requests moved after the last report count as slots in use."""
    setup = make_setup(requests_per_s=2000)
    setup.report(OTHER_REGION, 7, NOW - 2)
    for _ in range(2):
        setup.steering.record_move(OTHER_REGION, 'listings', NOW)
    assert setup.choose() is None
    setup.loads.record_end(OTHER_REGION.vm, 'listings', NOW)
    setup.loads.record_end(OTHER_REGION.vm, 'listings', NOW)
    assert setup.choose() == OTHER_REGION


def test_request_beyond_the_cap_stays():
    """A request beyond this VM's share of the cap is not moved."""
    setup = make_setup(requests_per_s=4)
    setup.report(OTHER_REGION, 0)
    setup.steering.record_move(setup.choose(), 'listings', NOW)
    assert setup.choose() is None


def test_cap_is_ramped():
    """At the start of a shift only a fraction of the cap may be used."""
    setup = make_setup(requests_per_s=200)
    setup.report(OTHER_REGION, 0)
    for _ in range(2):
        setup.steering.record_move(setup.choose(), 'listings', NOW)
    assert setup.choose() is None


def test_idle_ramp_shrinks():
    """The ramp shrinks while no request wants to move."""
    setup = make_setup()
    setup.report(OTHER_REGION, 0)
    services = frozenset(('listings',))
    setup.steering.advance(services, NOW - 1)
    setup.choose()
    setup.steering.advance(services, NOW)
    before = setup.steering.shifts['kuzey'].fraction
    setup.steering.advance(services, NOW + 0.5)
    assert setup.steering.shifts['kuzey'].fraction < before


def test_older_report_changes_nothing():
    """A report that arrives after a newer one is dropped."""
    setup = make_setup()
    setup.report(SAME_REGION, 10)
    setup.report(SAME_REGION, 0, NOW - 1)
    assert setup.choose() is None


def test_refusal_causes_a_backoff():
    """A VM that refused is not chosen for REFUSAL_BACKOFF_S."""
    setup = make_setup()
    setup.report(SAME_REGION, 0)
    setup.loads.record_refusal(
        SAME_REGION.vm, 'listings', NOW - REFUSAL_BACKOFF_S / 2
    )
    assert setup.choose() is None
    setup.loads.record_refusal(
        SAME_REGION.vm, 'listings', NOW - REFUSAL_BACKOFF_S
    )
    assert setup.choose() == SAME_REGION


def test_ramp_advances_only_when_measured():
    """The ramp grows only with fresh reports and requests to move."""
    setup = make_setup()
    services = frozenset(('listings',))
    setup.steering.advance(services, NOW)
    setup.report(OTHER_REGION, 0)
    setup.choose()
    setup.steering.advance(services, NOW + 1)
    grown = setup.steering.shifts['kuzey'].fraction
    setup.choose()
    setup.steering.advance(services, NOW + 10)
    assert grown > setup.steering.shifts['ege'].fraction
    assert setup.steering.shifts['kuzey'].fraction == grown


def test_departed_vm_is_not_chosen():
    """The last report of a VM that left is not used."""
    setup = make_setup()
    setup.report(SAME_REGION, 0)
    setup.loads.forget(SAME_REGION.vm)
    assert setup.choose() is None
