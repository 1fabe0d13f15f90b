"""Rate and tokens that a VM needs of one account, from its demand."""

import attrs

from chestnutshift.accounts.bucket import EPSILON
from chestnutshift.accounts.demand import DemandEstimate
from chestnutshift.accounts.share import AccountShare
from chestnutshift.configuration.model import AccountLimit


@attrs.frozen
class LoanPolicy:
    """Thresholds for requesting, keeping and lending tokens and rate.

    More tokens are requested below the greatest of low_s seconds of demand,
    low_fraction of the seat's burst, and low_tokens. The target level of a
    busy VM is high_s seconds of demand; that of an idle VM is idle_fraction
    of its seat's burst. refill_s is the time in which the rate should bring
    the bucket to the target level, which is at most full_fraction of the
    capacity.
    """

    low_s: float = 0.3
    low_fraction: float = 0.35
    low_tokens: float = 1.3
    high_s: float = 0.7
    idle_fraction: float = 0.9
    refill_s: float = 2.0
    full_fraction: float = 0.9


@attrs.frozen
class Targets:
    """Target level and rate of one account at one VM.

    Below low tokens the VM requests more, up to high. It requests rate up to
    wanted_rate, and lends or returns what exceeds retained_rate.
    """

    low: float
    high: float
    wanted_rate: float
    retained_rate: float


def find_targets(
    policy: LoanPolicy,
    limit: AccountLimit,
    share: AccountShare,
    demand: DemandEstimate,
) -> Targets:
    """Return the targets for the demand here, within the fleet's limit."""
    needed = demand.lower_bound
    idle_target = share.base_burst * policy.idle_fraction
    high_max = max(
        idle_target, limit.burst * min(1, needed / max(limit.rate, 1))
    )
    high = min(high_max, max(idle_target, needed * policy.high_s))
    low = max(
        needed * policy.low_s,
        share.base_burst * policy.low_fraction,
        policy.low_tokens,
    )
    # Tokens above the capacity of the bucket would be lost.
    target = min(high, share.bucket.capacity * policy.full_fraction)
    refill = (target - share.bucket.level) / policy.refill_s
    if refill > 0:
        # A VM without demand refills only from rate that no other VM needs.
        refill *= demand.likelihood
    emptiness = max(0, 1 - share.bucket.level / max(target, EPSILON))
    expected = min(demand.slow, demand.upper_bound)
    margin = (demand.upper_bound - expected) * emptiness
    return Targets(
        low=min(high, low) * demand.likelihood,
        high=high,
        wanted_rate=min(limit.rate, needed + refill) if refill > 0 else 0,
        retained_rate=max(0, expected + margin + refill),
    )
