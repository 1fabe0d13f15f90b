"""Update upstream health, load and latency from attempts."""

from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.admission import Admitted
from chestnutshift.edge.attempts import AttemptEnd, EndKind
from chestnutshift.edge.dialect import AnswerFacts
from chestnutshift.edge.reach_monitor import ReachMonitor, WatchedAttempt
from chestnutshift.edge.state import EdgeState
from chestnutshift.steering.choice import Choice
from chestnutshift.steering.service_time import ServiceTimeEstimate
from chestnutshift.steering.upstreams import Condition, Upstream

# A broken exchange does not indicate a restart if the upstream has answered
# within this time.
RECENT_ANSWER_S = 0.5
# Unknown headers that are logged, once each, and the length of their names.
UNKNOWN_HEADERS_MAX = 32
HEADER_NAME_MAX = 64
_BROKEN = frozenset((EndKind.BROKEN, EndKind.CUT))


@attrs.define
class Observation:
    """A running attempt; end is set when it ends and None if cancelled.

    watched cancels it once this VM is found to reach no upstream.
    """

    watched: WatchedAttempt
    end: AttemptEnd | None = None


@attrs.define
class AttemptObserver:
    """Passive health checks: upstream state from the results of attempts."""

    _state: EdgeState
    _monitor: ReachMonitor
    # Names that were logged already.
    _unknown_headers: set[bytes] = attrs.field(factory=set)

    @contextmanager
    def observe(
        self,
        admitted: Admitted,
        choice: Choice,
        estimate: ServiceTimeEstimate,
        object_key: bytes,
        started_at: float,
    ) -> Iterator[Observation]:
        """Count the request as in flight, and record its result."""
        upstream = choice.upstream
        upstream.in_flight += 1
        upstream.record_object(object_key, started_at)
        with self._monitor.watching(
            upstream, choice.expected_s, started_at
        ) as watched:
            yield from self._observe(
                admitted, choice, estimate, Observation(watched), started_at
            )

    def record_head(
        self,
        upstream: Upstream,
        watched: WatchedAttempt,
        status: int,
        facts: AnswerFacts,
    ) -> None:
        """Record what counts from the head of an answer on."""
        self._monitor.record_head(watched, boot_time())
        self._state.upstream_reports.record_head(
            upstream, status, facts, boot_time(), source='answer'
        )

    def mark_unproven(self, upstream: Upstream, reason: str) -> None:
        """Stop sending to the upstream until a health check succeeds."""
        if upstream.condition is not Condition.READY:
            return
        upstream.condition = Condition.UNPROVEN
        self._state.event_log.emit(
            events.UPSTREAM_UNPROVEN,
            upstream=upstream.name,
            reason=reason,
        )

    def _observe(
        self,
        admitted: Admitted,
        choice: Choice,
        estimate: ServiceTimeEstimate,
        observation: Observation,
        started_at: float,
    ) -> Iterator[Observation]:
        upstream = choice.upstream
        try:
            yield observation
        finally:
            upstream.in_flight -= 1
            now = boot_time()
            if observation.end is None:
                _record_cancelled(choice, estimate, now - started_at)
            else:
                record_facts(upstream, observation.end, now)
                self._record_rate_limit(
                    upstream, observation.end, started_at, now
                )
                self._log_unknown_headers(upstream, observation.end)
                _record_duration(
                    choice, estimate, observation.end, started_at, now
                )
                self._record_outcome(
                    admitted, upstream, observation.end, started_at, now
                )

    def _record_rate_limit(
        self,
        upstream: Upstream,
        end: AttemptEnd,
        started_at: float,
        now: float,
    ) -> None:
        """Record the limit that an answer names, or that it names none.

        An answer to a request from before the limit was named does not end
        it: upstreams answer requests in any order.
        """
        if end.kind not in {EndKind.ANSWERED, EndKind.NOT_RUN}:
            return
        if end.facts.is_rate_limit_malformed:
            self._state.metrics.rate_limits_malformed.inc()
            if not upstream.has_malformed_limit:
                upstream.has_malformed_limit = True
                self._state.event_log.emit(
                    events.RATE_LIMIT_MALFORMED, upstream=upstream.name
                )
            return
        limit = end.facts.rate_limit
        if limit is None and not _ends_limit(upstream, end, started_at):
            return
        self._state.upstream_reports.record_rate_limit(
            upstream, limit, now, source='answer'
        )

    def _log_unknown_headers(self, upstream: Upstream, end: AttemptEnd) -> None:
        if end.facts is None or end.facts.unknown_headers.issubset(
            self._unknown_headers
        ):
            return
        for name in sorted(end.facts.unknown_headers - self._unknown_headers):
            if len(self._unknown_headers) >= UNKNOWN_HEADERS_MAX:
                return
            self._unknown_headers.add(name)
            self._state.event_log.emit(
                events.HEADER_UNKNOWN,
                upstream=upstream.name,
                header=name.decode('latin-1')[:HEADER_NAME_MAX],
            )

    def _record_outcome(
        self,
        admitted: Admitted,
        upstream: Upstream,
        end: AttemptEnd,
        started_at: float,
        now: float,
    ) -> None:
        self._state.metrics.attempts.ended.labels(
            admitted.service, end.kind.value
        ).inc()
        if end.is_withheld:
            return
        if end.is_unanswered:
            self._monitor.record_failure(upstream, started_at, now)
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
            if end.is_partial_refusal:
                upstream.record_failure(now)
            return
        upstream.record_failure(now)
        is_alive = now - upstream.answered_at <= RECENT_ANSWER_S
        if end.kind not in _BROKEN or not is_alive:
            self.mark_unproven(upstream, end.detail)


def _ends_limit(upstream: Upstream, end: AttemptEnd, started_at: float) -> bool:
    """Return whether an answer without a limit ends the one in force."""
    if upstream.rate_limit is None or end.kind is not EndKind.ANSWERED:
        return False
    return started_at > upstream.rate_limit_at


def record_facts(upstream: Upstream, end: AttemptEnd, now: float) -> None:
    """Record the load and cold state that an answer's head reports."""
    facts = end.facts
    if facts is None:
        return
    if facts.load is not None:
        upstream.record_load(facts.load, now)
    upstream.record_cold(facts.cold_s or 0, now)


def _record_duration(
    choice: Choice,
    estimate: ServiceTimeEstimate,
    end: AttemptEnd,
    started_at: float,
    now: float,
) -> None:
    """Record the duration of an answer, unless the request had to queue."""
    if end.kind is not EndKind.ANSWERED:
        return
    estimate.learn_length(end.reply.length_b)
    upstream = choice.upstream
    upstream.answered_at = now
    load = end.facts.load if end.facts else None
    if upstream.is_cold(now) or (load and load.waiting):
        return
    ratio = estimate.learn(now - started_at, choice.state)
    upstream.record_answer(ratio, now)


def _record_cancelled(
    choice: Choice, estimate: ServiceTimeEstimate, waited_s: float
) -> None:
    """Record a cancelled attempt: its duration is a lower bound."""
    upstream = choice.upstream
    ratio = waited_s / estimate.expected_s(choice.state)
    if ratio > upstream.slowness:
        upstream.record_answer(ratio, upstream.answered_at)
