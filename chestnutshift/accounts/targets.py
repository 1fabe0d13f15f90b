"""What a VM needs of one account, from its demand and its tokens."""

import attrs

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
    rate brings the tokens to that stock.
    """

    low_s: float = 0.3
    low_part: float = 0.35
    low_tokens: float = 1.3
    high_s: float = 0.7
    idle_part: float = 0.6
    refill_s: float = 2.0


@attrs.frozen
class Targets:
    """What a VM wants to hold of one account.

    Under low tokens it asks for more, up to high. It asks for rate up to
    wanted_rate, and lends or hands back what is over held_rate.
    """

    low: float
    high: float
    wanted_rate: float
    held_rate: float


def find_targets(
    policy: LoanPolicy,
    limit: AccountLimit,
    share: AccountShare,
    demand: DemandEstimate,
) -> Targets:
    """Return what the demand at this VM needs, within the fleet's limit."""
    sure = demand.at_least
    idle = share.base_burst * policy.idle_part
    most = max(idle, limit.burst * min(1, sure / max(limit.rate, 1)))
    high = min(most, max(idle, sure * policy.high_s))
    low = max(
        sure * policy.low_s,
        share.base_burst * policy.low_part,
        policy.low_tokens,
    )
    refill = (high - share.bucket.level) / policy.refill_s
    if refill > 0:
        # A VM without demand fills up only with what nobody else needs.
        refill *= demand.presence
    wanted = min(limit.rate, sure + max(0, refill))
    return Targets(
        low=min(high, low) * demand.presence,
        high=high,
        wanted_rate=wanted if refill > 0 else 0,
        held_rate=max(0, demand.at_most + refill),
    )
