"""Requests go near first, far only under cap, ceiling and measurements."""

import random

import attrs

from chestnutshift.configuration.model import ShiftPreset
from chestnutshift.regions.loads import REFUSED_WAIT_S, LoadTable
from chestnutshift.regions.model import Demand, Place, VmLoad
from chestnutshift.regions.steering import Steering, Surroundings

HERE = Place('m1a', 'marmara-1', 'marmara')
NEAR = Place('m2a', 'marmara-2', 'marmara')
FAR = Place('k1a', 'kuzey-1', 'kuzey')
FARTHER = Place('e1a', 'ege-1', 'ege')
DEMAND = Demand('listings', 1000, local_wait_s=1, deadline_at=100)
NOW = 10


@attrs.frozen
class Bench:
    """A VM's steering and the reports that it has."""

    loads: LoadTable
    steering: Steering

    def report(
        self,
        place: Place,
        in_use: int,
        at: float = NOW,
        wait_s: float = 1,
    ) -> None:
        """Record that a VM uses so many of its ten slots."""
        self.loads.record(VmLoad(place, 'listings', 10, in_use, at, wait_s))

    def choose(self, demand: Demand = DEMAND, avoided: str = ''):
        """Choose for one request now."""
        rng = random.Random(1)
        return self.steering.choose(demand, NOW, rng, frozenset((avoided,)))


def bench(requests_per_s: float = 200) -> Bench:
    """Return the steering of a VM in marmara without reports."""
    loads = LoadTable(report_age_s=3)
    here = Surroundings(HERE, {'ege': 0.035, 'kuzey': 0.02}, 4)
    preset = ShiftPreset(requests_per_s=requests_per_s)
    return Bench(loads, Steering(here, preset, loads, 0))


def test_own_region_goes_first():
    """The other failure domain of the region comes before other regions."""
    vm = bench()
    vm.report(NEAR, 8)
    vm.report(FAR, 0)
    assert vm.choose() == NEAR


def test_reserve_of_the_own_region():
    """The last free slot of the other domain is left to its own work."""
    vm = bench()
    vm.report(NEAR, 9)
    assert vm.choose() is None


def test_much_shorter_queue_is_joined():
    """In the own region a request may wait where it waits half as long."""
    vm = bench()
    vm.report(NEAR, 10, wait_s=0.6)
    assert vm.choose() is None
    vm.report(NEAR, 10, wait_s=0.4)
    assert vm.choose() == NEAR


def test_no_queue_of_another_region():
    """A request does not go to another region to wait there."""
    vm = bench()
    vm.report(FAR, 10, wait_s=0)
    vm.report(attrs.evolve(FAR, vm='k1b'), 0)
    vm.loads.record_refusal('k1b', 'listings', NOW)
    assert vm.choose() is None


def test_nearer_region_goes_first():
    """Of other regions the one with the smaller delay comes first."""
    vm = bench()
    vm.report(NEAR, 10)
    vm.report(FAR, 5)
    vm.report(FARTHER, 0)
    assert vm.choose() == FAR
    assert vm.choose(avoided='kuzey') == FARTHER


def test_short_wait_stays():
    """A request that waits less than the way takes is not moved."""
    vm = bench()
    vm.report(FAR, 0)
    assert vm.choose(attrs.evolve(DEMAND, local_wait_s=0.03)) is None


def test_near_deadline_stays():
    """A request that can't come back in time is not moved."""
    vm = bench()
    vm.report(FAR, 0)
    assert vm.choose(attrs.evolve(DEMAND, deadline_at=NOW + 0.03)) is None


def test_no_shift_without_fresh_measurement():
    """A region whose reports are old or missing gets nothing."""
    vm = bench()
    assert vm.choose() is None
    vm.report(FAR, 0, NOW - 3.1)
    assert vm.choose() is None


def test_no_shift_above_the_ceiling():
    """A region above its ceiling gets nothing more."""
    vm = bench()
    vm.report(FAR, 9)
    assert vm.choose() is None


def test_moves_since_the_report_count():
    """A report that lags does not hide what was moved after it."""
    vm = bench(requests_per_s=2000)
    vm.report(FAR, 7, NOW - 2)
    for _ in range(2):
        vm.steering.record_move(FAR, 'listings', NOW)
    assert vm.choose() is None
    vm.loads.record_end(FAR.vm, 'listings', NOW)
    vm.loads.record_end(FAR.vm, 'listings', NOW)
    assert vm.choose() == FAR


def test_cap_of_the_pair():
    """Beyond the cap's share a request stays."""
    vm = bench(requests_per_s=4)
    vm.report(FAR, 0)
    vm.steering.record_move(vm.choose(), 'listings', NOW)
    assert vm.choose() is None


def test_cap_is_ramped():
    """At the beginning of a shift only part of the cap may be used."""
    vm = bench(requests_per_s=200)
    vm.report(FAR, 0)
    for _ in range(2):
        vm.steering.record_move(vm.choose(), 'listings', NOW)
    assert vm.choose() is None


def test_idle_ramp_shrinks():
    """A ramp that nothing uses any more goes back."""
    vm = bench()
    vm.report(FAR, 0)
    services = frozenset(('listings',))
    vm.steering.advance(services, NOW - 1)
    vm.choose()
    vm.steering.advance(services, NOW)
    before = vm.steering.shifts['kuzey'].fraction
    vm.steering.advance(services, NOW + 0.5)
    assert vm.steering.shifts['kuzey'].fraction < before


def test_older_report_changes_nothing():
    """A report that arrives after a newer one is dropped."""
    vm = bench()
    vm.report(NEAR, 10)
    vm.report(NEAR, 0, NOW - 1)
    assert vm.choose() is None


def test_refusal_is_heeded():
    """A VM that refused is left alone for a while."""
    vm = bench()
    vm.report(NEAR, 0)
    vm.loads.record_refusal(NEAR.vm, 'listings', NOW - REFUSED_WAIT_S / 2)
    assert vm.choose() is None
    vm.loads.record_refusal(NEAR.vm, 'listings', NOW - REFUSED_WAIT_S)
    assert vm.choose() == NEAR


def test_ramp_goes_on_only_with_measurements():
    """The ramp to a region grows while reports come and requests move."""
    vm = bench()
    services = frozenset(('listings',))
    vm.steering.advance(services, NOW)
    vm.report(FAR, 0)
    vm.choose()
    vm.steering.advance(services, NOW + 1)
    grown = vm.steering.shifts['kuzey'].fraction
    vm.choose()
    vm.steering.advance(services, NOW + 10)
    assert grown > vm.steering.shifts['ege'].fraction
    assert vm.steering.shifts['kuzey'].fraction == grown


def test_left_vm_is_forgotten():
    """A VM that left is not chosen on its last report."""
    vm = bench()
    vm.report(NEAR, 0)
    vm.loads.forget(NEAR.vm)
    assert vm.choose() is None
