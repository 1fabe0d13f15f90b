"""Health checks of upstreams that are unproven, or that may be cold."""

import math
import random

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.check_sender import CheckSender
from chestnutshift.edge.containment import contained
from chestnutshift.edge.crash_guard import ANOTHER_RUN, NO_LISTENER, CrashGuard
from chestnutshift.edge.dialect import AnswerFacts
from chestnutshift.edge.reach_monitor import ReachMonitor
from chestnutshift.edge.state import EdgeState
from chestnutshift.steering.upstreams import Condition, Upstream
from chestnutshift.upstreams.connection import UpstreamError
from chestnutshift.upstreams.connections import (
    ConnectionsExhaustedError,
    NotConnectedError,
)

SCHEDULE_TICK_S = 0.05
CHECK_TIMEOUT_S = 0.8
# Pause after a failed check, multiplied by the number of failures.
RETRY_BACKOFF_S = 0.4
RETRY_BACKOFF_MAX_S = 2.0
# How long an isolated VM takes an upstream for warm after a check, how long
# before the end of that time it checks again, and how long it checks an
# upstream that no request would go to any more.
VERIFIED_S = 1.5
CHECK_LEAD_S = 0.4
ASKED_AGE_MAX_S = 2.0
# An upstream that accepts fewer requests per second than this is asked for its
# limit by a check at this age of it, and may be tried at the other rate if the
# check names none.
ASKED_LIMIT_MAX = 0.25
LIMIT_AGE_MAX_S = 2.0
TRIED_LIMIT = 1.0
HTTP_OK = 200


@attrs.define
class _CheckSchedule:
    due_at: float = -math.inf
    failures: int = 0
    is_running: bool = False


