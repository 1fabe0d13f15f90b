"""What a VM needs of one account, from the demand it sees."""

import attrs

from chestnutshift.accounts.demand import DemandEstimate
from chestnutshift.configuration.model import AccountLimit


@attrs.frozen
class LoanPolicy:
    """How eagerly shares follow demand.

    headroom is the rate held per unit of demand; high_s the tokens held, in
    seconds of demand; low the part of them under which more are fetched;
    reserve the part of its burst that an idle VM keeps for sudden demand.
    """

    headroom: float = 1.2
    high_s: float = 0.75
    low: float = 0.4
    minimum: float = 2.0
    reserve: float = 0.5
    portion: float = 0.5


@attrs.frozen
class Targets:
    """Rate (per second) and tokens that a VM wants to hold."""

    rate: float
    low: float
    high: float
    reserve: float


def find_targets(
    policy: LoanPolicy,
    limit: AccountLimit,
    seat_count: int,
    demand: DemandEstimate,
) -> Targets:
    """Return what the demand at this VM needs, within the fleet's limit."""
    peak = demand.peak
    part = 1 / seat_count
    if limit.rate > 0:
        part = max(part, min(1, peak / limit.rate))
    high = min(
        max(peak * policy.high_s, policy.minimum),
        limit.burst * part,
    )
    return Targets(
        rate=min(peak * policy.headroom, limit.rate),
        low=high * policy.low,
        high=high,
        reserve=max(high, limit.burst / seat_count * policy.reserve),
    )
