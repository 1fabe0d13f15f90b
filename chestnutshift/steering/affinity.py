"""Preference order of upstreams for an object.

Each VM computes the order by weighted rendezvous hashing of the upstream ids.
The VMs of a region (for large bodies: of a failure domain) therefore agree
without exchanging messages, and an upstream that is added or removed moves
only its own objects. Upstreams in the VM's failure domain or region have a
higher weight. The order does not depend on load, so the regions that serve a
region's requests do not change as load varies.
"""

import math
from collections.abc import Sequence

import attrs

from chestnutshift.rendezvous import SCORE_END, score
from chestnutshift.steering.upstreams import Upstream

CACHED_ORDERS_MAX = 4096
# For bodies of at least this length the transfer dominates the cost.
LARGE_BODY_MIN_B = 16_384


@attrs.frozen
class LocalityWeights:
    """Weights of upstreams near the VM; one in another region weighs 1."""

    same_domain: float
    same_region: float


SMALL_BODY_WEIGHTS = LocalityWeights(same_domain=2.0, same_region=2.0)
LARGE_BODY_WEIGHTS = LocalityWeights(same_domain=12.0, same_region=4.0)


class PreferenceCache:
    """A cache of the upstreams of a service in preference order."""

    def __init__(self, failure_domain: str, region: str) -> None:
        """Create an empty cache for a VM of that location."""
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

        The cache is cleared when generation, which identifies the set of
        upstreams, changes.
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
