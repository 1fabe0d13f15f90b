"""This VM's part of each account's rate and burst, by demand.

Every VM tells its peers what its callers ask for. Each takes the part of the
account's rate that its demand has in that of all VMs that it hears; the part
of a VM that it does not hear stays reserved for it.
"""

import math
from collections.abc import Iterable, Mapping

import attrs

from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.routes.model import Account

DEMAND_MEMORY_S = 1.0
# Of an account's rate: what a VM without demand keeps for its first requests.
IDLE_DEMAND = 0.02
# Part of the tolerance over an account's limit that its burst may use; the
# rest covers peers' news that is on its way.
TOLERANCE_USED = 0.4
# Less demand is not told, in requests per second.
DEMAND_TOLD_MIN = 0.01
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
class Demand:
    """Requests per second as an exponential average."""

    rate: float = 0
    updated_at: float = -math.inf

    def count(self, now: float) -> None:
        """Count one request."""
        self.rate = self.at(now) + 1 / DEMAND_MEMORY_S
        self.updated_at = now

    def at(self, now: float) -> float:
        """Return the rate now."""
        age_s = max(0, now - self.updated_at)
        return self.rate * math.exp(-age_s / DEMAND_MEMORY_S)


@attrs.define
class _Limit:
    account: Account
    bucket: TokenBucket
    share: float


class AccountShares:
    """Admit requests of accounts within this VM's shares."""

    def __init__(self, tolerance: Tolerance) -> None:
        """Start with no account."""
        self._tolerance = tolerance
        self._demands: dict[str, Demand] = {}
        self._limits: dict[str, _Limit] = {}
        self._claimants = 1
        self._told: dict[str, float] = {}
        self._told_before: dict[str, float] = {}

    def tell_demand(self, now: float) -> dict[str, float]:
        """Return what this VM's callers ask for, by account, for its peers.

        What the peers know is what this VM's own share follows: if each
        took its newest demand at once, a surge everywhere would let all of
        them grow before any heard of the others.
        """
        rates = {name: one.at(now) for name, one in self._demands.items()}
        self._told_before = self._told
        self._told = {
            name: rate for name, rate in rates.items() if rate > DEMAND_TOLD_MIN
        }
        return self._told

    def share(self, account: str) -> float:
        """Return this VM's part of the account's limit, from 0 to 1."""
        limit = self._limits.get(account)
        return limit.share if limit else 1 / self._claimants

    def update(
        self,
        peers: Iterable[Mapping[str, float]],
        claimants: int,
        now: float,
    ) -> None:
        """Take the demand of the peers that are heard.

        claimants counts all VMs that may hold a share, this one included.
        """
        known = list(peers)
        self._claimants = max(claimants, len(known) + 1)
        for limit in self._limits.values():
            self._resize(limit, known, now)

    def admit(self, account: Account, now: float) -> float | None:
        """Take a request; return None, or the seconds to wait if refused."""
        self._demands.setdefault(account.name, Demand()).count(now)
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
            share = 1 / self._claimants
            limit = _Limit(account, TokenBucket(), share)
            self._limits[account.name] = limit
            self._size(limit, now)
            limit.bucket.level = limit.bucket.capacity
            return limit
        limit.account = account
        self._size(limit, now)
        return limit

    def _resize(
        self,
        limit: _Limit,
        peers: list[Mapping[str, float]],
        now: float,
    ) -> None:
        name = limit.account.name
        idle = max(limit.account.rate * IDLE_DEMAND, 0.01)
        told = min(self._told.get(name, 0), self._told_before.get(name, 0))
        own = told + idle
        others = sum(peer.get(name, 0) + idle for peer in peers)
        heard = (len(peers) + 1) / self._claimants
        limit.share = heard * own / (own + others)
        self._size(limit, now)

    def _size(self, limit: _Limit, now: float) -> None:
        account = limit.account
        tolerated = self._tolerance.requests(account) * TOLERANCE_USED
        capacity = max(1, (account.burst + tolerated) * limit.share)
        limit.bucket.resize(account.rate * limit.share, capacity, now)
