"""The order in which upstreams are preferred for an object.

Every VM computes the same order from the ids alone (rendezvous hashing), so
no message is needed, and an upstream that comes or goes moves only its own
objects.
"""

from collections.abc import Sequence
from hashlib import blake2b

from chestnutshift.steering.upstreams import Upstream

SCORE_B = 8
ORDERS_KEPT = 4096


def score(object_key: bytes, name: str) -> int:
    """Return the weight of a name for an object; the highest is preferred."""
    digest = blake2b(object_key, digest_size=SCORE_B, key=name.encode()[:64])
    return int.from_bytes(digest.digest())


class Preference:
    """The upstreams of a service in the order of an object, remembered."""

    def __init__(self) -> None:
        """Start with nothing remembered."""
        self._generation = -1
        self._orders: dict[tuple[str, bytes], tuple[Upstream, ...]] = {}

    def order(
        self,
        service: str,
        object_key: bytes,
        upstreams: Sequence[Upstream],
        generation: int,
    ) -> tuple[Upstream, ...]:
        """Return the upstreams, the most preferred first.

        generation changes whenever the upstreams do.
        """
        if generation != self._generation or len(self._orders) > ORDERS_KEPT:
            self._orders.clear()
            self._generation = generation
        found = self._orders.get((service, object_key))
        if found is None:
            found = _order(object_key, upstreams)
            self._orders[service, object_key] = found
        return found


def _order(
    object_key: bytes,
    upstreams: Sequence[Upstream],
) -> tuple[Upstream, ...]:
    def weight(upstream: Upstream) -> int:
        return score(object_key, upstream.name)

    return tuple(sorted(upstreams, key=weight, reverse=True))
