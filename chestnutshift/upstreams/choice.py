"""Policies that choose the upstream of one request."""

import abc
import math
import random
from collections.abc import Sequence
from typing import final

from chestnutshift.configuration.model import UpstreamsPreset
from chestnutshift.invariants.registry import LEAVING_UPSTREAM, verify
from chestnutshift.registry import Registry
from chestnutshift.upstreams.model import MEMORY_S, Candidate, UpstreamState

LATENCY_FLOOR_S = 0.001
ERROR_RATE_MAX = 0.95

POLICIES: Registry[type['Policy']] = Registry('policy of choice')


class Policy(abc.ABC):
    """Choose among the upstreams of one service."""

    def __init__(self, preset: UpstreamsPreset) -> None:
        """Keep the preset in force, which bounds the age of reports."""
        self._preset = preset

    @final
    def choose(
        self,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
        *,
        trials: bool = True,
    ) -> Candidate | None:
        """Return the upstream of one request, None if none takes work.

        A request that must not fail on a suspect upstream sets trials to
        False.
        """
        open_ones = [
            candidate
            for candidate in candidates
            if candidate.takes_work(now, trials=trials)
        ]
        if not open_ones:
            return None
        chosen = _due_trial(open_ones) or self._pick(open_ones, now, rng)
        verify(
            LEAVING_UPSTREAM,
            holds=chosen.state in {UpstreamState.LIVE, UpstreamState.SUSPECT},
            detail=chosen.name,
        )
        return chosen

    @abc.abstractmethod
    def _pick(
        self,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> Candidate:
        """Return one of the candidates, all of which take work."""


def _due_trial(candidates: Sequence[Candidate]) -> Candidate | None:
    for candidate in candidates:
        if candidate.state is UpstreamState.SUSPECT:
            return candidate
    return None


@POLICIES.register('observed')
class ObservedPolicy(Policy):
    """The shortest time that this VM's own observations let it expect.

    A fresh report can only make an upstream look busier than the VM's own
    requests do, so that a report that is too low draws no traffic.
    """

    def _pick(
        self,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> Candidate:
        memories = [_memory(candidate, now) for candidate in candidates]
        mean_s = _mean_latency_s(candidates, memories)
        best = candidates[0]
        best_cost = math.inf
        for candidate, memory in zip(candidates, memories, strict=True):
            latency_s = mean_s + memory * (candidate.latency_s - mean_s)
            errors = min(ERROR_RATE_MAX, candidate.error_rate * memory)
            load = self._load(candidate, now)
            cost = max(LATENCY_FLOOR_S, latency_s) * (1 + load) / (1 - errors)
            # The small random factor spreads ties.
            cost *= 1 + rng.random() / 100
            if cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def _load(self, candidate: Candidate, now: float) -> float:
        """Return the busy fraction with one more request."""
        load = (candidate.in_flight + 1) / candidate.usable_slots
        if now - candidate.reported_at <= self._preset.report_age_s:
            return max(load, candidate.reported_load)
        return load


@POLICIES.register('two_choices')
class TwoChoicesPolicy(Policy):
    """The less loaded of two upstreams drawn at random by capacity."""

    def _pick(
        self,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> Candidate:
        weights = [candidate.usable_slots for candidate in candidates]
        drawn = rng.choices(candidates, weights=weights, k=2)
        return min(drawn, key=_own_load)


@POLICIES.register('least_reported')
class LeastReportedPolicy(Policy):
    """The lowest load that the upstreams themselves report."""

    def _pick(
        self,
        candidates: Sequence[Candidate],
        now: float,
        rng: random.Random,
    ) -> Candidate:
        return min(
            candidates,
            key=lambda candidate: (candidate.reported_load, rng.random()),
        )


def _memory(candidate: Candidate, now: float) -> float:
    """Return how much the last observation still counts, from 0 to 1."""
    return math.exp((candidate.observed_at - now) / MEMORY_S)


def _mean_latency_s(
    candidates: Sequence[Candidate],
    memories: Sequence[float],
) -> float:
    """Return the mean of the fresh observations, to which old ones fade."""
    weights = sum(memories)
    if not weights:
        return LATENCY_FLOOR_S
    pairs = zip(candidates, memories, strict=True)
    total_s = sum(memory * one.latency_s for one, memory in pairs)
    return total_s / weights


def _own_load(candidate: Candidate) -> float:
    return candidate.in_flight / candidate.usable_slots
