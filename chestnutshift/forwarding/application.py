"""The ASGI application that serves callers' requests."""

from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from typing import Any

import attrs
import trio

from chestnutshift.callers.exchange import BEGUN_EXTENSION, WORK_EXTENSION
from chestnutshift.events.log import EventLog
from chestnutshift.exceptions import CodedError
from chestnutshift.forwarding import events
from chestnutshift.forwarding.acceptance import Accepted, RequestAcceptor
from chestnutshift.forwarding.claims import (
    ClaimTracker,
    present_moment,
    problem_of_verdict,
    replay_headers,
)
from chestnutshift.forwarding.execution import RequestExecution
from chestnutshift.forwarding.problems import (
    Problem,
    Ran,
    RefusalError,
    problem_of,
)
from chestnutshift.forwarding.request_runner import Job, RequestRunner
from chestnutshift.forwarding.requests import (
    CallerDisconnectedError,
    Receive,
    RequestBody,
    Send,
    read_request,
)
from chestnutshift.idempotency.claims import Claim, OperationRequest
from chestnutshift.idempotency.fingerprint import (
    BODY_DIGEST_MAX_B,
    digest_request,
)
from chestnutshift.idempotency.header import read_idempotency_key
from chestnutshift.idempotency.ledger import Ledger
from chestnutshift.idempotency.outcomes import Outcome
from chestnutshift.idempotency.verdicts import Replay, Verdict
from chestnutshift.keys.authentication import Identity
from chestnutshift.keys.cancellation import RequestCanceller
from chestnutshift.metrics.measures import Measures


