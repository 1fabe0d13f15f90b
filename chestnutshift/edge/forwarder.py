"""Forward callers' requests to upstreams."""

import functools
import math
from collections.abc import Mapping
from typing import Any

import attrs
import trio

from chestnutshift.callers.exchange import (
    BEGUN_EXTENSION,
    DEPARTURE_EXTENSION,
    DISCARD_EXTENSION,
    FOLLOWED_EXTENSION,
    LONG_EXTENSION,
    STREAM_EXTENSION,
    TURN_EXTENSION,
    WORK_EXTENSION,
    WRITTEN_EXTENSION,
)
from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.answer_writer import AnswerWriter
from chestnutshift.edge.attempts import Reply, StreamCutError
from chestnutshift.edge.dialect import Dialect
from chestnutshift.edge.gates import Gate
from chestnutshift.edge.memory_use import ReservedBody
from chestnutshift.edge.pending_requests import (
    BODY_BUFFER_MAX_B,
    PendingRequest,
    request_timeout_s,
)
from chestnutshift.edge.refusals import RETRY_AFTER_MIN_S
from chestnutshift.edge.request_runner import RequestRunner
from chestnutshift.edge.retry_decider import STOPPING_CODE
from chestnutshift.edge.state import EdgeState
from chestnutshift.exceptions import CodedError
from chestnutshift.forwarding.problems import (
    Problem,
    Ran,
    RefusalError,
    problem_of,
)
from chestnutshift.forwarding.requests import (
    CallerDisconnectedError,
    Receive,
    RequestBody,
    Send,
)
from chestnutshift.memory.budget import REQUEST_B, Kind, Reservation

# Statuses that tell a caller that its request has not run and never will.
PROMISING_STATUSES = frozenset((408, 421, 429, 503))
GATEWAY_TIMEOUT_STATUS = 504
# How much longer than its deadline an answer that has begun may take: what an
# upstream has sent by then is on its way, and to cut it loses the requests
# behind it as well. It ends within half a second of the deadline all the same.
BEGUN_EXTENSION_S = 0.3


