"""Choose the upstream that will answer a request soonest.

The choice weighs what an upstream's knowledge of the object saves against
the queue there, the way to it, and what it showed of late.
"""

import abc
from collections.abc import Callable, Collection

import attrs

from chestnutshift.registry import Registry
from chestnutshift.steering.affinity import Preference
from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.upstreams import Upstream
from chestnutshift.steering.work import WorkEstimate

# How likely the first upstreams of an object's order know it: it goes to the
# first, and to the next ones when that is busy.
WARMTH = (1.0, 0.5)
# From this part of a service's slots on, warming more upstreams is dear.
SPILL_FREE_LOAD = 0.6
# Then an upstream that does not know the object costs so many times what it
# needs longer than one that does.
SPILL_PRICE_MAX = 3.0
# Each place down the order costs a little, so that few upstreams are warmed.
RANK_S = 0.02
OTHER_DOMAIN_S = 0.004
OTHER_REGION_S = 0.04
# What a byte of a body costs on its way, as waiting time.
OTHER_DOMAIN_BYTE_S = 2e-6
OTHER_REGION_BYTE_S = 5e-6
# How slow an upstream may count at most, whatever its answers took.
SLOWNESS_MAX = 8.0
SLOWNESS_MIN = 0.7
COLD_SLOWNESS = 2.0
# An upstream that fails costs the repeat elsewhere.
FAILURE_COST = 3.0

# Tells whether a cold upstream may get one more request now.
ColdGate = Callable[[Upstream, float], bool]


@attrs.frozen
class Demand:
    """A request that wants an upstream.

    object_key names the object that it concerns, empty for none; size_b is
    the length of its body; regions are those that may serve it, empty for
    all.
    """

    service: str
    object_key: bytes = b''
    size_b: int = 0
    regions: frozenset[str] = frozenset()


@attrs.frozen
class Choice:
    """An upstream and the seconds after which its answer is expected.

    cost_s is what the choice is made by; has_room tells whether a slot is
    probably free; warmth is how likely the upstream knows the object.
    """

    upstream: Upstream
    expected_s: float
    warmth: float
    cost_s: float = 0
    has_room: bool = True


POLICIES: Registry[type['ChoicePolicy']] = Registry('policy of steering')


class ChoicePolicy(abc.ABC):
    """Choose among the upstreams that may serve a request."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        failure_domain: str,
        region: str,
    ) -> None:
        """Choose for a VM of that place."""
        self._directory = directory
        self._failure_domain = failure_domain
        self._region = region

    def choose(
        self,
        demand: Demand,
        work: WorkEstimate,
        avoided: Collection[Upstream],
        may_warm: ColdGate,
        now: float,
    ) -> Choice | None:
        """Return the best upstream, None if none may serve the request."""
        ranked = self._rank(demand, work, now)
        for choice in sorted(ranked, key=_cost_s):
            upstream = choice.upstream
            if upstream in avoided:
                continue
            if upstream.is_cold(now) and not may_warm(upstream, now):
                continue
            return choice
        return None

    @abc.abstractmethod
    def _rank(
        self,
        demand: Demand,
        work: WorkEstimate,
        now: float,
    ) -> list[Choice]:
        """Return what each usable upstream would make of the request."""

    def _may_serve(self, upstream: Upstream, demand: Demand) -> bool:
        if demand.regions and upstream.region not in demand.regions:
            return False
        return self._directory.is_usable(upstream)


@POLICIES.register('least_busy')
class LeastBusyPolicy(ChoicePolicy):
    """The upstream with the smallest part of its slots in use."""

    def _rank(
        self,
        demand: Demand,
        work: WorkEstimate,
        now: float,
    ) -> list[Choice]:
        return [
            Choice(
                upstream,
                work.cold_s * (1 + upstream.load(now) / upstream.slots),
                warmth=0,
                cost_s=upstream.load(now) / upstream.slots,
                has_room=upstream.load(now) < upstream.slots,
            )
            for upstream in self._directory.of_service(demand.service)
            if self._may_serve(upstream, demand)
        ]


@POLICIES.register('soonest')
class SoonestPolicy(ChoicePolicy):
    """The upstream from which an answer is expected first."""

    def __init__(
        self,
        directory: UpstreamDirectory,
        failure_domain: str,
        region: str,
    ) -> None:
        """Remember the order of each object."""
        super().__init__(directory, failure_domain, region)
        self._preference = Preference(failure_domain, region)

    def _rank(
        self,
        demand: Demand,
        work: WorkEstimate,
        now: float,
    ) -> list[Choice]:
        directory = self._directory
        order = self._preference.order(
            demand.service,
            demand.object_key,
            demand.size_b,
            directory.of_service(demand.service),
            directory.generation,
        )
        spill_s = self._spill_price(demand.service, now) * (
            work.cold_s - work.warm_s
        )
        usable = [one for one in order if self._may_serve(one, demand)]
        choices = []
        for rank, upstream in enumerate(usable):
            warmth = WARMTH[rank] if rank < len(WARMTH) else 0
            if upstream.has_handled(demand.object_key, now):
                warmth = 1
            extra_s = RANK_S * min(rank, 1) if warmth == 1 else spill_s
            choices.append(
                self._expect(upstream, demand, work, now, warmth, extra_s),
            )
        return choices

    def _spill_price(self, service: str, now: float) -> float:
        """Return what warming another upstream takes from other requests."""
        load = self._directory.busy_part(service, now)
        over = (load - SPILL_FREE_LOAD) / (1 - SPILL_FREE_LOAD)
        return SPILL_PRICE_MAX * min(1, max(0, over))

    def _expect(
        self,
        upstream: Upstream,
        demand: Demand,
        work: WorkEstimate,
        now: float,
        warmth: float,
        extra_s: float,
    ) -> Choice:
        own_s = work.expected_s(warmth)
        slowness = min(SLOWNESS_MAX, max(SLOWNESS_MIN, upstream.slowness))
        if upstream.is_cold(now):
            slowness = max(slowness, COLD_SLOWNESS)
        load = upstream.load(now)
        queued = max(0, load + 1 - upstream.slots)
        wait_s = queued / upstream.slots * work.warm_s
        # Among free ones the emptier is a little better.
        lean_s = work.warm_s * (load / upstream.slots) ** 2 / 4
        travel_s = self._travel_s(upstream, demand.size_b)
        expected_s = (own_s + wait_s) * slowness + travel_s
        retried = 1 + FAILURE_COST * upstream.failure_rate
        return Choice(
            upstream,
            expected_s,
            warmth,
            cost_s=(expected_s + lean_s * slowness) * retried + extra_s,
            has_room=queued <= 0,
        )

    def _travel_s(self, upstream: Upstream, size_b: int) -> float:
        if upstream.region != self._region:
            return OTHER_REGION_S + size_b * OTHER_REGION_BYTE_S
        if upstream.registration.failure_domain != self._failure_domain:
            return OTHER_DOMAIN_S + size_b * OTHER_DOMAIN_BYTE_S
        return 0


def _cost_s(choice: Choice) -> float:
    return choice.cost_s
