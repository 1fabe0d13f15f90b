"""What a VM needs of one account, from its demand and its tokens."""

import attrs

from chestnutshift.accounts.bucket import EPSILON
from chestnutshift.accounts.demand import DemandEstimate
from chestnutshift.accounts.share import AccountShare
from chestnutshift.configuration.model import AccountLimit


@attrs.frozen
class LoanPolicy:
    """How eagerly shares follow demand.

    Under `low` tokens more are fetched: low_s seconds of demand, at least
    low_part of the seat's burst and low_tokens. high_s is the stock, in
    seconds of demand, that a busy VM aims at, and idle_part the one of an
    idle VM, as a part of its seat's burst. refill_s is the time in which
    rate brings the tokens to that stock; a bucket counts as full at full_part
    of its capacity.
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
    """What a VM wants to hold of one account.

    Under low tokens it asks for more, up to high. It asks for rate up to
    wanted_rate, and lends or hands back what is over held_rate.
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
    """Return what the demand at this VM needs, within the fleet's limit."""
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
    # What does not fit into the bucket would be lost.
    target = min(high, share.bucket.capacity * policy.full_fraction)
    refill = (target - share.bucket.level) / policy.refill_s
    if refill > 0:
        # A VM without demand fills up only with what nobody else needs.
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
