"""Estimate of a service's response times from its observed answers.

An upstream that has an object cached answers several times as fast. Whether it
has is not known, so the estimate is kept for each `CacheState`: by how long
ago this VM sent the upstream a request for the object or, if it did not, by
the upstream's rank in the object's preference order.
"""

import bisect
import enum
import math

import attrs

from chestnutshift.routes.model import Route

# Weight of a new sample in the exponential moving averages.
SAMPLE_WEIGHT = 0.05
# What is left of the longest answer with each shorter one.
LONGEST_KEPT = 0.99
# Initial estimates, as multiples of the route's latency objective.
WARM_PRIOR = 0.45
COLD_PRIOR = 1.45
# Initial estimate of the length of a large answer, in bytes.
LARGE_ANSWER_B = 65_536


class CacheState(enum.StrEnum):
    """What a VM knows about an object in the cache of an upstream."""

    # This VM sent a request for the object less than 1, 3, 10 or 30 s ago.
    FRESH = 'fresh'
    RECENT = 'recent'
    AGING = 'aging'
    OLD = 'old'
    # It did not; peers send requests for the object to the first upstream of
    # its order, and to the second one while the first is busy.
    FIRST = 'first'
    SECOND = 'second'
    OTHER = 'other'
    # The request is for no object.
    NO_OBJECT = 'no_object'


_SENT_STATES = (
    CacheState.FRESH,
    CacheState.RECENT,
    CacheState.AGING,
    CacheState.OLD,
)
# Upper bound of the age of each sent state, in seconds.
_AGES_S = (1, 3, 10, 30)
_RANK_STATES = (CacheState.FIRST, CacheState.SECOND)
_WARM_PRIOR_STATES = frozenset((*_SENT_STATES, CacheState.FIRST))


def cache_state(rank: int, age_s: float) -> CacheState:
    """Return the state of the upstream of that rank, from 0.

    age_s is the age of this VM's last request for the object there, infinite
    if there was none.
    """
    index = bisect.bisect_right(_AGES_S, age_s)
    if index < len(_SENT_STATES):
        return _SENT_STATES[index]
    return _RANK_STATES[rank] if rank < len(_RANK_STATES) else CacheState.OTHER


@attrs.define
class ServiceTimeEstimate:
    """Mean response times in seconds, without queueing.

    mean_s is the mean of all answers, answer_b the mean length of an answer's
    body in bytes. longest_b is about the longest lately, infinite while none is
    known of a route with large answers.
    """

    mean_s: float
    _means_s: dict[CacheState, float]
    answer_b: float = 0
    longest_b: float = 0

    @classmethod
    def from_route(cls, route: Route) -> 'ServiceTimeEstimate':
        """Return the initial estimate for a route."""
        estimate = cls.from_bounds(
            route.objective_s * WARM_PRIOR, route.objective_s * COLD_PRIOR
        )
        if route.has_large_answers:
            estimate.answer_b = LARGE_ANSWER_B
            estimate.longest_b = math.inf
        return estimate

    @classmethod
    def from_bounds(cls, warm_s: float, cold_s: float) -> 'ServiceTimeEstimate':
        """Return an estimate from the time with and without the object."""
        means_s = {
            state: warm_s if state in _WARM_PRIOR_STATES else cold_s
            for state in CacheState
        }
        for state in (CacheState.SECOND, CacheState.NO_OBJECT):
            means_s[state] = (warm_s + cold_s) / 2
        return cls(warm_s, means_s)

    @property
    def shortest_s(self) -> float:
        """The mean response time in the best state."""
        return min(self._means_s.values())

    def expected_s(self, state: CacheState) -> float:
        """Return the mean response time in that state."""
        return self._means_s[state]

    def learn(self, latency_s: float, state: CacheState) -> float:
        """Record one answer; return the ratio of its latency to the mean."""
        mean_s = self._means_s[state]
        self._means_s[state] += SAMPLE_WEIGHT * (latency_s - mean_s)
        self.mean_s += SAMPLE_WEIGHT * (latency_s - self.mean_s)
        return latency_s / mean_s if mean_s > 0 else math.inf

    def learn_length(self, answer_b: int) -> None:
        """Record the length of an answer's body in bytes."""
        self.answer_b += SAMPLE_WEIGHT * (answer_b - self.answer_b)
        known_b = self.longest_b if math.isfinite(self.longest_b) else 0
        self.longest_b = max(answer_b, known_b * LONGEST_KEPT)
