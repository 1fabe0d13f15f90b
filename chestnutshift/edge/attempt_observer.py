"""Learn from each attempt what it shows of its upstream."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.admission import Admitted
from chestnutshift.edge.attempts import AttemptEnd, EndKind
from chestnutshift.edge.state import EdgeState
from chestnutshift.steering.choice import Choice
from chestnutshift.steering.upstreams import Condition, Upstream
from chestnutshift.steering.work import WorkEstimate

# A broken exchange is no sign of a restart if an answer came so lately.
RECENT_ANSWER_S = 0.5


@attrs.define
class Observation:
    """An attempt under way; end is set when it is over."""

    end: AttemptEnd | None = None


@attrs.define
class AttemptObserver:
    """Keep the upstreams' states true to what attempts show."""

    _state: EdgeState

    @contextmanager
    def observe(
        self,
        admitted: Admitted,
        choice: Choice,
        work: WorkEstimate,
        started_at: float,
    ) -> Iterator[Observation]:
        """Count the request as in flight, and learn from its end."""
        upstream = choice.upstream
        upstream.in_flight += 1
        observation = Observation()
        try:
            yield observation
        finally:
            upstream.in_flight -= 1
            now = boot_time()
            if observation.end is None:
                _learn_cancelled(choice, work, now - started_at)
            else:
                learn_facts(upstream, observation.end, now)
                _learn_duration(
                    admitted, choice, work, observation.end, started_at, now
                )
                self._learn_failure(
                    admitted, upstream, observation.end, started_at, now
                )

    def mark_unproven(self, upstream: Upstream, reason: str) -> None:
        """Send nothing more there before a health check cleared it."""
        if upstream.condition is not Condition.READY:
            return
        upstream.condition = Condition.UNPROVEN
        self._state.event_log.emit(
            events.UPSTREAM_UNPROVEN,
            upstream=upstream.name,
            reason=reason,
        )

    def _learn_failure(
        self,
        admitted: Admitted,
        upstream: Upstream,
        end: AttemptEnd,
        started_at: float,
        now: float,
    ) -> None:
        self._state.metrics.attempts.labels(
            admitted.service, end.kind.value
        ).inc()
        if end.kind is EndKind.ANSWERED:
            return
        self._state.event_log.emit(
            events.REQUEST_ATTEMPT_FAILED,
            request=admitted.request.request_id,
            upstream=upstream.name,
            outcome=end.kind.value,
            detail=end.detail,
            after_s=round(now - started_at, 3),
        )
        if end.kind is EndKind.NOT_RUN:
            upstream.answered_at = now
            if _refused_with_free_slots(end):
                upstream.record_failure(now)
            return
        upstream.record_failure(now)
        is_alive = now - upstream.answered_at <= RECENT_ANSWER_S
        if end.kind is not EndKind.BROKEN or not is_alive:
            self.mark_unproven(upstream, end.detail)


def _refused_with_free_slots(end: AttemptEnd) -> bool:
    """Tell whether an upstream refused work while it had slots free."""
    load = end.facts.load if end.facts else None
    return load is not None and load.running < load.slots


def learn_facts(upstream: Upstream, end: AttemptEnd, now: float) -> None:
    """Take what the head of an answer says of its upstream."""
    facts = end.facts
    if facts is None:
        return
    if facts.load is not None:
        upstream.take_report(facts.load, now)
    if facts.cold_s:
        upstream.cold_until = max(upstream.cold_until, now + facts.cold_s)


def _learn_duration(
    admitted: Admitted,
    choice: Choice,
    work: WorkEstimate,
    end: AttemptEnd,
    started_at: float,
    now: float,
) -> None:
    """Take how long an answer took, unless the request had to queue."""
    if end.kind is not EndKind.ANSWERED:
        return
    upstream = choice.upstream
    upstream.remember(admitted.request.object_key, now)
    upstream.answered_at = now
    load = end.facts.load if end.facts else None
    if upstream.is_cold(now) or (load and load.waiting):
        return
    ratio = work.learn(now - started_at, choice.warmth)
    upstream.record_answer(ratio, now)


def _learn_cancelled(
    choice: Choice, work: WorkEstimate, waited_s: float
) -> None:
    """Learn from an attempt that was cancelled: it took at least so long."""
    upstream = choice.upstream
    ratio = waited_s / work.expected_s(choice.warmth)
    if ratio > upstream.slowness:
        upstream.record_answer(ratio, upstream.answered_at)
