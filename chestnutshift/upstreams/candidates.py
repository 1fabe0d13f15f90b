"""Selection among the upstreams of this VM's failure domain."""

import random
from collections.abc import Iterable

from chestnutshift.configuration.model import UpstreamsPreset
from chestnutshift.events.log import EventLog
from chestnutshift.upstreams import choice
from chestnutshift.upstreams.health import HealthTable, Transition
from chestnutshift.upstreams.model import Candidate, UpstreamState
from chestnutshift.upstreams.slots import SlotTable
from chestnutshift.upstreams.warmup import WarmUp


class CandidatePool:
    """One VM's view of its upstreams, from which it chooses for requests."""

    def __init__(
        self,
        table: SlotTable,
        health: HealthTable,
        preset: UpstreamsPreset,
        rng: random.Random,
        event_log: EventLog,
    ) -> None:
        """Create a pool that selects by the preset's policy."""
        self._table = table
        self._health = health
        self._rng = rng
        self._event_log = event_log
        self._candidates: dict[str, Candidate] = {}
        self._warmups: dict[str, WarmUp] = {}
        self.adopt(preset)

    @property
    def in_flight(self) -> dict[str, int]:
        """Number of requests that hold a slot, by upstream."""
        return {name: self._table.in_use(name) for name in self._candidates}

    def adopt(self, preset: UpstreamsPreset) -> None:
        """Apply a preset; known upstreams keep their warm-up duration."""
        self._preset = preset
        self._policy = choice.POLICIES.get(preset.policy)(preset)

    def choose(
        self,
        service: str,
        avoided: frozenset[str],
        now: float,
    ) -> Candidate | None:
        """Return an available upstream, an avoided one only as a fallback."""
        candidates = self._open_candidates(service, now)
        preferred = [
            candidate
            for candidate in candidates
            if candidate.name not in avoided
        ]
        return self._policy.choose(
            preferred or candidates,
            now,
            self._rng,
        )

    def has_live_upstream(self, service: str, now: float) -> bool:
        """Return whether the service has a live upstream to queue for.

        Suspect upstreams do not count: each gets only one trial request at
        a time, at growing intervals.
        """
        return any(
            candidate.state is UpstreamState.LIVE
            for candidate in self._open_candidates(service, now)
        )

    def record_answer(
        self,
        candidate: Candidate,
        duration_s: float,
        now: float,
        *,
        complete: bool,
    ) -> None:
        """Record the end of a request, and whether its answer was complete."""
        candidate.record_answer(duration_s, now, ok=complete)
        if complete:
            self._warmup(candidate.name).record_work(now)
            self.log_transitions(
                [self._health.record_success(candidate.name, now)]
            )

    def record_failure(
        self,
        upstream: str,
        cause: str,
        now: float,
        *,
        refused: bool,
    ) -> None:
        """Record a failure; refused means that no connection was made."""
        change = self._health.record_failure(
            upstream,
            cause,
            now,
            refused=refused,
        )
        self.log_transitions([change])

    def record_load(self, upstream: str, load: float, now: float) -> None:
        """Record the load, relative to its slots, that an upstream reports."""
        self._candidate(upstream).record_report(load, now)

    def restart_warm_up(self, upstream: str, now: float) -> None:
        """Start the upstream's warm-up again, as after a restart."""
        self._warmup(upstream).restart(now)

    def log_transitions(self, transitions: Iterable[Transition | None]) -> None:
        """Log the transitions of upstreams' states; None is skipped."""
        for transition in transitions:
            if transition is None:
                continue
            self._event_log.emit(
                transition.event,
                upstream=transition.upstream,
                cause=transition.cause,
            )

    def _open_candidates(self, service: str, now: float) -> list[Candidate]:
        candidates = [
            self._candidate(share.upstream.name)
            for share in self._table.division.of_service(service)
            if share.upstream.name not in self._table.closed
        ]
        self._table.fill(candidates, now)
        self._health.fill(candidates)
        for candidate in candidates:
            candidate.warm = self._warmup(candidate.name).fraction(now)
        return candidates

    def _candidate(self, name: str) -> Candidate:
        known = self._candidates.get(name)
        if known is None:
            region = self._table.seat.region
            known = Candidate(name, '', region, slots=0)
            self._candidates[name] = known
        return known

    def _warmup(self, upstream: str) -> WarmUp:
        return self._warmups.setdefault(
            upstream,
            WarmUp(self._preset.warm_up_s),
        )
