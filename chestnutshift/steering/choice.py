"""Choose the upstream with the lowest expected cost for a request.

The cost weighs the time saved at an upstream that has the object cached
against its queue, the network distance, and its recent latency and failures.
"""

import abc
import math
from collections.abc import Callable, Collection

import attrs

from chestnutshift.registry import Registry
from chestnutshift.steering.affinity import PreferenceCache
from chestnutshift.steering.costs import ServiceCosts, extra_work_price
from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.service_time import (
    CacheState,
    ServiceTimeEstimate,
    cache_state,
)
from chestnutshift.steering.upstreams import Upstream

# Utilization of a service's slots up to which another upstream relieves one
# that is too busy, and the load per slot that this other one may have.
RELIEF_UTILIZATION_MAX = 0.75
RELIEF_LOAD_RATIO = 0.5
# Upstreams without a limited rate that are considered without knowledge of the
# object in their caches: the first of its order.
CANDIDATES_MAX = 8
# Small cost of an upstream that is not the first of the order, so that
# objects stay on few upstreams.
LOWER_RANK_PENALTY_S = 0.02
# Network latency to another failure domain or region.
CROSS_DOMAIN_S = 0.004
CROSS_REGION_S = 0.04
# Seconds of waiting that the transfer of one body byte is worth.
CROSS_DOMAIN_BYTE_S = 2e-6
CROSS_REGION_BYTE_S = 5e-6
# Bounds of the slowness that is taken into account.
SLOWNESS_MAX = 8.0
SLOWNESS_MIN = 0.7
# Lowest slowness that is assumed for a cold upstream.
COLD_SLOWNESS_MIN = 2.0
# Tells whether this VM may send an upstream one more request now.
RateCheck = Callable[[Upstream, float], bool]


@attrs.frozen
class RequestProfile:
    """The properties of a request that determine its upstream.

    object_key identifies the requested object, empty for none; size_b is the
    length of the bodies of request and answer in bytes; regions are those that
    may serve the request, empty for all.
    """

    service: str
    object_key: bytes = b''
    size_b: int = 0
    regions: frozenset[str] = frozenset()


@attrs.frozen
class Choice:
    """A candidate upstream and its expected response time in seconds.

    Candidates are compared by cost_s; has_room tells whether a slot is
    probably free; state is what is known about the object in its cache.
    """

    upstream: Upstream
    expected_s: float
    state: CacheState
    cost_s: float = 0
    has_room: bool = True


POLICIES: Registry[type['ChoicePolicy']] = Registry('steering policy')


