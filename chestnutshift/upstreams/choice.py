"""Policies that choose the upstream for a request."""

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

POLICIES: Registry[type['Policy']] = Registry('upstream selection policy')


class Policy(abc.ABC):
    """Base class of the policies that choose among a service's upstreams."""

    def __init__(self, preset: UpstreamsPreset) -> None:
        """Store the preset, which limits the age of usable load reports."""
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
        """Return the upstream for a request, None if none is available.

        A suspect upstream whose trial is due goes first. With trials=False
        suspect upstreams are left out, for a request that must not fail on
        one.
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
        """Return one of the candidates, all of which are available."""


def _due_trial(candidates: Sequence[Candidate]) -> Candidate | None:
    for candidate in candidates:
        if candidate.state is UpstreamState.SUSPECT:
            return candidate
    return None


@POLICIES.register('observed')
class ObservedPolicy(Policy):
    """Policy of the lowest expected cost, by this VM's own observations.

    The cost grows with latency, load and error rate. A fresh load report
    counts only where it exceeds the load of the VM's own requests, so that
    an upstream that reports too little attracts no traffic.
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
            # A random factor of at most 1 % breaks ties.
            cost *= 1 + rng.random() / 100
            if cost < best_cost:
                best, best_cost = candidate, cost
        return best

    def _load(self, candidate: Candidate, now: float) -> float:
        """Return the load with one more request, relative to the slots."""
        load = (candidate.in_flight + 1) / candidate.usable_slots
        if now - candidate.reported_at <= self._preset.report_age_s:
            return max(load, candidate.reported_load)
        return load


@POLICIES.register('two_choices')
class TwoChoicesPolicy(Policy):
    """Power of two choices: the less loaded of two random upstreams.

    The random draw is weighted by usable slots.
    """

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
    """Policy of the lowest load that the upstreams themselves report."""

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
    """Return the weight of the last observation, which decays from 1 to 0."""
    return math.exp((candidate.observed_at - now) / MEMORY_S)


def _mean_latency_s(
    candidates: Sequence[Candidate],
    memories: Sequence[float],
) -> float:
    """Return the mean latency by weight, to which old observations decay."""
    weights = sum(memories)
    if not weights:
        return LATENCY_FLOOR_S
    pairs = zip(candidates, memories, strict=True)
    total_s = sum(memory * one.latency_s for one, memory in pairs)
    return total_s / weights


def _own_load(candidate: Candidate) -> float:
    return candidate.in_flight / candidate.usable_slots
