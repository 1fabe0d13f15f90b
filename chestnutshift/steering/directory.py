"""Directory of the upstreams of each service, as listed in the store."""

import math
from collections.abc import Iterable, Mapping, Sequence

from chestnutshift.steering.reachability import UpstreamReach
from chestnutshift.steering.registration_order import (
    is_newer,
    is_older,
    is_same_run,
)
from chestnutshift.steering.removed_upstreams import RemovedUpstreams
from chestnutshift.steering.upstreams import (
    Condition,
    Registration,
    Upstream,
)

# If removals after a store outage would leave a service less than this
# fraction of its peak number of upstreams, the registrations are assumed to
# have lapsed, and removal is deferred. Otherwise going without a few upstreams
# costs less than sending requests to one that has left.
REMAINING_RATIO_MIN = 0.6


class UpstreamDirectory:
    """All upstreams by id and by service; times are boot time in seconds.

    reach tells whether this VM reaches upstreams at all.
    """

    def __init__(self, regions: Mapping[str, str]) -> None:
        """Create an empty directory; regions maps failure domain to region."""
        self.reach = UpstreamReach()
        self._regions = regions
        self._by_name: dict[str, Upstream] = {}
        self._by_service: dict[str, list[Upstream]] = {}
        self._evacuated: frozenset[str] = frozenset()
        self._removed = RemovedUpstreams()
        # When to apply removals that came while registrations may have lapsed.
        self._deferred: dict[str, float] = {}
        self._defer_removals_until = -math.inf
        self._generation = 0
        # Largest number of upstreams that each service has had.
        self._peak_counts: dict[str, int] = {}

    @property
    def generation(self) -> int:
        """A counter that increases whenever the set of upstreams changes."""
        return self._generation

    @property
    def evacuated(self) -> frozenset[str]:
        """Failure domains whose upstreams receive no requests."""
        return self._evacuated

    def __iter__(self) -> Iterable[Upstream]:
        """Iterate over all registered upstreams."""
        return iter(tuple(self._by_name.values()))

    def find(self, name: str) -> Upstream | None:
        """Return the upstream of that id, None if it is not registered."""
        return self._by_name.get(name)

    def utilization(self, service: str, now: float) -> float:
        """Return load per usable slot of a service; above 1 requests queue.

        An upstream that names a limit, or asks for a pause, has no slots left
        beside its load.
        """
        usable = [
            upstream
            for upstream in self.of_service(service)
            if self.is_usable(upstream)
        ]
        slots = sum(
            upstream.slots
            if upstream.rate_limit is None and not upstream.is_paused(now)
            else upstream.load(now)
            for upstream in usable
        )
        return (
            sum(upstream.load(now) for upstream in usable) / slots
            if slots
            else 1
        )

    def of_service(self, service: str) -> Sequence[Upstream]:
        """Return the registered upstreams of a service."""
        return self._by_service.get(service, ())

    def is_usable(self, upstream: Upstream) -> bool:
        """Return whether the upstream may receive requests, cold or not."""
        if upstream.condition is not Condition.READY:
            return False
        return upstream.registration.failure_domain not in self._evacuated

    def register(
        self,
        registration: Registration,
        now: float,
        *,
        is_copy: bool = False,
    ) -> Upstream | None:
        """Add or update an upstream by its registration; return its state.

        Returns None for a stale registration of a removed upstream. is_copy
        tells that the row may be older than those registered before: only a
        newer one than the upstream's last is then applied.
        """
        known = self._by_name.get(registration.upstream)
        last = known or self._removed.find(registration.upstream)
        if is_copy and last and not is_newer(registration, last.registration):
            return known
        self._deferred.pop(registration.upstream, None)
        if known and not is_same_run(registration, known.registration):
            self._drop(known)
            known = None
        elif last and is_older(registration, last.registration):
            return known
        upstream = known or self._add(registration)
        upstream.update(registration, now)
        return upstream

    def unregister(self, names: Iterable[str], now: float) -> list[str]:
        """Remove upstreams whose rows are gone; return the ids removed.

        While registrations may have lapsed in a store outage, removals that
        would leave a service too few upstreams are deferred, see `expire`.
        """
        missing = [
            self._by_name[name] for name in names if name in self._by_name
        ]
        is_deferred = now < self._defer_removals_until
        short_services: set[str] = set()
        if is_deferred:
            missing_names = {upstream.name for upstream in missing} | set(
                self._deferred
            )
            short_services = {
                service
                for service, upstreams in self._by_service.items()
                if _are_too_few(
                    upstreams, missing_names, self._peak_counts[service]
                )
            }
        dropped = []
        for upstream in missing:
            if upstream.registration.service in short_services:
                self._deferred.setdefault(
                    upstream.name, self._defer_removals_until
                )
            else:
                self._deferred.pop(upstream.name, None)
                self._drop(upstream)
                dropped.append(upstream.name)
        return dropped

    def defer_removals(self, until: float) -> None:
        """Defer mass removals until then, after a store outage."""
        self._defer_removals_until = until

    def expire(self, now: float) -> list[str]:
        """Apply the deferred removals that are due; return their ids."""
        due = [name for name, at in self._deferred.items() if now >= at]
        for name in due:
            self._deferred.pop(name)
            known = self._by_name.get(name)
            if known is not None:
                self._drop(known)
        return due

    def keep_only(
        self, names: Iterable[str], now: float, grace_s: float = 0
    ) -> None:
        """Unregister all upstreams but these, after a read of all rows.

        An upstream that does not register again is removed after grace_s.
        """
        missing = sorted(self._by_name.keys() - set(names))
        if not grace_s:
            self.unregister(missing, now)
            return
        for name in missing:
            self._deferred.setdefault(name, now + grace_s)

    def evacuate(
        self,
        domains: frozenset[str],
        cold_s: Mapping[str, float],
        now: float,
    ) -> None:
        """Set the evacuated failure domains.

        Upstreams of domains that are no longer evacuated are cold for cold_s
        seconds, given by service.
        """
        returned = self._evacuated - domains
        self._evacuated = domains
        for upstream in self._by_name.values():
            registration = upstream.registration
            if registration.failure_domain in returned:
                duration_s = cold_s.get(registration.service, 0)
                upstream.record_cold(duration_s, now)

    def _add(self, registration: Registration) -> Upstream:
        domain = registration.failure_domain
        upstream = self._removed.revive(registration) or Upstream(
            registration, self._regions.get(domain, '')
        )
        self._by_name[upstream.name] = upstream
        same_service = self._by_service.setdefault(registration.service, [])
        same_service.append(upstream)
        self._generation += 1
        peak = self._peak_counts.get(registration.service, 0)
        self._peak_counts[registration.service] = max(peak, len(same_service))
        return upstream

    def _drop(self, upstream: Upstream) -> None:
        self._by_name.pop(upstream.name)
        self._removed.keep(upstream)
        self._by_service[upstream.registration.service].remove(upstream)
        self._generation += 1


def _are_too_few(
    upstreams: list[Upstream],
    missing: set[str],
    peak: int,
) -> bool:
    """Return whether too few of a service's upstreams would remain."""
    remaining = sum(upstream.name not in missing for upstream in upstreams)
    return remaining < peak * REMAINING_RATIO_MIN
