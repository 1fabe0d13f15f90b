"""This VM's part of each account's rate and burst, by demand.

Every VM tells its peers what its callers ask for. Each takes the part of the
account's rate that its demand has in that of all VMs that it hears; the part
of a VM that it does not hear stays reserved for it. The demand of an account
on which few VMs decide is told by these alone.
"""

import math
from collections.abc import Mapping

import attrs

from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.fleet.deciders import Deciders
from chestnutshift.routes.model import Account

DEMAND_TIME_CONSTANT_S = 1.0
# Of an account's rate: what the VMs that decide on it keep, all together, for
# the first requests where there is no demand yet.
IDLE_DEMAND_RATIO = 0.24
IDLE_DEMAND_MIN = 0.12
# Part of the tolerance over an account's limit that its burst may use; the
# rest covers peers' news that is on its way.
TOLERANCE_FRACTION = 0.4
# Less demand is not told, in requests per second.
REPORTED_DEMAND_MIN = 0.01
# No wait is stated beyond this.
WAIT_MAX_S = 10.0


@attrs.frozen
class Tolerance:
    """What may be admitted over a limit: a part of it, and requests."""

    window_s: float
    ratio: float
    slack: float

    def requests(self, account: Account) -> float:
        """Return the tolerated requests in a window."""
        limit = account.rate * self.window_s + account.burst
        return limit * self.ratio + self.slack


@attrs.define
class DemandAverage:
    """Requests per second as an exponential average."""

    rate: float = 0
    updated_at: float = -math.inf

    def count(self, now: float) -> None:
        """Count one request."""
        self.rate = self.rate_at(now) + 1 / DEMAND_TIME_CONSTANT_S
        self.updated_at = now

    def rate_at(self, now: float) -> float:
        """Return the rate now."""
        age_s = max(0, now - self.updated_at)
        return self.rate * math.exp(-age_s / DEMAND_TIME_CONSTANT_S)


@attrs.define
class _Limit:
    account: Account
    bucket: TokenBucket
    share: float


class AccountShares:
    """Admit requests of accounts within this VM's shares."""

    def __init__(
        self,
        tolerance: Tolerance,
        vm: str,
        deciders: Deciders,
    ) -> None:
        """Start with no account, for the named VM."""
        self._tolerance = tolerance
        self._vm = vm
        self._deciders = deciders
        self._peers: Mapping[str, Mapping[str, float]] = {}
        self._demands: dict[str, DemandAverage] = {}
        self._limits: dict[str, _Limit] = {}
        self._claimants = 1
        self._reported: dict[str, float] = {}
        self._previously_reported: dict[str, float] = {}

    def tell_demand(self, now: float) -> dict[str, float]:
        """Return what this VM's callers ask for, by account, for its peers.

        What the peers know is what this VM's own share follows: if each
        took its newest demand at once, a surge everywhere would let all of
        them grow before any heard of the others.
        """
        rates = {name: one.rate_at(now) for name, one in self._demands.items()}
        self._previously_reported = self._reported
        self._reported = {
            name: rate
            for name, rate in rates.items()
            if rate > REPORTED_DEMAND_MIN
        }
        return self._reported

    def share(self, account: str) -> float:
        """Return this VM's part of the account's limit, from 0 to 1."""
        limit = self._limits.get(account)
        return limit.share if limit else 1 / self._claimants

    def update(
        self,
        peers: Mapping[str, Mapping[str, float]],
        claimants: int,
        now: float,
    ) -> None:
        """Take the demand by account of each peer that is heard.

        claimants counts all VMs that may hold a share, this one included.
        """
        self._peers = peers
        self._claimants = max(claimants, len(peers) + 1)
        for limit in self._limits.values():
            self._update_share(limit, now)

    def admit(self, account: Account, now: float) -> float | None:
        """Take a request; return None, or the seconds to wait if refused."""
        self._demands.setdefault(account.name, DemandAverage()).count(now)
        return self.retry(account, now)

    def retry(self, account: Account, now: float) -> float | None:
        """Do as `admit` for a request that was counted before."""
        if account.rate <= 0:
            return None
        bucket = self._limit(account, now).bucket
        if bucket.take(1, now):
            return None
        return min(WAIT_MAX_S, bucket.wait_s(1))

    def _limit(self, account: Account, now: float) -> _Limit:
        limit = self._limits.get(account.name)
        if limit is not None and limit.account == account:
            return limit
        if limit is None:
            limit = _Limit(account, TokenBucket(), 1 / self._claimants)
            self._limits[account.name] = limit
            self._update_share(limit, now)
            limit.bucket.level = limit.bucket.capacity
            return limit
        limit.account = account
        self._resize_bucket(limit, now)
        return limit

    def _update_share(self, limit: _Limit, now: float) -> None:
        name = limit.account.name
        idle = self._idle_demands(limit.account)
        reported = min(
            self._reported.get(name, 0), self._previously_reported.get(name, 0)
        )
        own = reported + idle.get(self._vm, 0)
        others = sum(
            demand.get(name, 0) + idle.get(peer, 0)
            for peer, demand in self._peers.items()
        )
        if own + others > 0:
            heard_ratio = (len(self._peers) + 1) / self._claimants
            limit.share = heard_ratio * own / (own + others)
        self._resize_bucket(limit, now)

    def _idle_demands(self, account: Account) -> Mapping[str, float]:
        """Return what each VM keeps that decides on the account."""
        total = max(account.rate * IDLE_DEMAND_RATIO, IDLE_DEMAND_MIN)
        if self._deciders.is_divided(account):
            all_vms = (self._vm, *self._peers)
            return dict.fromkeys(all_vms, total / self._claimants)
        deciding = self._deciders.one_per_region(account)
        return dict.fromkeys(deciding, total / max(1, len(deciding)))

    def _resize_bucket(self, limit: _Limit, now: float) -> None:
        account = limit.account
        tolerated = self._tolerance.requests(account) * TOLERANCE_FRACTION
        capacity = max(1, (account.burst + tolerated) * limit.share)
        limit.bucket.resize(account.rate * limit.share, capacity, now)
