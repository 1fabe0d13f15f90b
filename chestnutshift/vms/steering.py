"""Region steering at one VM: loads of its peers, delays and drains."""

import random

import attrs

from chestnutshift.conf.settings import Settings
from chestnutshift.configuration.model import Configuration, Preset
from chestnutshift.regions.caps import LinkCap
from chestnutshift.regions.drains import DrainTracker, Topology
from chestnutshift.regions.loads import LoadTable
from chestnutshift.regions.model import MovableRequest, Place, VmLoad
from chestnutshift.regions.steering import LocalTopology, Steering
from chestnutshift.upstreams.model import ServiceLoad
from chestnutshift.vms.membership import Membership, Peer

# One-way delay that is assumed for a region until it is measured.
DELAY_DEFAULT_S = 0.03
# The minimum of the measured delays grows by this factor with each
# measurement, so that it slowly follows a delay that has increased.
DELAY_GROWTH_RATIO = 1.01


@attrs.define
class RegionSteering:
    """Chooses another VM for a request, from the view of one VM.

    Fields that depend on the preset are None before the first configuration.
    """

    _settings: Settings
    _membership: Membership
    _rng: random.Random
    _delays_s: dict[str, float] = attrs.field(factory=dict)
    _upstream_domains: dict[str, str] = attrs.field(factory=dict)
    _places: dict[str, Place] = attrs.field(factory=dict)
    _preset: Preset | None = None
    _steering: Steering | None = None
    _drain_tracker: DrainTracker | None = None
    _loads: LoadTable | None = None

    @property
    def place(self) -> Place:
        """The name, failure domain and region of this VM."""
        vm = self._settings.vm
        return Place(vm.name, vm.failure_domain, vm.region)

    @property
    def places(self) -> dict[str, Place]:
        """The places of all VMs by name, this VM first."""
        return self._places

    @property
    def region_order(self) -> tuple[str, ...]:
        """The regions, this VM's first, then by one-way delay."""
        nearest = sorted(self._delays_s, key=self._delays_s.get)
        return (self.place.region, *nearest)

    @property
    def drain_tracker(self) -> DrainTracker | None:
        """The drains and their progress, None before a configuration."""
        return self._drain_tracker

    @property
    def steering(self) -> Steering | None:
        """The steering of requests, None before a configuration."""
        return self._steering

    def cap(self, region: str) -> LinkCap | None:
        """Return the cap on bytes to a region, None for this VM's region."""
        if self._steering is None or region == self.place.region:
            return None
        return self._steering.cap(region)

    def adopt(self, configuration: Configuration, now: float) -> None:
        """Apply a configuration; ramps continue if the preset is the same."""
        preset = configuration.preset
        if preset != self._preset:
            self._apply_preset(preset, now)
        self._drain_tracker.update(configuration.drains, now)

    def update_upstreams(self, domains: dict[str, str]) -> None:
        """Replace the failure domains of the upstreams, by upstream."""
        self._upstream_domains.clear()
        self._upstream_domains.update(domains)

    def record_loads(
        self,
        peer: Peer,
        loads: dict[str, ServiceLoad],
        requested_at: float,
        answered_at: float,
    ) -> None:
        """Record a peer's load by service, and the delay to its region."""
        place = _place_of(peer)
        self._record_delay(place.region, (answered_at - requested_at) / 2)
        if self._loads is None:
            return
        for service, load in loads.items():
            self._loads.record(
                VmLoad(
                    place,
                    service,
                    slots=load.slots,
                    in_use=load.in_use,
                    measured_at=requested_at,
                    wait_s=load.wait_s,
                ),
            )

    def tick(self, services: frozenset[str], now: float) -> None:
        """Advance the ramps and drop the loads of peers that are not live."""
        if self._steering is None:
            return
        self._steering.advance(services, now)
        live_names = {peer.name for peer in self._membership.live_peers(now)}
        for peer in self._membership.peers:
            if peer.name not in live_names:
                self._loads.forget(peer.name)

    def choose(
        self,
        request: MovableRequest,
        now: float,
        tried: frozenset[str],
    ) -> Place | None:
        """Return the place to move the request to, None to keep it here.

        tried holds the VMs that have refused the request already.
        """
        if self._steering is None:
            return None
        if self._rng.random() < self._drain_tracker.moved_fraction(
            self.place, now
        ):
            request = attrs.evolve(request, local_wait_s=float('inf'))
        avoided = self._drain_tracker.targets | tried
        return self._steering.choose(request, now, self._rng, avoided)

    def record_move(self, place: Place, service: str, now: float) -> None:
        """Count a request that is sent to the place."""
        self._steering.record_move(place, service, now)

    def record_end(self, vm: str, service: str, started_at: float) -> None:
        """Remove a moved request that ended from the count."""
        self._loads.record_end(vm, service, started_at)

    def record_refusal(self, vm: str, service: str, now: float) -> None:
        """Record that a VM refused work; it is avoided for a while."""
        self._loads.record_refusal(vm, service, now)

    def _apply_preset(self, preset: Preset, now: float) -> None:
        self._preset = preset
        peers = self._membership.peers
        own_place = self.place
        self._places = {own_place.vm: own_place}
        self._places.update({peer.name: _place_of(peer) for peer in peers})
        region_vms = [
            place
            for place in self._places.values()
            if place.region == own_place.region
        ]
        for place in self._places.values():
            if place.region != own_place.region:
                self._delays_s.setdefault(place.region, DELAY_DEFAULT_S)
        self._loads = LoadTable(preset.upstreams.report_age_s)
        local_topology = LocalTopology(
            own_place, self._delays_s, len(region_vms)
        )
        self._steering = Steering(
            local_topology,
            preset.shift,
            self._loads,
            now,
        )
        drains = (
            self._drain_tracker.targets if self._drain_tracker else frozenset()
        )
        self._drain_tracker = DrainTracker(
            Topology(self._places, self._upstream_domains),
            preset.shift.ramp_s,
            preset.lookup.lifetime_s,
        )
        self._drain_tracker.update(drains, now)

    def _record_delay(self, region: str, delay_s: float) -> None:
        known_s = self._delays_s.get(region)
        if known_s is not None:
            self._delays_s[region] = min(delay_s, known_s * DELAY_GROWTH_RATIO)


def _place_of(peer: Peer) -> Place:
    address = peer.address
    return Place(address.name, address.failure_domain, address.region)
