"""The order in which upstreams are preferred for an object.

Every VM of a region computes the same order from the ids alone (weighted
rendezvous hashing), so no message is needed, and an upstream that comes or
goes moves only its own objects. Upstreams that are near weigh more; the order
does not depend on load, so the regions in which a region's requests run stay
the same while load swings.
"""

import math
from collections.abc import Sequence

import attrs

from chestnutshift.rendezvous import SCORE_END, score
from chestnutshift.steering.upstreams import Upstream

CACHED_ORDERS_MAX = 4096
# A body from this length on is heavy: the way it goes is what it costs.
LARGE_BODY_MIN_B = 16_384


@attrs.frozen
class LocalityWeights:
    """How much more an upstream near the VM weighs than one far away."""

    same_domain: float
    same_region: float


SMALL_BODY_WEIGHTS = LocalityWeights(same_domain=2.0, same_region=2.0)
LARGE_BODY_WEIGHTS = LocalityWeights(same_domain=12.0, same_region=4.0)


class PreferenceCache:
    """The upstreams of a service in the order of an object, remembered."""

    def __init__(self, failure_domain: str, region: str) -> None:
        """Prefer what is near that place."""
        self._failure_domain = failure_domain
        self._region = region
        self._generation = -1
        self._orders: dict[tuple[str, bytes, bool], tuple[Upstream, ...]] = {}

    def order(
        self,
        service: str,
        object_key: bytes,
        size_b: int,
        upstreams: Sequence[Upstream],
        generation: int,
    ) -> tuple[Upstream, ...]:
        """Return the upstreams, the most preferred first.

        generation changes whenever the upstreams do.
        """
        if (
            generation != self._generation
            or len(self._orders) > CACHED_ORDERS_MAX
        ):
            self._orders.clear()
            self._generation = generation
        is_large = size_b >= LARGE_BODY_MIN_B
        order = self._orders.get((service, object_key, is_large))
        if order is None:
            weights = LARGE_BODY_WEIGHTS if is_large else SMALL_BODY_WEIGHTS
            order = self._rank(object_key, upstreams, weights)
            self._orders[service, object_key, is_large] = order
        return order

    def _rank(
        self,
        object_key: bytes,
        upstreams: Sequence[Upstream],
        weights: LocalityWeights,
    ) -> tuple[Upstream, ...]:
        def cost(upstream: Upstream) -> float:
            uniform = (score(object_key, upstream.name) + 1) / (SCORE_END + 1)
            return -math.log(uniform) / self._weight(upstream, weights)

        return tuple(sorted(upstreams, key=cost))

    def _weight(self, upstream: Upstream, weights: LocalityWeights) -> float:
        if upstream.registration.failure_domain == self._failure_domain:
            return weights.same_domain
        if upstream.region == self._region:
            return weights.same_region
        return 1