class ChoicePolicy(abc.ABC):
    """A policy that ranks the upstreams that may serve a request by cost."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        failure_domain: str,
        region: str,
    ) -> None:
        """Create the policy of a VM in that failure domain and region."""
        self._directory = directory
        self._failure_domain = failure_domain
        self._region = region

    def choose(
        self,
        profile: RequestProfile,
        estimate: ServiceTimeEstimate,
        avoided: Collection[Upstream],
        may_send: RateCheck,
        now: float,
        late_after_s: float = math.inf,
    ) -> Choice | None:
        """Return the choice of lowest cost, None if there is no candidate.

        Upstreams in avoided are skipped, and so are those that may_send
        rejects. If the request would queue and be answered after more than
        late_after_s, a less busy upstream may relieve it.
        """
        ranked = sorted(self._rank(profile, estimate, now), key=_cost_s)
        usable = [
            choice
            for choice in ranked
            if choice.upstream not in avoided and may_send(choice.upstream, now)
        ]
        if not usable:
            return None
        best = usable[0]
        if best.has_room or best.expected_s <= late_after_s:
            return best
        return self._relief(profile.service, usable, now) or best

    def _relief(
        self, service: str, choices: Collection[Choice], now: float
    ) -> Choice | None:
        """Return a half idle upstream, None if there is none for relief.

        It is one that this VM sent the object to, or among the first two of
        the order. While the whole service is busy there is no relief: the
        work without the object would fill the slots that others need.
        """
        if self._directory.utilization(service, now) > RELIEF_UTILIZATION_MAX:
            return None
        for choice in choices:
            upstream = choice.upstream
            is_idle = upstream.load(now) <= upstream.slots * RELIEF_LOAD_RATIO
            if is_idle and choice.state is not CacheState.OTHER:
                return choice
        return None

    @abc.abstractmethod
    def _rank(
        self,
        profile: RequestProfile,
        estimate: ServiceTimeEstimate,
        now: float,
    ) -> list[Choice]:
        """Return a candidate for each upstream that may serve the request."""

    def _may_serve(self, upstream: Upstream, profile: RequestProfile) -> bool:
        if profile.regions and upstream.region not in profile.regions:
            return False
        return self._directory.is_usable(upstream)


@POLICIES.register('least_busy')
class LeastBusyPolicy(ChoicePolicy):
    """A policy that prefers the upstream with the lowest slot utilization."""

    def _rank(
        self,
        profile: RequestProfile,
        estimate: ServiceTimeEstimate,
        now: float,
    ) -> list[Choice]:
        return [
            Choice(
                upstream,
                estimate.mean_s * (1 + upstream.load(now) / upstream.slots),
                CacheState.OTHER,
                cost_s=upstream.load(now) / upstream.slots,
                has_room=upstream.load(now) < upstream.slots,
            )
            for upstream in self._directory.of_service(profile.service)
            if self._may_serve(upstream, profile)
        ]


@POLICIES.register('soonest')
class SoonestPolicy(ChoicePolicy):
    """A policy that prefers the earliest expected answer."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        failure_domain: str,
        region: str,
    ) -> None:
        """Create the policy with an empty cache of preference orders."""
        super().__init__(directory, failure_domain, region)
        self._preferences = PreferenceCache(failure_domain, region)

    def _rank(
        self,
        profile: RequestProfile,
        estimate: ServiceTimeEstimate,
        now: float,
    ) -> list[Choice]:
        directory = self._directory
        order = self._preferences.order(
            profile.service,
            profile.object_key,
            profile.size_b,
            directory.of_service(profile.service),
            directory.generation,
        )
        usable = [
            upstream for upstream in order if self._may_serve(upstream, profile)
        ]
        costs = ServiceCosts(
            estimate,
            extra_work_price(directory.utilization(profile.service, now)),
            _mean_failure_rate(usable),
        )
        if not profile.object_key:
            return [
                self._estimate(
                    upstream, 0, CacheState.NO_OBJECT, profile, costs, now
                )
                for upstream in usable
            ]
        choices = []
        unlimited_count = 0
        for rank, upstream in enumerate(usable):
            age_s = upstream.object_age_s(profile.object_key, now)
            state = cache_state(rank, age_s)
            if state is CacheState.OTHER and unlimited_count >= CANDIDATES_MAX:
                continue
            unlimited_count += not upstream.is_limited(now)
            choices.append(
                self._estimate(upstream, rank, state, profile, costs, now)
            )
        return choices

    def _estimate(
        self,
        upstream: Upstream,
        rank: int,
        state: CacheState,
        profile: RequestProfile,
        costs: ServiceCosts,
        now: float,
    ) -> Choice:
        slowness = min(SLOWNESS_MAX, max(SLOWNESS_MIN, upstream.slowness))
        if upstream.is_cold(now):
            slowness = max(slowness, COLD_SLOWNESS_MIN)
        load = upstream.load(now)
        queued = max(0, load + 1 - upstream.slots)
        wait_s = queued / upstream.slots * costs.estimate.mean_s
        # Prefers the less utilized of otherwise equal upstreams.
        balance_s = costs.estimate.mean_s * (load / upstream.slots) ** 2 / 4
        work_s = costs.estimate.expected_s(state)
        expected_s = (work_s + wait_s) * slowness
        expected_s += self._network_s(upstream, profile.size_b)
        return Choice(
            upstream,
            expected_s,
            state,
            cost_s=expected_s
            + balance_s * slowness
            + costs.extra_work_s(state, slowness, rank)
            + costs.failure_s(upstream.failure_rate)
            + LOWER_RANK_PENALTY_S * min(rank, 1),
            has_room=queued <= 0,
        )

    def _network_s(self, upstream: Upstream, size_b: int) -> float:
        if upstream.region != self._region:
            return CROSS_REGION_S + size_b * CROSS_REGION_BYTE_S
        if upstream.registration.failure_domain != self._failure_domain:
            return CROSS_DOMAIN_S + size_b * CROSS_DOMAIN_BYTE_S
        return 0


def _cost_s(choice: Choice) -> float:
    return choice.cost_s


def _mean_failure_rate(upstreams: Collection[Upstream]) -> float:
    rates = [upstream.failure_rate for upstream in upstreams]
    return sum(rates) / len(rates) if rates else 0