@attrs.define
class EdgeForwarder:
    """The ASGI application that serves callers, or peers for theirs."""

    _state: EdgeState
    _dialect: Dialect
    _request_runner: RequestRunner
    _gate: Gate
    _is_for_peers: bool = False

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request: send a complete answer or abort the connection."""
        now = boot_time()
        writer = AnswerWriter(
            send,
            self._dialect,
            scope['extensions'][BEGUN_EXTENSION],
            scope['extensions'][TURN_EXTENSION],
            is_for_peer=self._is_for_peers,
        )
        try:
            await self._serve(writer, scope, receive, now)
        except (CallerDisconnectedError, trio.Cancelled):
            has_left = scope['extensions'][DEPARTURE_EXTENSION]()
            self._log_abandoned(writer, now, has_caller_left=has_left)
            raise
        except (StreamCutError, CodedError) as error:
            await self._refuse_or_abort(writer, error, scope['extensions'], now)

    async def _refuse_or_abort(
        self,
        writer: AnswerWriter,
        error: StreamCutError | CodedError,
        extensions: Mapping[str, Any],
        started_at: float,
    ) -> None:
        """Refuse a request, unless a part of its answer has been sent."""
        if isinstance(error, StreamCutError) or writer.has_begun():
            # Returning before the body is complete aborts the connection.
            self._log_aborted(writer, str(error), started_at)
            return
        extensions[DISCARD_EXTENSION]()
        await self._refuse(writer, error, started_at)

    def _log_abandoned(
        self, writer: AnswerWriter, started_at: float, *, has_caller_left: bool
    ) -> None:
        now = boot_time()
        stopping_s = self._state.stop.age_s(now)
        if has_caller_left or stopping_s is None:
            self._state.event_log.emit(
                events.REQUEST_ABANDONED,
                request=writer.request_id,
                upstream=writer.upstream,
                after_s=round(now - started_at, 3),
                has_caller_left=has_caller_left,
            )
            return
        self._state.event_log.emit(
            events.REQUEST_CUT,
            request=writer.request_id,
            account=writer.account,
            route=writer.route,
            upstream=writer.upstream,
            is_ready=writer.is_ready,
            has_begun=writer.has_begun(),
            after_s=round(now - started_at, 3),
            timeout_s=_finite(writer.timeout_s),
            stopping_s=round(stopping_s, 3),
        )

    def _log_aborted(
        self, writer: AnswerWriter, detail: str, started_at: float
    ) -> None:
        self._state.event_log.emit(
            events.REQUEST_ABORTED,
            request=writer.request_id,
            detail=detail,
            has_begun=writer.has_begun(),
            after_s=round(boot_time() - started_at, 3),
            timeout_s=_finite(writer.timeout_s),
            route=writer.route,
            table=self._state.table_version,
        )

    async def _refuse(
        self,
        writer: AnswerWriter,
        error: CodedError,
        started_at: float,
    ) -> None:
        problem = problem_of(error, Ran.NOT_RUN)
        if not writer.is_for_peer:
            # The VM that the caller came to counts the request.
            self._state.metrics.requests_ended.labels(
                writer.route, problem.code
            ).inc()
        self._state.event_log.emit(
            events.REQUEST_REFUSED,
            request=writer.request_id,
            account=writer.account,
            status=problem.status,
            code=problem.code,
            ran=problem.ran.value,
            detail=problem.detail,
            retry_after_s=problem.retry_after_s,
            after_s=round(boot_time() - started_at, 3),
            route=writer.route,
            table=self._state.table_version,
            newest_table=self._state.trust.peer_tables.newest,
            proof_age_s=self._state.freshness.known_age_s(boot_time()),
        )
        await writer.write_problem(problem)

    async def _serve(
        self,
        writer: AnswerWriter,
        scope: dict,
        receive: Receive,
        now: float,
    ) -> None:
        request = self._dialect.read_request(scope)
        writer.request_id = request.request_id
        admitted = self._gate.admit(request, scope['headers'], now)
        self._state.admitted_at = now
        scope['extensions'][LONG_EXTENSION](
            self._request_runner.may_be_long(admitted)
        )
        writer.route = admitted.route.name
        writer.account = admitted.account_name
        writer.timeout_s = request_timeout_s(admitted)
        memory = Reservation(self._state.memory, admitted.route.priority, now)
        pending = PendingRequest(
            admitted,
            RequestBody(
                receive,
                self._state.table.bounds.body_limit_b,
                ReservedBody(memory),
            ),
            writer,
            now,
            now + writer.timeout_s,
            scope['extensions'][DEPARTURE_EXTENSION],
            scope['extensions'][FOLLOWED_EXTENSION],
            memory,
        )
        try:
            # One that can't be served is refused before its body is read.
            self._request_runner.check_stop(pending, now)
            memory.reserve(Kind.REQUEST, REQUEST_B, now)
            reply = await self._obtain_in_time(pending, scope['extensions'])
            await self._deliver(pending, reply, scope['extensions'])
        finally:
            memory.close()

    async def _obtain_in_time(
        self, pending: PendingRequest, extensions: Mapping[str, Any]
    ) -> Reply:
        """Return an answer that is complete before the deadline.

        One that has begun may be complete BEGUN_EXTENSION_S later. Raises
        RefusalError, MemoryFullError if the request has given way, and
        StreamCutError if the time is over after a part of the answer was sent,
        or the VM stops then.
        """
        left_s = pending.deadline - boot_time()
        with trio.move_on_after(max(0, left_s)) as scope:
            extensions[WORK_EXTENSION](scope)
            pending.memory.end = functools.partial(_give_way, pending, scope)
            until = scope.deadline + BEGUN_EXTENSION_S
            pending.writer.prolong = functools.partial(_prolong, scope, until)
            if not pending.admitted.route.is_idempotent:
                await extensions[TURN_EXTENSION]()
            await extensions[STREAM_EXTENSION]()
            await pending.body.buffer(BODY_BUFFER_MAX_B)
            await self._gate.prepare(pending)
            return await self._run(pending)
        pending.memory.keep()
        raise _end_of_work(pending, boot_time())

    async def _deliver(
        self,
        pending: PendingRequest,
        reply: Reply,
        extensions: Mapping[str, Any],
    ) -> None:
        await pending.writer.write_reply(reply)
        # It may wait for the answers before it, and is lost if one breaks off.
        await extensions[WRITTEN_EXTENSION]()
        self._request_runner.record_delivery(pending, reply.status, boot_time())

    async def _run(self, pending: PendingRequest) -> Reply:
        """Return an answer; raises RefusalError with a true word on its run.

        The caller's body may stop, or turn out to be malformed, while an
        upstream is at work on its beginning.
        """
        try:
            return await self._request_runner.run(pending)
        except CallerDisconnectedError:
            raise
        except CodedError as error:
            problem = _true_problem(error, pending.ran)
            raise RefusalError(problem) from error


def _finite(duration_s: float) -> float | None:
    """Return a duration as logs have it: None for an infinite one."""
    return duration_s if math.isfinite(duration_s) else None


def _give_way(pending: PendingRequest, scope: trio.CancelScope) -> None:
    """Drop the body of a request that is not sent, and end it."""
    pending.body.drop()
    scope.cancel()


def _prolong(scope: trio.CancelScope, until: float) -> None:
    """Let the wait for the rest of an answer last longer."""
    scope.deadline = until


def _true_problem(error: CodedError, ran: Ran) -> Problem:
    """Return the refusal of a request, whose status promises nothing untrue."""
    problem = problem_of(error, ran)
    if problem.ran is Ran.NOT_RUN or problem.status not in PROMISING_STATUSES:
        return problem
    return attrs.evolve(
        problem, status=GATEWAY_TIMEOUT_STATUS, retry_after_s=None
    )


def _end_of_work(
    pending: PendingRequest, now: float
) -> StreamCutError | RefusalError:
    """Return why the answer is not complete: the deadline, or the stop."""
    is_stopped = now < pending.deadline
    if pending.writer.has_begun():
        reason = 'the VM stopped' if is_stopped else 'the deadline passed'
        return StreamCutError(f'{reason} while the answer was streamed')
    if is_stopped:
        return RefusalError(_stop_problem(pending))
    return RefusalError(_deadline_problem(pending))


def _stop_problem(pending: PendingRequest) -> Problem:
    if pending.ran is Ran.NOT_RUN:
        return Problem(
            503,
            STOPPING_CODE,
            'the VM stopped before the request was sent',
            retry_after_s=RETRY_AFTER_MIN_S,
        )
    return Problem(
        GATEWAY_TIMEOUT_STATUS,
        'vm.stopped',
        'the VM stopped before the answer was complete',
        Ran.UNKNOWN,
    )


def _deadline_problem(pending: PendingRequest) -> Problem:
    if pending.ran is Ran.NOT_RUN and not pending.sent_count:
        return Problem(
            503,
            'request.not_started',
            'the deadline passed before the request was sent',
            retry_after_s=RETRY_AFTER_MIN_S,
        )
    return Problem(
        GATEWAY_TIMEOUT_STATUS,
        'request.deadline_passed',
        'the deadline passed before the answer was complete',
        Ran.UNKNOWN,
    )
