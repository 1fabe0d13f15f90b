"""Estimates of service times follow what is observed of caches."""

import math

from nose2.tools import params

from chestnutshift.routes.model import Route
from chestnutshift.steering.service_time import (
    LARGE_ANSWER_B,
    CacheState,
    ServiceTimeEstimate,
    cache_state,
)

ANSWERS = 100


def _expected_ms(estimate: ServiceTimeEstimate, state: CacheState) -> int:
    return round(estimate.expected_s(state) * 1000)


@params(
    (0, 0.5, CacheState.FRESH),
    (3, 2, CacheState.RECENT),
    (0, 5, CacheState.AGING),
    (0, 29, CacheState.OLD),
    (0, 31, CacheState.FIRST),
    (1, math.inf, CacheState.SECOND),
    (2, math.inf, CacheState.OTHER),
)
def test_state(rank: int, age_s: float, state: CacheState) -> None:
    """The age of the last request counts first, then the rank."""
    assert cache_state(rank, age_s) is state


def test_forgetful_upstreams() -> None:
    """Upstreams forget objects after 3 s: only older states get slower."""
    estimate = ServiceTimeEstimate.from_bounds(warm_s=0.3, cold_s=1.0)
    for _ in range(ANSWERS):
        estimate.learn(0.3, CacheState.FRESH)
        estimate.learn(1.0, CacheState.AGING)
    assert _expected_ms(estimate, CacheState.AGING) > 900
    assert _expected_ms(estimate, CacheState.FRESH) < 310
    assert _expected_ms(estimate, CacheState.OTHER) > 900


def test_cold_start() -> None:
    """While first requests are slow, the time of known objects stays short.

    Otherwise nothing would speak against spilling, and objects would stay
    uncached everywhere.
    """
    estimate = ServiceTimeEstimate.from_bounds(warm_s=0.3, cold_s=1.0)
    for _ in range(ANSWERS):
        estimate.learn(1.0, CacheState.FIRST)
    assert _expected_ms(estimate, CacheState.FIRST) > 900
    assert _expected_ms(estimate, CacheState.FRESH) < 310


def test_ratio_of_a_slow_upstream() -> None:
    """The ratio to the mean of the state tells how slow an upstream is."""
    estimate = ServiceTimeEstimate.from_bounds(warm_s=0.2, cold_s=1.0)
    assert math.isclose(estimate.learn(0.8, CacheState.FRESH), 4)


def test_length_of_answers() -> None:
    """A route with large answers starts with a large estimate."""
    route = Route('r', 'one.example', '/', (), has_large_answers=True)
    estimate = ServiceTimeEstimate.from_route(route)
    assert estimate.answer_b == LARGE_ANSWER_B
    for _ in range(ANSWERS):
        estimate.learn_length(1000)
    assert estimate.answer_b < 2000