@attrs.define
class Forwarder:
    """The ASGI application that forwards requests and returns the answers."""

    _acceptor: RequestAcceptor
    _ledger: Ledger
    _runner: RequestRunner
    _request_canceller: RequestCanceller
    _measures: Measures
    _event_log: EventLog
    _claimed_scopes: set[trio.CancelScope] = attrs.field(factory=set)

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request: send a complete answer or reset the connection."""
        request = read_request(scope)
        execution = RequestExecution(
            request, send, scope['extensions'][BEGUN_EXTENSION]
        )
        try:
            await self._serve(execution, receive, scope['extensions'])
        except (CallerDisconnectedError, trio.Cancelled):
            # CallerConnection cancels the request of a caller that disconnects.
            self._event_log.emit(
                events.CALLER_GONE,
                request=request.request_id,
            )
            raise
        except CodedError as error:
            await self._refuse(execution, error)

    def cancel_claimed(self) -> None:
        """Cancel claimed operations that continue after a disconnect."""
        for shield in self._claimed_scopes:
            shield.cancel()

    async def _refuse(
        self,
        execution: RequestExecution,
        error: CodedError,
    ) -> None:
        request_id = execution.request.request_id
        if execution.has_begun():
            # Returning before the end of the body resets the connection.
            self._event_log.emit(
                events.ANSWER_ABORTED,
                request=request_id,
                code=error.code,
            )
            return
        problem = problem_of(error, execution.ran)
        self._measures.refused(
            execution.account,
            problem.code,
            inside_rate=execution.admitted,
        )
        self._event_log.emit(
            events.REQUEST_REFUSED,
            request=request_id,
            code=problem.code,
            ran=problem.ran,
        )
        await execution.send_problem(problem)

    async def _serve(
        self,
        execution: RequestExecution,
        receive: Receive,
        extensions: Mapping[str, Any],
    ) -> None:
        now = trio.current_time()
        accepted = self._acceptor.accept(execution.request, now)
        execution.account = accepted.account
        await self._acceptor.admit(accepted)
        execution.admitted = True
        body = RequestBody(receive, accepted.preset.body_limit_b)
        scope = trio.CancelScope(deadline=accepted.deadline)
        extensions[WORK_EXTENSION](scope)
        with self._cancelled_on_key_refusal(accepted.identity, scope), scope:
            await self._run(accepted, execution, body)
        if scope.cancelled_caught and not execution.finished:
            raise RefusalError(_end_of_work(execution.ran, accepted.deadline))
        await execution.deliver()
        self._measures.answered(
            accepted.service.name,
            accepted.account,
            trio.current_time() - now,
        )
        self._event_log.emit(
            events.REQUEST_ANSWERED,
            request=execution.request.request_id,
            account=accepted.account,
            status=execution.status,
        )

    @contextmanager
    def _cancelled_on_key_refusal(
        self,
        identity: Identity,
        scope: trio.CancelScope,
    ) -> Iterator[None]:
        """Cancel the scope and raise the cause once the key is refused."""
        if not identity.digest:
            # An open route, or a crossing, whose sender watches the key.
            yield
            return
        now = trio.current_time()
        with self._request_canceller.subscribe(
            identity, scope, now
        ) as subscription:
            yield
        if subscription.cause is not None:
            raise subscription.cause

    async def _run(
        self,
        accepted: Accepted,
        execution: RequestExecution,
        body: RequestBody,
    ) -> None:
        await body.buffer(BODY_DIGEST_MAX_B)
        if not accepted.needs_claim:
            job = Job(accepted, execution, body, ClaimTracker())
            await self._runner.run(job)
            return
        claim_or_verdict = await self._begin_claim(accepted, body)
        if not isinstance(claim_or_verdict, Claim):
            await _hold_verdict(execution, claim_or_verdict)
            return
        claim_tracker = ClaimTracker(self._ledger, claim_or_verdict)
        job = Job(accepted, execution, body, claim_tracker)
        await self._run_claimed(job, accepted.deadline)

    async def _run_claimed(self, job: Job, deadline: float) -> None:
        """Run an operation to completion even if the caller disconnects.

        A repeat of the request then gets the recorded outcome. A withdrawn
        key, the deadline and the end of the VM's grace period still cancel
        the operation.
        """
        shield = trio.CancelScope(deadline=deadline, shield=True)
        self._claimed_scopes.add(shield)
        try:
            with (
                self._cancelled_on_key_refusal(job.accepted.identity, shield),
                shield,
            ):
                await self._runner.run(job)
        finally:
            self._claimed_scopes.discard(shield)
            job.claim_tracker.end()
        if shield.cancelled_caught and not job.execution.finished:
            raise RefusalError(_end_of_work(job.execution.ran, deadline))

    async def _begin_claim(
        self,
        accepted: Accepted,
        body: RequestBody,
    ) -> Claim | Verdict:
        request = accepted.request
        moment = present_moment()
        digest = digest_request(
            request.method,
            accepted.redacted.target,
            request.headers,
            body.buffered,
        )
        operation = OperationRequest(
            account=accepted.account,
            key=read_idempotency_key(request.headers),
            digest=digest,
            timeout_s=accepted.deadline - moment.now,
        )
        return await self._ledger.begin(operation, moment)


async def _hold_verdict(
    execution: RequestExecution,
    verdict: Verdict,
) -> None:
    if not isinstance(verdict, Replay):
        raise RefusalError(problem_of_verdict(verdict))
    await _hold_outcome(execution, verdict.outcome)


async def _hold_outcome(
    execution: RequestExecution,
    outcome: Outcome,
) -> None:
    """Answer with the recorded outcome of an operation that has run."""
    execution.status = outcome.status
    await execution.hold_answer(
        outcome.status,
        replay_headers(outcome),
        outcome.body or b'',
    )


def _end_of_work(ran: Ran, deadline: float) -> Problem:
    """Return why the work on a request was ended: its deadline, or a stop."""
    if trio.current_time() < deadline:
        return Problem(
            504, 'vm.stopped', 'the VM stopped before the answer began', ran
        )
    return Problem(
        504,
        'request.deadline_passed',
        'the deadline passed before the answer began',
        ran,
    )
