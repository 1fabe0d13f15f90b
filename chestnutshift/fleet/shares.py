"""This VM's share of each account's rate and burst, in proportion to demand.

Every VM reports to its peers the demand that it decides on, by account. An
equal share of the account's rate is reserved for each VM whose heartbeats do
not arrive. The rest is divided among the other VMs in proportion to their
demand; where VMs that don't hear each other both hear a third one, each may use
a part of its share. For an account on which one VM in each region decides,
only those VMs report demand.
"""

from collections.abc import Mapping

import attrs

from chestnutshift.accounts.bucket import TokenBucket
from chestnutshift.accounts.demand_average import DemandAverage
from chestnutshift.fleet.deciders import Deciders
from chestnutshift.routes.model import Account

# Demand that is added for the VMs that decide on an account, as a fraction of
# the account's rate for all of them together, so that a VM without demand has
# a share for its first requests.
IDLE_DEMAND_RATIO = 0.24
# Lower bound of that demand, in requests per second.
IDLE_DEMAND_MIN = 0.12
# Fraction of the tolerance over an account's limit that is added to its burst;
# the rest covers heartbeats in transit.
TOLERANCE_FRACTION = 0.4
# Demand up to this many requests per second is not reported.
REPORTED_DEMAND_MIN = 0.01
# Upper bound of the wait that is returned for a refused request.
WAIT_MAX_S = 10.0


@attrs.frozen
class Tolerance:
    """The tolerated excess over a limit: a ratio of it plus a fixed slack."""

    window_s: float
    ratio: float
    slack: float

    def requests(self, account: Account) -> float:
        """Return the tolerated requests in a window."""
        limit = account.rate * self.window_s + account.burst
        return limit * self.ratio + self.slack


@attrs.define
class _Limit:
    account: Account
    bucket: TokenBucket
    share: float


class AccountShares:
    """Rate limiters for this VM's shares of the accounts' limits."""

    def __init__(
        self,
        tolerance: Tolerance,
        vm: str,
        deciders: Deciders,
    ) -> None:
        """Create the shares of the named VM, without any account yet."""
        self._tolerance = tolerance
        self._vm = vm
        self._deciders = deciders
        self._peers: Mapping[str, Mapping[str, float]] = {}
        # This VM's and the live peers' parts of the limit, in equal shares.
        self._live_shares: float = 1
        self._demands: dict[str, DemandAverage] = {}
        self._limits: dict[str, _Limit] = {}
        self._share_holders = 1
        self._reported: dict[str, float] = {}
        self._previously_reported: dict[str, float] = {}

    @property
    def reported_demand(self) -> Mapping[str, float]:
        """The demand by account that is reported to the peers."""
        return self._reported

    def report_demand(self, now: float) -> Mapping[str, float]:
        """Update the demand by account that is reported to all peers.

        This VM's own share is computed from its reported demand as well. If
        each VM used its newest demand at once, a surge at all VMs would let
        all shares grow before any VM learned of the demand of the others.
        """
        rates = {
            name: demand.rate_at(now) for name, demand in self._demands.items()
        }
        self._previously_reported = self._reported
        self._reported = {
            name: rate
            for name, rate in rates.items()
            if rate > REPORTED_DEMAND_MIN
        }
        return self._reported

    def share(self, account: str) -> float:
        """Return this VM's share of the account's limit, from 0 to 1."""
        limit = self._limits.get(account)
        return limit.share if limit else 1 / self._share_holders

    def update(
        self,
        peers: Mapping[str, Mapping[str, float]],
        share_holders: int,
        now: float,
        claims: Mapping[str, float] | None = None,
    ) -> None:
        """Set the reported demand by account of each live peer.

        share_holders counts all VMs that may hold a share, this one included.
        claims are the parts of the peers' shares that this VM may use, see
        FleetView.claims; by default it may use them whole.
        """
        self._peers = peers
        claimed = len(peers) if claims is None else sum(claims.values())
        self._live_shares = 1 + claimed
        self._share_holders = max(share_holders, len(peers) + 1)
        for limit in self._limits.values():
            self._update_share(limit, now)

    def admit(self, account: Account, now: float) -> float | None:
        """Count and admit a request.

        Returns None, or the seconds to wait if the request is refused.
        """
        self._demands.setdefault(account.name, DemandAverage()).count(now)
        return self.retry(account, now)

    def retry(self, account: Account, now: float) -> float | None:
        """Admit a request like `admit` without counting it as new demand."""
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
            limit = _Limit(account, TokenBucket(), 1 / self._share_holders)
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
        own_demand = reported + idle.get(self._vm, 0)
        peer_demand = sum(
            demand.get(name, 0) + idle.get(peer, 0)
            for peer, demand in self._peers.items()
        )
        if own_demand + peer_demand > 0:
            live_ratio = self._live_shares / self._share_holders
            limit.share = live_ratio * own_demand / (own_demand + peer_demand)
        self._resize_bucket(limit, now)

    def _idle_demands(self, account: Account) -> Mapping[str, float]:
        """Return the idle demand of each VM that decides on the account."""
        total = max(account.rate * IDLE_DEMAND_RATIO, IDLE_DEMAND_MIN)
        if self._deciders.is_divided(account):
            all_vms = (self._vm, *self._peers)
            return dict.fromkeys(all_vms, total / self._share_holders)
        deciding = self._deciders.one_per_region(account)
        return dict.fromkeys(deciding, total / max(1, len(deciding)))

    def _resize_bucket(self, limit: _Limit, now: float) -> None:
        account = limit.account
        tolerated = self._tolerance.requests(account) * TOLERANCE_FRACTION
        capacity = max(1, (account.burst + tolerated) * limit.share)
        limit.bucket.resize(account.rate * limit.share, capacity, now)
