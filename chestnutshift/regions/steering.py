"""Choice of another VM for a request that can't start at once here."""

import random
from collections.abc import Mapping

import attrs

from chestnutshift.configuration.model import ShiftPreset
from chestnutshift.invariants.registry import REGION_LOAD, verify
from chestnutshift.regions.admission import may_start
from chestnutshift.regions.caps import CapShare, LinkCap
from chestnutshift.regions.loads import LoadTable
from chestnutshift.regions.model import MovableRequest, Place, VmLoad
from chestnutshift.regions.shift import ShiftRamp

# A move takes the one-way delay twice: for the request and for its answer.
ONE_WAY_TRIPS = 2

# Requests that wait less than this are not moved within the region.
LOCAL_WAIT_MIN_S = 0.002

# A queue of the same region is joined if its wait is shorter by this factor.
QUEUE_WAIT_RATIO = 2

# The weight, in free slots, of a VM that has no free slot.
FULL_VM_WEIGHT = 0.25


@attrs.frozen
class LocalTopology:
    """A VM's place, delays to other regions and number of VMs in its region.

    delays_s are one-way delays. The VMs of a region divide its caps.
    """

    place: Place
    delays_s: Mapping[str, float]
    region_vms: int


class Steering:
    """Chooses another VM for a request: own region first, then by delay.

    The chosen VM decides by its actual state whether it accepts the request;
    a request that was moved once is never moved again.
    """

    def __init__(
        self,
        local_topology: LocalTopology,
        preset: ShiftPreset,
        loads: LoadTable,
        now: float,
    ) -> None:
        """Divide the caps of the preset and start every ramp at its minimum."""
        self._local_topology = local_topology
        self._preset = preset
        self._loads = loads
        share = CapShare.of(preset, local_topology.region_vms)
        self._caps = {
            region: LinkCap(share, now) for region in local_topology.delays_s
        }
        self._shifts = {
            region: ShiftRamp(preset) for region in local_topology.delays_s
        }
        self._wanted_regions: set[str] = set()

    @property
    def shifts(self) -> Mapping[str, ShiftRamp]:
        """The ramps by region, for status and events."""
        return self._shifts

    def cap(self, region: str) -> LinkCap:
        """Return the cap that paces the bytes to a region."""
        return self._caps[region]

    def advance(self, services: frozenset[str], now: float) -> None:
        """Update the ramps; call this several times a second."""
        for region, shift in self._shifts.items():
            loads = [
                self._loads.region_load(region, service, now)
                for service in services
            ]
            known = [load for load in loads if load is not None]
            load = max(known) if known else None
            shift.advance(now, load, moving=region in self._wanted_regions)
        self._wanted_regions.clear()

    def choose(
        self,
        request: MovableRequest,
        now: float,
        rng: random.Random,
        avoided: frozenset[str],
    ) -> Place | None:
        """Return the place to move a request to, None to keep it here.

        avoided names VMs, failure domains and regions not to be chosen.
        """
        places = self._available_places(request, now, avoided)
        in_own_region = places.pop(self._local_topology.place.region, None)
        if in_own_region and request.local_wait_s > LOCAL_WAIT_MIN_S:
            return _choose_weighted(in_own_region, rng)
        for region in sorted(places, key=self._local_topology.delays_s.get):
            if self._may_shift(region, request, now):
                return _choose_weighted(places[region], rng)
        return None

    def record_move(self, place: Place, service: str, now: float) -> None:
        """Count a request that is being sent to the chosen place."""
        self._loads.record_move(place.vm, service, now)
        if place.region != self._local_topology.place.region:
            self._caps[place.region].record_request(now)

    def _available_places(
        self,
        request: MovableRequest,
        now: float,
        avoided: frozenset[str],
    ) -> dict[str, dict[Place, float]]:
        """Return the places that can take a request, weighted, by region."""
        weights: dict[str, dict[Place, float]] = {}
        for load, in_use in self._loads.usable(request.service, now).items():
            place = load.place
            if place.vm == self._local_topology.place.vm:
                continue
            if not avoided.isdisjoint(attrs.astuple(place)):
                continue
            if self._can_take(load, in_use, request):
                weight = max(FULL_VM_WEIGHT, load.slots - in_use)
                weights.setdefault(place.region, {})[place] = weight
        return weights

    def _can_take(
        self, load: VmLoad, in_use: int, request: MovableRequest
    ) -> bool:
        """Return whether a VM should accept one more request, by its report."""
        same_region = load.place.region == self._local_topology.place.region
        ceiling = self._preset.region_ceiling
        slots = load.slots
        if may_start(slots, in_use, ceiling, same_region=same_region):
            return True
        # A shorter queue has to make up for the delay and cost of a move.
        is_shorter = load.wait_s * QUEUE_WAIT_RATIO < request.local_wait_s
        return same_region and slots > 0 and is_shorter

    def _may_shift(
        self, region: str, request: MovableRequest, now: float
    ) -> bool:
        delay_s = ONE_WAY_TRIPS * self._local_topology.delays_s[region]
        if (
            request.local_wait_s <= delay_s
            or now + delay_s > request.deadline_at
        ):
            return False
        load = self._loads.region_load(region, request.service, now)
        self._wanted_regions.add(region)
        if load is None or load >= self._preset.region_ceiling:
            return False
        verify(REGION_LOAD, holds=load < 1, detail=f'{region} at {load:.2f}')
        return self._caps[region].admits(now, self._shifts[region].fraction)


def _choose_weighted(
    weights: Mapping[Place, float], rng: random.Random
) -> Place:
    """Choose a random place by its weight."""
    return rng.choices(list(weights), weights=list(weights.values()))[0]