@attrs.define
class HealthChecker:
    """Checks unproven upstreams and marks those that answer as ready.

    While this VM is isolated, it also checks whether the upstreams that it
    uses have become cold. Of an upstream that accepts hardly any requests, no
    answer tells whether it still does; one VM checks that.
    """

    _state: EdgeState
    _sender: CheckSender
    _monitor: ReachMonitor
    _crash_guard: CrashGuard
    _rng: random.Random = attrs.field(factory=random.Random)
    _schedules: dict[Upstream, _CheckSchedule] = attrs.field(factory=dict)

    async def run(self) -> None:
        """Run checks as they fall due, until cancelled."""
        async with trio.open_nursery() as nursery:
            while True:
                for upstream in self._due_upstreams(boot_time()):
                    # It may be dropped before the check begins.
                    schedule = self._schedules[upstream]
                    schedule.is_running = True
                    nursery.start_soon(self._run_check, upstream, schedule)
                await trio.sleep(SCHEDULE_TICK_S)

    def _due_upstreams(self, now: float) -> list[Upstream]:
        """Return the upstreams whose check is due; drop stale schedules.

        None is due while this VM reaches none: others are checked then.
        """
        if self._state.directory.reach.is_cut_off:
            return []
        is_isolated = self._state.is_isolated(now + CHECK_LEAD_S)
        unchecked = [
            upstream
            for upstream in self._state.directory
            if upstream.condition is Condition.UNPROVEN
            or self._crash_guard.awaits_proof(upstream, now)
            or (is_isolated and _may_be_cold(upstream, now))
            or self._must_ask_for_limit(upstream, now)
        ]
        for upstream in self._schedules.keys() - set(unchecked):
            self._schedules.pop(upstream)
        due = []
        for upstream in unchecked:
            schedule = self._schedules.setdefault(upstream, _CheckSchedule())
            is_due = now >= max(schedule.due_at, upstream.paused_until)
            if is_due and not schedule.is_running:
                due.append(upstream)
        return due

    def _must_ask_for_limit(self, upstream: Upstream, now: float) -> bool:
        limit = upstream.rate_limit
        if limit is None or limit >= ASKED_LIMIT_MAX:
            return False
        if not self._state.directory.is_usable(upstream):
            return False
        if now - upstream.rate_limit_at < LIMIT_AGE_MAX_S:
            return False
        return self._state.upstream_rates.is_first_sender(upstream)

    async def _run_check(
        self, upstream: Upstream, schedule: _CheckSchedule
    ) -> None:
        try:
            with contained(self._state, 'check', upstream=upstream.name):
                await self._check_or_put_off(upstream, schedule)
                return
            schedule.due_at = boot_time() + RETRY_BACKOFF_MAX_S
        finally:
            # Also if the checker begins anew and cancels this check.
            schedule.is_running = False

    async def _check_or_put_off(
        self, upstream: Upstream, schedule: _CheckSchedule
    ) -> None:
        """Check; a lack on this VM's side tells nothing of the upstream."""
        try:
            await self._check(upstream, schedule)
        except ConnectionsExhaustedError:
            schedule.due_at = boot_time() + RETRY_BACKOFF_S

    async def _ask(
        self, upstream: Upstream
    ) -> tuple[int, AnswerFacts | None, str]:
        """Return status, facts and proof; without facts the check failed.

        Raises ConnectionsExhaustedError.
        """
        with trio.move_on_after(CHECK_TIMEOUT_S):
            try:
                answer = await self._sender.send(upstream)
            except NotConnectedError as error:
                return 0, None, NO_LISTENER if error.is_refused else ''
            except ConnectionsExhaustedError:
                raise
            except UpstreamError:
                return 0, None, ''
            return answer.status, answer.facts, ''
        return 0, None, ''

    async def _check(
        self, upstream: Upstream, schedule: _CheckSchedule
    ) -> None:
        started_at = boot_time()
        status, facts, proof = await self._ask(upstream)
        schedule.is_running = False
        now = boot_time()
        self._monitor.record_check(upstream, started_at, now, facts)
        is_alive = facts is not None and (facts.is_not_run or status == HTTP_OK)
        if facts is not None and facts.upstream not in {'', upstream.name}:
            is_alive = False
            proof = ANOTHER_RUN
        self._crash_guard.record_check(
            upstream, started_at, is_alive=is_alive, proof=proof
        )
        outcome = 'alive' if is_alive else 'failed'
        self._state.metrics.health_checks.labels(outcome).inc()
        if not is_alive:
            schedule.failures += 1
            pause_s = min(
                RETRY_BACKOFF_MAX_S, RETRY_BACKOFF_S * schedule.failures
            )
            schedule.due_at = now + pause_s * self._rng.uniform(0.7, 1.3)
            return
        upstream.record_cold(facts.cold_s or 0, now)
        upstream.verified_until = now + VERIFIED_S
        self._record_limit(upstream, facts, now)
        if upstream.condition is not Condition.UNPROVEN:
            return
        upstream.condition = Condition.READY
        upstream.answered_at = now
        self._state.event_log.emit(
            events.UPSTREAM_PROVEN,
            upstream=upstream.name,
            status=status,
            cold_for_s=facts.cold_s or 0,
        )

    def _record_limit(
        self, upstream: Upstream, facts: AnswerFacts, now: float
    ) -> None:
        """Record the limit that a health check names.

        A check without one doesn't prove that requests may come at full rate:
        a few are tried first, whose answers tell.
        """
        limit = facts.rate_limit
        if limit is None:
            if upstream.rate_limit is None or facts.is_rate_limit_malformed:
                return
            limit = max(TRIED_LIMIT, upstream.rate_limit)
        self._state.upstream_reports.record_rate_limit(
            upstream, limit, now, source='check'
        )


def _may_be_cold(upstream: Upstream, now: float) -> bool:
    """Return whether an isolated VM must check the upstream now."""
    if upstream.condition is not Condition.READY or upstream.is_cold(now):
        return False
    if now - upstream.asked_at > ASKED_AGE_MAX_S:
        return False
    return upstream.verified_until <= now + CHECK_LEAD_S
