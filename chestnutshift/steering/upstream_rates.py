"""This VM's share of the request rates that upstreams accept.

Some upstreams accept only a certain rate from all VMs together: while they
are cold, or while they name a limit in their answers; the lower rate applies.
An upstream of which an isolated VM has no recent report may be cold as well.
Only some VMs, which all VMs determine alike by rendezvous hashing of the VM
names, may send to such an upstream. Each of them has an equal share of the
rate, in a token bucket. An upstream that has asked this VM for a pause gets
nothing from it until then.
"""

import math
from collections.abc import Callable, Iterable, Mapping, Sequence

import attrs

from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.accounts.demand_average import DemandAverage
from chestnutshift.rendezvous import score
from chestnutshift.steering.upstreams import Upstream

# VMs that may send to an upstream: at least so many, and more if each of them
# may send so many requests per second.
SENDERS_MIN = 3
SENDER_RATE_MIN = 1.2
# A VM may save the requests of so many seconds, and at least one.
SAVED_S = 0.5
# Fractions of the rates that are used, so that they hold while VMs briefly
# disagree about which of them are senders. A cold upstream may fail beyond its
# rate.
COLD_RATE_FRACTION = 0.6
NAMED_RATE_FRACTION = 0.9


def _never(_now: float) -> bool:
    return False


@attrs.define
class _Allowance:
    """This VM's share of the rate that all VMs may send to an upstream."""

    fleet_rate: float
    bucket: TokenBucket


@attrs.define
class UpstreamRates:
    """Rate limiters for this VM's requests to upstreams that need one."""

    _vm: str
    # Tells whether reports on upstreams may not reach this VM.
    _is_isolated: Callable[[float], bool] = _never
    _vms: Sequence[str] = ()
    _cold_rates: Mapping[str, float] = attrs.field(factory=dict)
    _allowances: dict[Upstream, _Allowance] = attrs.field(factory=dict)
    # Requests refused for want of room, by service.
    _refused: dict[str, DemandAverage] = attrs.field(factory=dict)

    def update(
        self, vms: Sequence[str], cold_rates: dict[str, float], now: float
    ) -> None:
        """Set the VMs that may be senders and the cold rate of each service.

        Rates are requests per second of all VMs together.
        """
        if (vms, cold_rates) != (self._vms, self._cold_rates):
            self._vms = vms
            self._cold_rates = cold_rates
            for upstream, allowance in self._allowances.items():
                self._resize(upstream, allowance, now)
        self._drop_unlimited(now)

    def may_send(self, upstream: Upstream, now: float) -> bool:
        """Return whether this VM may send the upstream a request now."""
        upstream.asked_at = now
        if upstream.is_paused(now):
            return False
        allowance = self._allowance(upstream, now)
        if allowance is None:
            return True
        allowance.bucket.fill(now)
        return allowance.bucket.level >= 1

    def record_send(self, upstream: Upstream, now: float) -> None:
        """Count a request that is sent to the upstream."""
        allowance = self._allowance(upstream, now)
        if allowance is not None:
            allowance.bucket.take(1, now)

    def room_s(
        self, service: str, upstreams: Iterable[Upstream], now: float
    ) -> float:
        """Return in how long the refused requests of a second can be sent.

        Counts a request that is refused for want of an upstream with room.
        Infinite if this VM may send to none of the limited upstreams, and 0
        if none of the upstreams is limited.
        """
        limited = [
            upstream
            for upstream in upstreams
            if self._fleet_rate(upstream, now) is not None
        ]
        if not limited:
            return 0
        refused = self._refused.setdefault(service, DemandAverage())
        refused.count(now)
        rate = sum(
            self._allowance(upstream, now).bucket.rate for upstream in limited
        )
        return refused.rate_at(now) / rate if rate else math.inf

    def is_first_sender(self, upstream: Upstream) -> bool:
        """Return whether this VM is the first to send, of all VMs."""
        return self._senders(upstream, 1) == [self._vm]

    def _fleet_rate(self, upstream: Upstream, now: float) -> float | None:
        """Return the rate of all VMs together, None without a limit."""
        rates = []
        if upstream.rate_limit is not None:
            rates.append(upstream.rate_limit * NAMED_RATE_FRACTION)
        if self._may_be_cold(upstream, now):
            service = upstream.registration.service
            cold_rate = self._cold_rates.get(service, 0)
            rates.append(cold_rate * COLD_RATE_FRACTION)
        return min(rates, default=None)

    def _may_be_cold(self, upstream: Upstream, now: float) -> bool:
        if upstream.is_cold(now):
            return True
        return now >= upstream.verified_until and self._is_isolated(now)

    def _allowance(self, upstream: Upstream, now: float) -> _Allowance | None:
        """Return this VM's share of the upstream's rate, if it has one."""
        rate = self._fleet_rate(upstream, now)
        if rate is None:
            return None
        allowance = self._allowances.get(upstream)
        if allowance is None:
            allowance = _Allowance(rate, TokenBucket(updated=now))
            self._resize(upstream, allowance, now)
            allowance.bucket.add(1)
            self._allowances[upstream] = allowance
        elif allowance.fleet_rate != rate:
            allowance.fleet_rate = rate
            self._resize(upstream, allowance, now)
        return allowance

    def _resize(
        self, upstream: Upstream, allowance: _Allowance, now: float
    ) -> None:
        rate = allowance.fleet_rate * self._share(
            upstream, allowance.fleet_rate
        )
        capacity = max(1, rate * SAVED_S) if rate else 0
        allowance.bucket.resize(rate, capacity, now)

    def _share(self, upstream: Upstream, fleet_rate: float) -> float:
        """Return this VM's part of the rate; 0 if it is not a sender."""
        count = max(SENDERS_MIN, int(fleet_rate / SENDER_RATE_MIN))
        senders = self._senders(upstream, count)
        return 1 / len(senders) if self._vm in senders else 0

    def _senders(self, upstream: Upstream, count: int) -> list[str]:
        """Return the VMs that may send to the upstream, the first first."""
        name = upstream.name.encode()
        ranked = sorted(self._vms, key=lambda vm: score(name, vm), reverse=True)
        return ranked[:count]

    def _drop_unlimited(self, now: float) -> None:
        unlimited = [
            upstream
            for upstream in self._allowances
            if self._fleet_rate(upstream, now) is None
        ]
        for upstream in unlimited:
            self._allowances.pop(upstream)
