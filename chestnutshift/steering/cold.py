"""This VM's share of the request rate that a cold upstream accepts.

Only a few VMs, which all VMs determine alike by rendezvous hashing of the VM
names, may send to a cold upstream. Each of them has an equal share of the
upstream's cold rate, in a token bucket with a capacity of one request.
"""

from collections.abc import Sequence

from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.rendezvous import score
from chestnutshift.steering.upstreams import Upstream

SENDERS_PER_UPSTREAM = 3
# Fraction of the cold rate that is used, so that the rate holds while VMs
# briefly disagree about which of them are senders.
RATE_FRACTION = 0.6


class ColdRateLimiter:
    """A rate limiter for this VM's requests to cold upstreams."""

    def __init__(self, vm: str) -> None:
        """Create the limiter of the named VM, which knows no other VM yet."""
        self._vm = vm
        self._vms: Sequence[str] = (vm,)
        self._rates: dict[str, float] = {}
        self._buckets: dict[Upstream, TokenBucket] = {}

    def update(
        self, vms: Sequence[str], rates: dict[str, float], now: float
    ) -> None:
        """Set the names of all VMs and the cold rate of each service.

        Rates are requests per second of all VMs together.
        """
        if (vms, rates) == (self._vms, self._rates):
            return
        self._vms = vms
        self._rates = rates
        for upstream, bucket in self._buckets.items():
            rate = self._rate(upstream)
            bucket.resize(rate, 1 if rate else 0, now)

    def may_send(self, upstream: Upstream, now: float) -> bool:
        """Return whether this VM may send the cold upstream a request now."""
        bucket = self._bucket(upstream, now)
        bucket.fill(now)
        return bucket.level >= 1

    def take(self, upstream: Upstream, now: float) -> None:
        """Count a request that is sent to the cold upstream."""
        self._bucket(upstream, now).take(1, now)

    def drop_warm(self, now: float) -> None:
        """Drop the buckets of upstreams that are no longer cold."""
        warm = [
            upstream for upstream in self._buckets if not upstream.is_cold(now)
        ]
        for upstream in warm:
            self._buckets.pop(upstream)

    def _bucket(self, upstream: Upstream, now: float) -> TokenBucket:
        bucket = self._buckets.get(upstream)
        if bucket is None:
            rate = self._rate(upstream)
            bucket = TokenBucket(rate, capacity=1, level=min(1, rate))
            bucket.updated = now
            self._buckets[upstream] = bucket
        return bucket

    def _rate(self, upstream: Upstream) -> float:
        name = upstream.name.encode()
        senders = sorted(
            self._vms,
            key=lambda vm: score(name, vm),
            reverse=True,
        )[:SENDERS_PER_UPSTREAM]
        if self._vm not in senders:
            return 0
        rate = self._rates.get(upstream.registration.service, 0)
        return rate * RATE_FRACTION / len(senders)
