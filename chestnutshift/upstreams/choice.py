"""Policies that choose the upstream for a request."""

import abc
import math
import random
from collections.abc import Sequence
from typing import final

from chestnutshift.configuration.model import UpstreamsPreset
from chestnutshift.invariants.registry import LEAVING_UPSTREAM, verify
from chestnutshift.registry import Registry
from chestnutshift.upstreams.model import (
    OBSERVATION_DECAY_S,
    Candidate,
    UpstreamState,
)

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
        available = [
            candidate
            for candidate in candidates
            if candidate.is_available(now, trials=trials)
        ]
        if not available:
            return None
        chosen = _due_trial(available) or self._pick(available, now, rng)
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
        weights = [
            _observation_weight(candidate, now) for candidate in candidates
        ]
        mean_s = _mean_latency_s(candidates, weights)
        best = candidates[0]
        best_cost = math.inf
        for candidate, weight in zip(candidates, weights, strict=True):
            latency_s = mean_s + weight * (candidate.latency_s - mean_s)
            error_rate = min(ERROR_RATE_MAX, candidate.error_rate * weight)
            load = self._load(candidate, now)
            cost = (
                max(LATENCY_FLOOR_S, latency_s) * (1 + load) / (1 - error_rate)
            )
            # A random factor of at most 1 % spreads ties over the upstreams.
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


def _observation_weight(candidate: Candidate, now: float) -> float:
    """Return the weight of the last observation, which decays from 1 to 0."""
    return math.exp((candidate.observed_at - now) / OBSERVATION_DECAY_S)


def _mean_latency_s(
    candidates: Sequence[Candidate],
    weights: Sequence[float],
) -> float:
    """Return the mean latency by weight, to which old observations decay."""
    total_weight = sum(weights)
    if not total_weight:
        return LATENCY_FLOOR_S
    pairs = zip(candidates, weights, strict=True)
    total_s = sum(weight * candidate.latency_s for candidate, weight in pairs)
    return total_s / total_weight


def _own_load(candidate: Candidate) -> float:
    return candidate.in_flight / candidate.usable_slots
