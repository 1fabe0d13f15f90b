"""This VM's part of the requests that a cold upstream takes.

A few VMs, the same for all by the names alone, may send to a cold upstream;
each has an equal part of its rate and may send one request at once.
"""

from collections.abc import Sequence

from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.rendezvous import score
from chestnutshift.steering.upstreams import Upstream

SENDERS_PER_UPSTREAM = 3
# Part of the rate that is used, so that VMs that disagree for a moment about
# who may send do no harm.
RATE_FRACTION = 0.6


class ColdGate:
    """Pace this VM's requests at cold upstreams."""

    def __init__(self, vm: str) -> None:
        """Pace for the named VM."""
        self._vm = vm
        self._vms: Sequence[str] = (vm,)
        self._rates: dict[str, float] = {}
        self._buckets: dict[Upstream, TokenBucket] = {}

    def update(self, vms: Sequence[str], rates: dict[str, float]) -> None:
        """Take the names of all VMs and the cold rate of each service."""
        self._vms = vms
        self._rates = rates

    def may_send(self, upstream: Upstream, now: float) -> bool:
        """Tell whether this VM may send the upstream a request now."""
        bucket = self._bucket(upstream, now)
        bucket.fill(now)
        return bucket.level >= 1

    def take(self, upstream: Upstream, now: float) -> None:
        """Count a request that is sent to the upstream."""
        self._bucket(upstream, now).take(1, now)

    def forget(self, now: float) -> None:
        """Drop the pace of upstreams that are warm."""
        warm = [one for one in self._buckets if not one.is_cold(now)]
        for upstream in warm:
            self._buckets.pop(upstream)

    def _bucket(self, upstream: Upstream, now: float) -> TokenBucket:
        found = self._buckets.get(upstream)
        if found is None:
            rate = self._rate(upstream)
            found = TokenBucket(rate, capacity=1, level=min(1, rate))
            found.updated = now
            self._buckets[upstream] = found
        return found

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
