"""The upstreams of the own failure domain that a request may choose from."""

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
    """What one VM knows of its upstreams, and its choice among them."""

    def __init__(
        self,
        table: SlotTable,
        health: HealthTable,
        preset: UpstreamsPreset,
        rng: random.Random,
        event_log: EventLog,
    ) -> None:
        """Choose by the preset's policy."""
        self._table = table
        self._health = health
        self._rng = rng
        self._event_log = event_log
        self._candidates: dict[str, Candidate] = {}
        self._warmups: dict[str, WarmUp] = {}
        self.adopt(preset)

    @property
    def in_flight(self) -> dict[str, int]:
        """Requests that hold a slot, by upstream."""
        return {name: self._table.in_use(name) for name in self._candidates}

    def adopt(self, preset: UpstreamsPreset) -> None:
        """Choose by this preset from now on."""
        self._preset = preset
        self._policy = choice.POLICIES.get(preset.policy)(preset)

    def choose(
        self,
        service: str,
        avoided: frozenset[str],
        now: float,
    ) -> Candidate | None:
        """Return an upstream that takes work, one not avoided if possible."""
        open_ones = self._open(service, now)
        preferred = [
            candidate
            for candidate in open_ones
            if candidate.name not in avoided
        ]
        return self._policy.choose(
            preferred or open_ones,
            now,
            self._rng,
        )

    def takes_work(self, service: str, now: float) -> bool:
        """Tell whether any upstream of the service is worth waiting for.

        A suspect one is not: it gets one trial now and then.
        """
        return any(
            candidate.state is UpstreamState.LIVE
            for candidate in self._open(service, now)
        )

    def record_answer(
        self,
        candidate: Candidate,
        duration_s: float,
        now: float,
        *,
        whole: bool,
    ) -> None:
        """Note how a request ended; whole says that its answer came whole."""
        candidate.record_answer(duration_s, now, ok=whole)
        if whole:
            self._warmup(candidate.name).record_work(now)
            self.note([self._health.record_success(candidate.name, now)])

    def record_failure(
        self,
        upstream: str,
        cause: str,
        now: float,
        *,
        refused: bool,
    ) -> None:
        """Note that an upstream failed; refused: it took no connection."""
        change = self._health.record_failure(
            upstream,
            cause,
            now,
            refused=refused,
        )
        self.note([change])

    def record_load(self, upstream: str, load: float, now: float) -> None:
        """Note the busy fraction that an upstream reports."""
        self._candidate(upstream).record_report(load, now)

    def restart_warm_up(self, upstream: str, now: float) -> None:
        """Treat the upstream as cold."""
        self._warmup(upstream).restart(now)

    def note(self, transitions: Iterable[Transition | None]) -> None:
        """Log changes of upstreams' states."""
        for transition in transitions:
            if transition is None:
                continue
            self._event_log.emit(
                transition.event,
                upstream=transition.upstream,
                cause=transition.cause,
            )

    def _open(self, service: str, now: float) -> list[Candidate]:
        open_ones = [
            self._candidate(entry.upstream.name)
            for entry in self._table.division.of_service(service)
            if entry.upstream.name not in self._table.closed
        ]
        self._table.fill(open_ones, now)
        self._health.fill(open_ones)
        for candidate in open_ones:
            candidate.warm = self._warmup(candidate.name).fraction(now)
        return open_ones

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
