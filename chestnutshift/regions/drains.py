"""Drains of VMs, upstreams, failure domains and regions."""

from collections.abc import Iterable, Mapping

import attrs

from chestnutshift.regions.exceptions import UnknownTargetError
from chestnutshift.regions.model import Place


@attrs.frozen
class Topology:
    """The place of each VM and the failure domain of each upstream."""

    vms: Mapping[str, Place]
    upstreams: Mapping[str, str]

    def validate(self, targets: Iterable[str]) -> None:
        """Raise UnknownTargetError if a target is not in the topology."""
        known = set(self.upstreams)
        for place in self.vms.values():
            known.update(attrs.astuple(place))
        unknown = sorted(set(targets) - known)
        if unknown:
            raise UnknownTargetError(f'unknown drain target {unknown[0]!r}')

    def upstreams_of(self, target: str) -> frozenset[str]:
        """Return the upstreams that a drain of the target covers."""
        if target in self.upstreams:
            return frozenset((target,))
        domains = {
            place.failure_domain
            for place in self.vms.values()
            if target in {place.failure_domain, place.region}
        }
        return frozenset(
            name for name, domain in self.upstreams.items() if domain in domains
        )

    def vms_of(self, target: str) -> frozenset[str]:
        """Return the VMs that a drain of the target covers."""
        return frozenset(
            name
            for name, place in self.vms.items()
            if target in attrs.astuple(place)
        )


@attrs.frozen
class DrainProgress:
    """The progress of one drain at this VM.

    moved is the planned fraction of new requests that go elsewhere by now;
    cached_until is when the last cached look-up naming a drained VM expires.
    """

    target: str
    started_at: float
    moved: float
    in_flight: int
    cached_until: float
    finished_at: float | None = None

    @property
    def drain_s(self) -> float | None:
        """Duration of the drain in seconds, None while it is running."""
        if self.finished_at is None:
            return None
        return self.finished_at - self.started_at


@attrs.define
class _Drain:
    started_at: float
    finished_at: float | None = None


class DrainTracker:
    """The drains of the configuration in force, and their progress."""

    def __init__(
        self,
        topology: Topology,
        ramp_s: float,
        lookup_lifetime_s: float,
    ) -> None:
        """Create a tracker without drains.

        Requests of drained regions and failure domains are moved over ramp_s.
        Cached look-ups name a drained VM for up to lookup_lifetime_s.
        """
        self._topology = topology
        self._ramp_s = ramp_s
        self._lifetime_s = lookup_lifetime_s
        self._drains: dict[str, _Drain] = {}

    @property
    def targets(self) -> frozenset[str]:
        """The names of all drained targets."""
        return frozenset(self._drains)

    def update(self, targets: frozenset[str], now: float) -> None:
        """Start and end drains so that exactly these targets are drained."""
        for ended in self.targets - targets:
            self._drains.pop(ended)
        for started in targets - self.targets:
            self._drains[started] = _Drain(now)

    def moved_fraction(self, place: Place, now: float) -> float:
        """Return the fraction of a place's requests to move elsewhere now.

        The drain of a VM adds nothing here: look-ups direct its requests to
        other VMs.
        """
        fractions = [
            self._ramp_fraction(self._drains[target], now)
            for target in (place.failure_domain, place.region)
            if target in self._drains
        ]
        return max(fractions, default=0)

    def closed_upstreams(self, now: float) -> frozenset[str]:
        """Return the upstreams that get no new requests.

        A drained upstream is closed at once. Those of a drained failure
        domain or region are closed when the ramp has ended and no cached
        look-up names the target's VMs any more.
        """
        closed: set[str] = set()
        for target, drain in self._drains.items():
            is_upstream = target in self._topology.upstreams
            close_after_s = max(self._ramp_s, self._lifetime_s)
            if is_upstream or now >= drain.started_at + close_after_s:
                closed.update(self._topology.upstreams_of(target))
        return frozenset(closed)

    def progress(
        self,
        in_flight: Mapping[str, int],
        now: float,
    ) -> list[DrainProgress]:
        """Return the progress of each drain; record those that finished.

        in_flight counts running requests by VM or upstream name.
        """
        return [
            self._progress_of(target, drain, in_flight, now)
            for target, drain in sorted(self._drains.items())
        ]

    def _progress_of(
        self,
        target: str,
        drain: _Drain,
        in_flight: Mapping[str, int],
        now: float,
    ) -> DrainProgress:
        vms = self._topology.vms_of(target)
        names = vms | self._topology.upstreams_of(target)
        running = sum(in_flight.get(name, 0) for name in names)
        cached_until = drain.started_at
        if vms:
            cached_until += self._lifetime_s
        moved = self._planned_fraction(target, drain, now)
        is_finished = not running and now >= cached_until and moved >= 1
        if is_finished and drain.finished_at is None:
            drain.finished_at = now
        return DrainProgress(
            target=target,
            started_at=drain.started_at,
            moved=moved,
            in_flight=running,
            cached_until=cached_until,
            finished_at=drain.finished_at,
        )

    def _planned_fraction(
        self, target: str, drain: _Drain, now: float
    ) -> float:
        is_upstream = target in self._topology.upstreams
        if is_upstream or target in self._topology.vms:
            return 1
        return self._ramp_fraction(drain, now)

    def _ramp_fraction(self, drain: _Drain, now: float) -> float:
        return min(1, (now - drain.started_at) / self._ramp_s)
