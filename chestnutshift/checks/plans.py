"""Input to the checks of a drain."""

from collections.abc import Mapping

import attrs

from chestnutshift.regions.drains import Topology


@attrs.frozen
class DrainPlan:
    """Drain that is about to start, and the fleet as one VM knows it.

    drains holds all drain targets, including the new one; live_vms the live
    VMs that are not leaving. services maps each upstream to its service.
    """

    target: str
    drains: frozenset[str]
    topology: Topology
    live_vms: frozenset[str]
    services: Mapping[str, str]

    @property
    def targets(self) -> frozenset[str]:
        """All names that can be drained."""
        names = set(self.topology.upstreams)
        for place in self.topology.vms.values():
            names.update((place.vm, place.failure_domain, place.region))
        return frozenset(names)

    @property
    def drained_vms(self) -> frozenset[str]:
        """The VMs that get no new callers once the drain has started."""
        drained = (self.topology.vms_of(target) for target in self.drains)
        return frozenset().union(*drained)

    @property
    def drained_upstreams(self) -> frozenset[str]:
        """The upstreams that get no new work once the drain is complete."""
        drained = (self.topology.upstreams_of(target) for target in self.drains)
        return frozenset().union(*drained)
