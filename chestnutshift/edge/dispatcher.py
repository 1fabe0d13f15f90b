"""Find an upstream that answers a request, within the fleet's bounds."""

import random

import attrs

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events, reasons
from chestnutshift.edge.admission import Admitted
from chestnutshift.edge.attempt_observer import Observer
from chestnutshift.edge.attempts import (
    SERVER_ERROR,
    AnswerCollector,
    AttemptEnd,
    EndKind,
    UpstreamPool,
    attempt,
)
from chestnutshift.edge.dialect import Dialect
from chestnutshift.edge.pending_requests import Job
from chestnutshift.edge.state import EdgeState
from chestnutshift.forwarding.problems import Problem, Ran, RefusalError
from chestnutshift.steering.choice import Choice
from chestnutshift.steering.work import WorkEstimate

# Upstreams that could not be reached before a request is given up.
UNREACHED_MAX = 3
RETRY_AFTER_MIN_S = 0.3
RETRY_AFTER_MAX_S = 3.0
# Callers that are refused together come back apart.
RETRY_AFTER_SPREAD = 0.5
# An answer that is expected this much later than the time left is not.
OVERDUE = 1.3
# A request queues only while its answer is expected within this multiple of
# its latency objective: longer queues make every caller late.
QUEUE_OBJECTIVES = 1.1


@attrs.define
class Placer:
    """Try upstreams until one answers, and pass its answer on."""

    _state: EdgeState
    _dialect: Dialect
    _pool: UpstreamPool
    _observer: Observer
    _rng: random.Random = attrs.field(factory=random.Random)

    async def run(self, job: Job) -> None:
        """Try upstreams until one answers; raises RefusalError."""
        state = self._state
        service = job.admitted.service
        work = self._work(job.admitted)
        state.retries.count_request(service, boot_time())
        while True:
            choice = self._choose(job, work)
            end = await self._attempt(job, choice, work)
            if not self._may_repeat(job, end):
                break
            job.avoided.add(choice.upstream)
        await self._conclude(job, end)

    def _work(self, admitted: Admitted) -> WorkEstimate:
        key = (admitted.route.name, admitted.service)
        work = self._state.works.get(key)
        if work is None:
            work = WorkEstimate.from_objective(admitted.route.objective_s)
            self._state.works[key] = work
        return work

    def _choose(self, job: Job, work: WorkEstimate) -> Choice:
        now = boot_time()
        admitted = job.admitted
        state = self._state
        choice = None
        if not admitted.has_no_home:
            choice = state.policy.choose(
                job.demand,
                work,
                job.avoided,
                state.cold_gate.may_send,
                now,
            )
        if choice is None:
            raise RefusalError(
                self._unserved(
                    job,
                    'upstreams.none',
                    reasons.none_usable(state.directory, job.demand, now),
                ),
            )
        left_s = job.deadline - now
        objective_s = admitted.route.objective_s
        worth_s = min(left_s * OVERDUE, objective_s * QUEUE_OBJECTIVES)
        is_late = choice.expected_s > worth_s
        if is_late and not choice.has_room and not job.sent:
            raise RefusalError(
                self._unserved(
                    job,
                    'upstreams.busy',
                    reasons.busy(choice, worth_s, now),
                    choice.expected_s - worth_s,
                ),
            )
        return choice

    async def _attempt(
        self,
        job: Job,
        choice: Choice,
        work: WorkEstimate,
    ) -> AttemptEnd:
        """Send the request to the chosen upstream."""
        admitted = job.admitted
        upstream = choice.upstream
        now = boot_time()
        if upstream.is_cold(now):
            self._state.cold_gate.take(upstream, now)
        outbound = self._dialect.write_request(
            admitted.request,
            upstream.name,
            admitted.account_name,
            job.deadline - now,
            None if job.body.whole is None else len(job.body.whole),
        )
        collector = AnswerCollector(
            self._dialect,
            admitted.request,
            job.caller.begin,
            job.caller.pass_part,
        )
        self._state.event_log.emit(
            events.REQUEST_SENT,
            request=admitted.request.request_id,
            upstream=upstream.name,
            expected_s=round(choice.expected_s, 3),
            warmth=choice.warmth,
            load=upstream.load(now),
        )
        before = job.ran
        job.ran = Ran.UNKNOWN
        with self._observer.observe(admitted, choice, work, now) as seen:
            seen.end = await attempt(
                self._pool.connections(upstream, self._connections_max(job)),
                outbound,
                job.body,
                collector,
                is_idempotent=admitted.route.is_idempotent,
            )
        end = seen.end
        if end.kind in {EndKind.NOT_SENT, EndKind.NOT_RUN, EndKind.MISDIRECTED}:
            job.ran = before
        if end.kind is EndKind.NOT_SENT:
            job.unreached += 1
        elif end.kind is not EndKind.MISDIRECTED:
            job.sent += 1
        return end

    def _connections_max(self, job: Job) -> int:
        """Return this VM's part of an upstream's connections."""
        service = self._state.table.services.get(job.admitted.service)
        total = service.connections_max if service else 1
        return max(2, total // len(self._state.fleet.names))

    def _may_repeat(self, job: Job, end: AttemptEnd) -> bool:
        if not job.can_repeat or job.caller.is_started:
            return False
        if boot_time() >= job.deadline:
            return False
        if end.kind in {EndKind.NOT_SENT, EndKind.MISDIRECTED}:
            return job.unreached + job.sent < UNREACHED_MAX
        route = job.admitted.route
        if end.kind is EndKind.ANSWERED:
            if end.reply.status < SERVER_ERROR or not route.is_idempotent:
                return False
        if end.kind is EndKind.BROKEN and not route.is_idempotent:
            return False
        if job.sent >= route.attempts_max:
            return False
        vms = self._state.fleet.claimants(boot_time())
        return self._state.retries.take(job.admitted.service, vms, boot_time())

    async def _conclude(self, job: Job, end: AttemptEnd) -> None:
        if end.kind is EndKind.ANSWERED:
            await job.caller.answer_reply(end.reply)
            self._count(job, end.reply.status)
            self._state.event_log.emit(
                events.REQUEST_ENDED,
                request=job.admitted.request.request_id,
                account=job.admitted.account_name,
                status=end.reply.status,
                after_s=round(boot_time() - job.started_at, 3),
            )
            return
        if job.ran is Ran.NOT_RUN:
            raise RefusalError(
                self._unserved(job, 'upstreams.full', end.detail),
            )
        raise RefusalError(
            Problem(502, 'upstreams.broken', end.detail, Ran.UNKNOWN),
        )

    def _count(self, job: Job, status: int) -> None:
        metrics = self._state.metrics
        metrics.ended.labels(job.admitted.route.name, f'{status}').inc()
        took_s = boot_time() - job.started_at
        metrics.latency.labels(job.admitted.service).observe(took_s)

    def _unserved(
        self,
        job: Job,
        code: str,
        detail: str,
        wait_s: float = 0,
    ) -> Problem:
        """Return the refusal of a request; 503 only if it never ran."""
        if job.ran is not Ran.NOT_RUN:
            return Problem(502, code, detail, job.ran)
        wait_s = min(RETRY_AFTER_MAX_S, max(RETRY_AFTER_MIN_S, wait_s))
        spread = 1 + RETRY_AFTER_SPREAD * self._rng.random()
        return Problem(503, code, detail, retry_after_s=wait_s * spread)
