"""Run accepted requests on upstreams or on VMs of other failure domains.

Failed attempts are retried within the deadline and the retry budget.
"""

import random
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio

from chestnutshift.events.log import EventLog
from chestnutshift.exceptions import CodedError
from chestnutshift.forwarding import events
from chestnutshift.forwarding.exceptions import (
    AttemptBrokenError,
    AttemptNotRunError,
)
from chestnutshift.forwarding.execution import Target
from chestnutshift.forwarding.problems import Ran
from chestnutshift.forwarding.targets import Job, TargetFactory
from chestnutshift.idempotency.claims import NotRunProof
from chestnutshift.regions.model import MovableRequest, Place
from chestnutshift.retries.budget import RetryBudget
from chestnutshift.retries.deadline import Deadline
from chestnutshift.retries.decision import Failure, decide_retry
from chestnutshift.upstreams.connection import ExchangeBrokenError
from chestnutshift.upstreams.connections import (
    ConnectionsExhaustedError,
    NotConnectedError,
)
from chestnutshift.upstreams.dispatch import SlotDemand
from chestnutshift.upstreams.exceptions import (
    ForeignWorkRefusedError,
    NoUpstreamError,
)
from chestnutshift.vms.local_upstreams import LocalUpstreams
from chestnutshift.vms.steering import RegionSteering

FOREIGN_RETRY_AFTER_S = 1.0
# A retry is denied if less time than this would be left for it.
ATTEMPT_MIN_S = 0.01
_NOT_SENT_ERRORS = (NotConnectedError, ConnectionsExhaustedError)


@attrs.frozen
class RequestRunner:
    """Runs requests on local upstreams or on VMs of other failure domains."""

    _local_upstreams: LocalUpstreams
    _steering: RegionSteering
    _targets: TargetFactory
    _budget: RetryBudget
    _rng: random.Random
    _event_log: EventLog

    async def run(self, job: Job) -> None:
        """Run the request until its answer is complete.

        Raises AttemptNotRunError if it has not run, AttemptBrokenError if it
        may have run, RefusedError if no slot becomes free in time.
        """
        accepted = job.accepted
        self._budget.record_attempt(
            job.service,
            accepted.account,
            trio.current_time(),
        )
        while not job.execution.finished:
            try:
                await self._run_once(job)
            except (AttemptNotRunError, AttemptBrokenError) as error:
                self._log_failure(job, error)
                await self._wait_for_retry(job, error)

    async def _wait_for_retry(
        self,
        job: Job,
        error: AttemptNotRunError | AttemptBrokenError,
    ) -> None:
        """Return once the request may be retried, else raise the error."""
        accepted = job.accepted
        failure = Failure(
            service=job.service,
            account=accepted.account,
            idempotent=accepted.service.idempotent or accepted.request.is_safe,
            not_run=job.execution.ran is Ran.NOT_RUN,
            retries_done=job.retries,
            expected_s=ATTEMPT_MIN_S,
        )
        decision = decide_retry(
            failure,
            Deadline(accepted.deadline),
            self._budget,
            trio.current_time(),
            self._rng,
        )
        is_final = decision.denial or job.execution.has_begun()
        if is_final or not job.can_resend:
            raise error
        job.retries += 1
        await trio.sleep(decision.delay_s)

    async def _run_once(self, job: Job) -> None:
        if job.accepted.crossing is not None:
            self._admit_foreign(job)
            await self._run_locally(job)
            return
        place = self._choose_place(job)
        if place is None:
            await self._run_locally(job)
        else:
            await self._run_remotely(job, place)

    def _choose_place(self, job: Job) -> Place | None:
        now = trio.current_time()
        try:
            wait_s = self._local_upstreams.dispatcher.expected_wait_s(
                job.service,
                now,
                job.accepted.account,
            )
        except NoUpstreamError:
            wait_s = float('inf')
        length = job.accepted.request.header(b'content-length') or b'0'
        movable = MovableRequest(
            service=job.service,
            size_b=int(length),
            local_wait_s=wait_s,
            deadline_at=job.accepted.deadline,
        )
        return self._steering.choose(movable, now, job.tried)

    def _admit_foreign(self, job: Job) -> None:
        region = job.accepted.crossing.region
        table = self._local_upstreams.table
        now = trio.current_time()
        if table is None or not table.admit_foreign(job.service, region, now):
            raise ForeignWorkRefusedError(
                f'{job.service}: no slot for other failure domains',
                FOREIGN_RETRY_AFTER_S,
            )

    async def _run_locally(self, job: Job) -> None:
        accepted = job.accepted
        demand = SlotDemand(
            service=job.service,
            request=accepted.request.request_id,
            account=accepted.account,
            deadline_at=accepted.deadline,
            avoided=job.tried,
        )
        dispatcher = self._local_upstreams.dispatcher
        slot = await dispatcher.acquire(demand)
        try:
            with self._recording_failure(job, slot.upstream):
                await self._attempt(job, self._targets.upstream(job, slot))
        finally:
            dispatcher.release(
                slot,
                trio.current_time(),
                complete=job.execution.finished,
            )

    async def _run_remotely(self, job: Job, place: Place) -> None:
        started_at = trio.current_time()
        self._steering.record_move(place, job.service, started_at)
        try:
            await self._attempt(job, self._targets.vm(job, place))
        except AttemptNotRunError:
            job.tried |= {place.vm}
            now = trio.current_time()
            self._steering.record_refusal(place.vm, job.service, now)
            raise
        finally:
            self._steering.record_end(place.vm, job.service, started_at)

    async def _attempt(self, job: Job, target: Target) -> None:
        try:
            await job.execution.run(
                target,
                job.accepted.redacted,
                job.accepted.account,
                job.body,
                job.accepted.deadline,
            )
        except _NOT_SENT_ERRORS as error:
            raise AttemptNotRunError(error.detail) from error
        except AttemptNotRunError:
            job.execution.record_not_run()
            job.claim_tracker.record_not_run(NotRunProof.UPSTREAM_SAID_SO)
            raise
        except ExchangeBrokenError as error:
            raise AttemptBrokenError(
                'the connection broke; the request may have run',
            ) from error

    @contextmanager
    def _recording_failure(self, job: Job, upstream: str) -> Iterator[None]:
        try:
            yield
        except (AttemptNotRunError, AttemptBrokenError) as error:
            job.tried |= {upstream}
            refused = isinstance(error.__cause__, NotConnectedError)
            self._local_upstreams.pool.record_failure(
                upstream,
                error.code,
                trio.current_time(),
                refused=refused,
            )
            raise

    def _log_failure(self, job: Job, error: CodedError) -> None:
        self._event_log.emit(
            events.ATTEMPT_FAILED,
            request=job.accepted.request.request_id,
            account=job.accepted.account,
            code=error.code,
            detail=error.detail,
            ran=job.execution.ran,
        )
