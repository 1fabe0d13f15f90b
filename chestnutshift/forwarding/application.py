"""The ASGI application on the callers' port."""

import http
import random

import attrs
import trio

from chestnutshift.configuration.holder import ConfigurationHolder
from chestnutshift.configuration.model import Configuration, Service
from chestnutshift.events.log import EventLog
from chestnutshift.exceptions import CodedError
from chestnutshift.forwarding import events
from chestnutshift.forwarding.attempt import Attempt
from chestnutshift.forwarding.problems import (
    Problem,
    Ran,
    RefusalError,
    problem_of,
)
from chestnutshift.forwarding.requests import (
    CallerGoneError,
    CallerRequest,
    Receive,
    RequestBody,
    Send,
    body_too_large,
    find_service,
    read_request,
)
from chestnutshift.keys import credentials
from chestnutshift.keys.authentication import Identity, KeyRing
from chestnutshift.upstreams.connection import UpstreamError
from chestnutshift.upstreams.directory import (
    Upstream,
    UpstreamDirectory,
    pick,
)

ANONYMOUS = Identity(account='', digest='')


@attrs.define
class Forwarder:
    """Answer callers' requests with the answers of upstreams."""

    failure_domain: str
    holder: ConfigurationHolder
    key_ring: KeyRing
    directory: UpstreamDirectory
    event_log: EventLog
    rng: random.Random

    async def __call__(self, scope: dict, receive: Receive, send: Send) -> None:
        """Serve one request; every ending is a whole answer or an abort."""
        request = read_request(scope)
        attempt = Attempt(request, send)
        try:
            await self._serve(request, attempt, receive)
        except (CallerGoneError, trio.Cancelled):
            # The connection cancels what runs for a caller that closed.
            self.event_log.emit(events.CALLER_GONE, request=request.request_id)
            raise
        except CodedError as error:
            await self._refuse(attempt, error)

    async def _refuse(self, attempt: Attempt, error: CodedError) -> None:
        request_id = attempt.request.request_id
        if attempt.started:
            # Returning without the end of the body aborts the connection.
            self.event_log.emit(
                events.ANSWER_ABORTED,
                request=request_id,
                code=error.code,
            )
            return
        problem = problem_of(error, attempt.ran)
        self.event_log.emit(
            events.REQUEST_REFUSED,
            request=request_id,
            code=problem.code,
            ran=problem.ran,
        )
        await attempt.answer_problem(problem)

    async def _serve(
        self,
        request: CallerRequest,
        attempt: Attempt,
        receive: Receive,
    ) -> None:
        now = trio.current_time()
        configuration = self.holder.current
        service = find_service(configuration, request.path)
        identity = self._identify(request, service, now)
        preset = configuration.preset
        timeout_s = request.timeout_s(preset.deadline_s)
        self._check_length(request, configuration)
        self._check_idempotency(request, service)
        body = RequestBody(receive, preset.body_limit_b)
        with trio.move_on_after(timeout_s) as scope:
            whole = await body.first()
            await self._forward(
                attempt,
                service,
                identity,
                (body, whole),
                now + timeout_s,
            )
        if scope.cancelled_caught:
            raise RefusalError(_too_late(attempt.ran))

    async def _forward(
        self,
        attempt: Attempt,
        service: Service,
        identity: Identity,
        body: tuple[RequestBody, bytes | None],
        deadline: float,
    ) -> None:
        tried: frozenset[str] = frozenset()
        while not attempt.finished:
            upstream = self._pick(service, tried)
            try:
                await attempt.run(upstream, identity.account, body, deadline)
            except UpstreamError as error:
                self._note_failure(attempt, identity, upstream, error)
                attempt.check_repeatable(body[0], error)
                tried |= {upstream.name}
        self.event_log.emit(
            events.REQUEST_ANSWERED,
            request=attempt.request.request_id,
            account=identity.account,
            upstream=upstream.name,
            status=attempt.status,
        )

    def _pick(self, service: Service, tried: frozenset[str]) -> Upstream:
        serving = self.directory.serving(service.name, self.failure_domain)
        upstream = pick(serving, tried, self.rng)
        if upstream is None:
            raise RefusalError(_no_slot(service))
        return upstream

    def _note_failure(
        self,
        attempt: Attempt,
        identity: Identity,
        upstream: Upstream,
        error: CodedError,
    ) -> None:
        self.event_log.emit(
            events.ATTEMPT_FAILED,
            request=attempt.request.request_id,
            account=identity.account,
            upstream=upstream.name,
            code=error.code,
            ran=attempt.ran,
        )

    def _identify(
        self,
        request: CallerRequest,
        service: Service,
        now: float,
    ) -> Identity:
        if service.open:
            return ANONYMOUS
        key = credentials.read_key(request.headers)
        return self.key_ring.authenticate(key, now)

    def _check_length(
        self,
        request: CallerRequest,
        configuration: Configuration,
    ) -> None:
        limit_b = configuration.preset.body_limit_b
        announced = request.header(b'content-length') or b'0'
        if announced.isdigit() and int(announced) > limit_b:
            raise RefusalError(body_too_large(limit_b))

    def _check_idempotency(
        self,
        request: CallerRequest,
        service: Service,
    ) -> None:
        if service.idempotent or request.is_safe:
            return
        detail = 'changes to a non-idempotent service are not offered yet'
        status = http.HTTPStatus.NOT_IMPLEMENTED
        raise RefusalError(
            Problem(status, 'idempotency.not_offered', detail),
        )


def _no_slot(service: Service) -> Problem:
    return Problem(
        http.HTTPStatus.SERVICE_UNAVAILABLE,
        'upstreams.no_slot',
        f'no upstream of {service.name} has a free slot',
        retry_after_s=1,
    )


def _too_late(ran: Ran) -> Problem:
    return Problem(
        http.HTTPStatus.GATEWAY_TIMEOUT,
        'request.deadline_passed',
        'the deadline passed before the answer began',
        ran,
    )
