"""The ASGI application that serves callers' requests."""

import attrs
import trio

from chestnutshift.events.log import EventLog
from chestnutshift.exceptions import CodedError
from chestnutshift.forwarding import events
from chestnutshift.forwarding.attempt import Attempt
from chestnutshift.forwarding.claims import (
    ClaimedWork,
    describe_verdict,
    present_moment,
    replay_headers,
)
from chestnutshift.forwarding.intake import Accepted, Intake
from chestnutshift.forwarding.placing import Job, Placer
from chestnutshift.forwarding.problems import (
    Problem,
    Ran,
    RefusalError,
    problem_of,
)
from chestnutshift.forwarding.requests import (
    DETACH,
    CallerGoneError,
    Detach,
    Receive,
    RequestBody,
    Send,
    read_request,
)
from chestnutshift.idempotency.claims import Claim, KeyedRequest
from chestnutshift.idempotency.fingerprint import BODY_HELD_B, digest_request
from chestnutshift.idempotency.header import read_idempotency_key
from chestnutshift.idempotency.ledger import Ledger
from chestnutshift.idempotency.outcomes import Outcome
from chestnutshift.idempotency.verdicts import Replay, Verdict
from chestnutshift.keys.watch import Watch


@attrs.define
class Forwarder:
    """Answer callers' requests with the answers of upstreams."""

    _intake: Intake
    _ledger: Ledger
    _placer: Placer
    _watch: Watch
    _event_log: EventLog

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request; every ending is a whole answer or an abort."""
        request = read_request(scope)
        attempt = Attempt(request, send)
        detach = scope['extensions'][DETACH]
        try:
            await self._serve(attempt, receive, detach)
        except (CallerGoneError, trio.Cancelled):
            # The connection cancels what runs for a caller that closed.
            self._event_log.emit(
                events.CALLER_GONE,
                request=request.request_id,
            )
            raise
        except CodedError as error:
            await self._refuse(attempt, error)

    async def _refuse(self, attempt: Attempt, error: CodedError) -> None:
        request_id = attempt.request.request_id
        if attempt.started:
            # Returning without the end of the body aborts the connection.
            self._event_log.emit(
                events.ANSWER_ABORTED,
                request=request_id,
                code=error.code,
            )
            return
        problem = problem_of(error, attempt.ran)
        self._event_log.emit(
            events.REQUEST_REFUSED,
            request=request_id,
            code=problem.code,
            ran=problem.ran,
        )
        await attempt.answer_problem(problem)

    async def _serve(
        self,
        attempt: Attempt,
        receive: Receive,
        detach: Detach,
    ) -> None:
        now = trio.current_time()
        accepted = self._intake.accept(attempt.request, now)
        # From here on the request goes without the caller's key.
        attempt.request = accepted.request
        body = RequestBody(receive, accepted.preset.body_limit_b)
        scope = trio.CancelScope(deadline=accepted.deadline)
        with self._watch.subscribe(accepted.identity, scope, now) as watched:
            with scope:
                await self._run(accepted, attempt, body, detach)
        if watched.cause is not None:
            raise watched.cause
        if scope.cancelled_caught:
            raise RefusalError(_too_late(attempt.ran))
        self._event_log.emit(
            events.REQUEST_ANSWERED,
            request=attempt.request.request_id,
            account=accepted.account,
            status=attempt.status,
        )

    async def _run(
        self,
        accepted: Accepted,
        attempt: Attempt,
        body: RequestBody,
        detach: Detach,
    ) -> None:
        await body.hold(BODY_HELD_B)
        if not accepted.needs_claim:
            job = Job(accepted, attempt, body, ClaimedWork())
            await self._placer.run(job)
            return
        outcome = await self._begin(accepted, body)
        if not isinstance(outcome, Claim):
            await _answer_verdict(attempt, outcome)
            return
        claimed = ClaimedWork(self._ledger, outcome)
        # A caller that closes does not stop an operation half-way: its
        # repeat gets the outcome.
        detach()
        try:
            await self._placer.run(Job(accepted, attempt, body, claimed))
        finally:
            claimed.end()

    async def _begin(
        self,
        accepted: Accepted,
        body: RequestBody,
    ) -> Claim | Verdict:
        request = accepted.request
        moment = present_moment()
        digest = digest_request(
            request.method,
            request.target,
            request.headers,
            body.whole,
        )
        keyed = KeyedRequest(
            account=accepted.account,
            key=read_idempotency_key(request.headers),
            digest=digest,
            timeout_s=accepted.deadline - moment.now,
        )
        return await self._ledger.begin(keyed, moment)


async def _answer_verdict(attempt: Attempt, verdict: Verdict) -> None:
    if not isinstance(verdict, Replay):
        raise RefusalError(describe_verdict(verdict))
    await answer_outcome(attempt, verdict.outcome)


async def answer_outcome(attempt: Attempt, outcome: Outcome) -> None:
    """Answer with what is recorded of an operation that ran."""
    attempt.status = outcome.status
    await attempt.answer_whole(
        outcome.status,
        replay_headers(outcome),
        outcome.body or b'',
    )


def _too_late(ran: Ran) -> Problem:
    return Problem(
        504,
        'request.deadline_passed',
        'the deadline passed before the answer began',
        ran,
    )
