"""Costs of sending a request where it makes extra work or may fail."""

import attrs

from chestnutshift.steering.service_time import CacheState, ServiceTimeEstimate

# Price of the extra work at an upstream that probably does not have the object
# cached, or that is slow, as a multiple of its time: it takes slots from other
# requests, and the upstream forgets another object. The price grows above a
# utilization of the service's slots, up to full utilization.
EXTRA_WORK_PRICE_MIN = 4.0
EXTRA_WORK_PRICE_MAX = 6.0
PRICE_UTILIZATION_MIN = 0.6
# Increase of that price for each further rank, so that the spills of an object
# meet.
RANK_PRICE = 0.1
# Slowness from which on the extra work at an upstream is priced.
PRICED_SLOWNESS_MIN = 3.0
# Cost of a failure rate of 1, as a multiple of the time without the object
# cached: a failed attempt costs a retry elsewhere.
FAILURE_COST_RATIO = 3.0
# Failure rate beyond the mean of the service from which on it is priced like
# extra work.
PRICED_FAILURE_MIN = 0.3


def extra_work_price(utilization: float) -> float:
    """Return the price of extra work at a utilization of a service's slots.

    It is in seconds of waiting for each second of extra work.
    """
    excess = (utilization - PRICE_UTILIZATION_MIN) / (1 - PRICE_UTILIZATION_MIN)
    excess = min(1, max(0, excess))
    return EXTRA_WORK_PRICE_MIN + excess * (
        EXTRA_WORK_PRICE_MAX - EXTRA_WORK_PRICE_MIN
    )


@attrs.frozen
class ServiceCosts:
    """Costs that an upstream adds to its expected time, in seconds.

    price is that of extra work, failure_rate the mean of the upstreams of
    the service.
    """

    estimate: ServiceTimeEstimate
    price: float
    failure_rate: float

    def extra_work_s(
        self, state: CacheState, slowness: float, rank: int
    ) -> float:
        """Return the cost of the service time beyond the shortest.

        The object is assumed not to be cached at the second upstream of its
        order: sending it there means that two upstreams cache it.
        """
        price = self.price
        if state is CacheState.OTHER:
            price += RANK_PRICE * rank
        elif state is CacheState.SECOND:
            state = CacheState.OTHER
        work_s = self.estimate.expected_s(state)
        # Small differences in speed must not move objects.
        if slowness >= PRICED_SLOWNESS_MIN:
            work_s *= slowness
        return price * max(0, work_s - self.estimate.shortest_s)

    def failure_s(self, failure_rate: float) -> float:
        """Return the cost of failures.

        If all upstreams fail alike, moving an object gains nothing.
        """
        excess = max(0, failure_rate - self.failure_rate)
        priced = max(0, excess - PRICED_FAILURE_MIN)
        retry_s = self.estimate.expected_s(CacheState.OTHER)
        return retry_s * (FAILURE_COST_RATIO * excess + self.price * priced)
