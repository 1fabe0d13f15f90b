"""Choose the upstream with the lowest expected cost for a request.

The cost weighs the time saved at an upstream that has the object cached
against its queue, the network distance, and its recent latency and failures.
"""

import abc
from collections.abc import Callable, Collection

import attrs

from chestnutshift.registry import Registry
from chestnutshift.steering.affinity import PreferenceCache
from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.service_time import (
    CacheState,
    ServiceTimeEstimate,
    cache_state,
)
from chestnutshift.steering.upstreams import Upstream

# Price of the extra work at an upstream that probably does not have the object
# cached, or that is slow, as a multiple of its time: it takes slots from other
# requests, and the upstream forgets another object. The price grows above a
# utilization of the service's slots, up to full utilization.
EXTRA_WORK_PRICE_MIN = 4.0
EXTRA_WORK_PRICE_MAX = 6.0
PRICE_UTILIZATION_MIN = 0.6
# Small cost of an upstream that is not the first of the order, so that
# objects stay on few upstreams.
LOWER_RANK_PENALTY_S = 0.02
# Increase of that price for each further rank, so that the spills of an object
# meet.
RANK_PRICE = 0.1
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
# Cost at a failure rate of 1, as a multiple of the time without the object
# cached and beside its price: a failed attempt costs a retry elsewhere.
FAILURE_COST_RATIO = 3.0

# Tells whether a cold upstream may receive one more request now.
ColdCheck = Callable[[Upstream, float], bool]


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
        may_send_cold: ColdCheck,
        now: float,
    ) -> Choice | None:
        """Return the choice of lowest cost, None if there is no candidate.

        Upstreams in avoided are skipped, and so are cold ones that
        may_send_cold rejects.
        """
        ranked = self._rank(profile, estimate, now)
        for choice in sorted(ranked, key=_cost_s):
            upstream = choice.upstream
            if upstream in avoided:
                continue
            if upstream.is_cold(now) and not may_send_cold(upstream, now):
                continue
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
        price = self._extra_work_price(profile.service, now)
        usable = [
            upstream for upstream in order if self._may_serve(upstream, profile)
        ]
        choices = []
        for rank, upstream in enumerate(usable):
            age_s = upstream.object_age_s(profile.object_key, now)
            state = cache_state(rank, age_s)
            rank_price = price
            if state is CacheState.OTHER:
                rank_price += RANK_PRICE * rank
            choice = self._estimate(
                upstream, profile, estimate, now, state, rank_price
            )
            if rank:
                cost_s = choice.cost_s + LOWER_RANK_PENALTY_S
                choice = attrs.evolve(choice, cost_s=cost_s)
            choices.append(choice)
        return choices

    def _extra_work_price(self, service: str, now: float) -> float:
        """Return the price of extra work, in seconds of waiting a second."""
        utilization = self._directory.utilization(service, now)
        excess = (utilization - PRICE_UTILIZATION_MIN) / (
            1 - PRICE_UTILIZATION_MIN
        )
        excess = min(1, max(0, excess))
        return EXTRA_WORK_PRICE_MIN + excess * (
            EXTRA_WORK_PRICE_MAX - EXTRA_WORK_PRICE_MIN
        )

    def _estimate(
        self,
        upstream: Upstream,
        profile: RequestProfile,
        estimate: ServiceTimeEstimate,
        now: float,
        state: CacheState,
        price: float,
    ) -> Choice:
        slowness = min(SLOWNESS_MAX, max(SLOWNESS_MIN, upstream.slowness))
        if upstream.is_cold(now):
            slowness = max(slowness, COLD_SLOWNESS_MIN)
        load = upstream.load(now)
        queued = max(0, load + 1 - upstream.slots)
        wait_s = queued / upstream.slots * estimate.mean_s
        # Prefers the less utilized of otherwise equal upstreams.
        balance_s = estimate.mean_s * (load / upstream.slots) ** 2 / 4
        network_s = self._network_s(upstream, profile.size_b)
        service_s = estimate.expected_s(state)
        expected_s = (service_s + wait_s) * slowness + network_s
        extra_s = _assumed_s(estimate, state) * slowness - estimate.shortest_s
        retry_s = estimate.expected_s(CacheState.OTHER)
        return Choice(
            upstream,
            expected_s,
            state,
            cost_s=expected_s
            + balance_s * slowness
            + price * max(0, extra_s)
            + (FAILURE_COST_RATIO + price) * retry_s * upstream.failure_rate,
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


def _assumed_s(estimate: ServiceTimeEstimate, state: CacheState) -> float:
    """Return the service time by which extra work is priced, in seconds.

    The object is assumed not to be cached at the second upstream of its order:
    sending it there means that two upstreams cache it.
    """
    if state is CacheState.SECOND:
        state = CacheState.OTHER
    return estimate.expected_s(state)
