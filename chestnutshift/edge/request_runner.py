"""Dispatch requests to upstreams, with bounded retries and queueing."""

import functools
from contextlib import nullcontext

import attrs

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.admission import Admitted
from chestnutshift.edge.attempt_observer import AttemptObserver
from chestnutshift.edge.attempts import (
    LONG_ANSWER_B,
    AnswerCollector,
    AttemptEnd,
    EndKind,
    Reply,
    StreamCutError,
    UpstreamPool,
    attempt,
)
from chestnutshift.edge.crash_guard import CrashGuard
from chestnutshift.edge.dialect import Dialect
from chestnutshift.edge.passing_on import PeerForwarder
from chestnutshift.edge.pending_requests import PendingRequest
from chestnutshift.edge.reach_monitor import ReachMonitor, WatchedAttempt
from chestnutshift.edge.refusals import Refusals
from chestnutshift.edge.retry_decider import RetryDecider
from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.view import Peer
from chestnutshift.forwarding.problems import Ran, RefusalError
from chestnutshift.forwarding.requests import CallerDisconnectedError
from chestnutshift.steering.choice import Choice
from chestnutshift.steering.reachability import Reach
from chestnutshift.steering.reached import reached_ratio
from chestnutshift.steering.service_time import ServiceTimeEstimate
from chestnutshift.steering.upstreams import Upstream
from chestnutshift.upstreams.connection import OutboundRequest

# Upstreams that a request did not reach before a peer is asked instead.
UNREACHED_MAX = 2
# With a smaller fraction of a service's upstreams in reach, a request that
# these can't take is passed on to a peer.
REACHED_RATIO_MIN = 0.5
# A request may still be sent if its expected duration is within this
# multiple of the time left, as estimates are inexact.
DEADLINE_TOLERANCE_RATIO = 1.3
# A request queues only while its answer is expected within this multiple of
# its latency objective; longer queues would delay every caller.
QUEUE_OBJECTIVE_RATIO = 1.1


@attrs.define
class RequestRunner:
    """Tries upstreams until one answers."""

    _state: EdgeState
    _dialect: Dialect
    _pool: UpstreamPool
    _observer: AttemptObserver
    _monitor: ReachMonitor
    _crash_guard: CrashGuard
    _peers: PeerForwarder
    _retries: RetryDecider
    _refusals: Refusals

    def check_stop(self, pending: PendingRequest, now: float) -> None:
        """Raise RefusalError if this VM stops before an answer is likely."""
        estimate = self._service_time_estimate(pending.admitted)
        self._check_stop(pending, estimate.mean_s, now)

    def may_be_long(self, admitted: Admitted) -> bool:
        """Return whether the answer may be too long to buffer.

        It is streamed then, and if it breaks off, the requests behind it on the
        caller's connection are lost.
        """
        return self._service_time_estimate(admitted).longest_b > LONG_ANSWER_B

    async def run(self, pending: PendingRequest) -> Reply:
        """Return an upstream's answer; raises RefusalError if there is none.

        All but the last part of a long answer has been sent to the caller.
        """
        now = boot_time()
        with self._crash_guard.admitting(pending, now):
            if pending.admitted.progress is None:
                service = pending.admitted.service
                self._state.retries.count_request(service, now)
            return await self._try_upstreams(pending)

    def record_delivery(
        self, pending: PendingRequest, status: int, now: float
    ) -> None:
        """Count and log an answer that was written."""
        took_s = now - pending.started_at
        self._state.event_log.emit(
            events.REQUEST_ENDED,
            request=pending.admitted.request.request_id,
            account=pending.admitted.account_name,
            status=status,
            after_s=round(took_s, 3),
            objective_s=pending.admitted.route.objective_s,
        )
        if pending.writer.is_for_peer:
            # The VM that the caller came to counts the request.
            return
        metrics = self._state.metrics
        metrics.requests_ended.labels(
            pending.admitted.route.name, f'{status}'
        ).inc()
        metrics.latency.labels(pending.admitted.service).observe(took_s)

    async def _try_upstreams(self, pending: PendingRequest) -> Reply:
        estimate = self._service_time_estimate(pending.admitted)
        stop = self._state.stop
        while True:
            end = await self._try_once(pending, estimate)
            now = boot_time()
            if not stop.can_finish(now, pending.deadline, estimate.mean_s):
                break
            if not self._retries.may_retry(pending, end, now):
                break
        if end.kind is not EndKind.ANSWERED:
            raise self._refusals.after(pending, end)
        # It is not sent again, and the caller may read slowly.
        pending.body.drop()
        return end.reply

    async def _try_once(
        self, pending: PendingRequest, estimate: ServiceTimeEstimate
    ) -> AttemptEnd:
        """Send the request to an upstream, or to a peer that reaches more.

        Raises RefusalError if neither can take it.
        """
        self.check_stop(pending, boot_time())
        if pending.admitted.progress is not None:
            # A refusal may be the last one, and a slow service is no cut.
            await self._monitor.wait_while_silent()
        peer = self._peer_instead(pending, boot_time())
        if peer is not None:
            return await self._peers.send(pending, peer)
        try:
            choice = self._choose(pending, estimate)
        except RefusalError:
            peer = self._peer_if_short(pending, boot_time())
            if peer is None:
                raise
            return await self._peers.send(pending, peer)
        self._check_stop(pending, choice.expected_s, boot_time())
        end = await self._attempt(pending, choice, estimate)
        if not end.is_partial_refusal:
            pending.avoided.add(choice.upstream)
        return end

    def _check_stop(
        self, pending: PendingRequest, expected_s: float, now: float
    ) -> None:
        stop = self._state.stop
        if not stop.can_finish(now, pending.deadline, expected_s):
            raise self._refusals.stopping(pending, now)

    def _peer_instead(self, pending: PendingRequest, now: float) -> Peer | None:
        """Return a peer if this VM should not send the request itself.

        Either its route table is outdated, or upstreams seem to be out of its
        reach.
        """
        if self._state.trust.is_outdated(now):
            peer = self._peers.choose(pending, now, is_newer=True)
            if peer is not None:
                return peer
        is_connected = self._state.directory.reach.reach(now) is Reach.CONNECTED
        if is_connected and pending.unreached_count < UNREACHED_MAX:
            return None
        return self._peers.choose(pending, now)

    def _peer_if_short(
        self, pending: PendingRequest, now: float
    ) -> Peer | None:
        """Return a peer if few upstreams of the service answer this VM."""
        ratio = reached_ratio(self._state.directory, pending.admitted.service)
        if ratio >= REACHED_RATIO_MIN:
            return None
        return self._peers.choose(pending, now)

    def _service_time_estimate(self, admitted: Admitted) -> ServiceTimeEstimate:
        key = (admitted.route.name, admitted.service)
        estimate = self._state.service_time_estimates.get(key)
        if estimate is None:
            estimate = ServiceTimeEstimate.from_route(admitted.route)
            self._state.service_time_estimates[key] = estimate
        return estimate

    def _choose(
        self, pending: PendingRequest, estimate: ServiceTimeEstimate
    ) -> Choice:
        now = boot_time()
        admitted = pending.admitted
        state = self._state
        allowed_s = min(
            (pending.deadline - now) * DEADLINE_TOLERANCE_RATIO,
            admitted.route.objective_s * QUEUE_OBJECTIVE_RATIO,
        )
        choice = None
        if self._is_out_of_reach(pending, now):
            raise self._refusals.cut_off(pending)
        if pending.peers_tried and state.trust.is_outdated(now):
            # Without such a peer the older table is better than none.
            raise self._refusals.outdated(pending, now)
        if not admitted.has_no_home:
            choice = state.policy.choose(
                pending.profile(estimate.answer_b),
                estimate,
                pending.avoided,
                state.upstream_rates.may_send,
                now,
                allowed_s,
            )
        if choice is None:
            raise self._refusals.none_usable(pending, now)
        is_late = choice.expected_s > allowed_s
        if is_late and not choice.has_room and not pending.sent_count:
            raise self._refusals.busy(pending, choice, allowed_s, now)
        return choice

    def _is_out_of_reach(self, pending: PendingRequest, now: float) -> bool:
        """Return whether to send nothing: another VM may still serve it.

        A peer's request is not tried while checks leave that in doubt.
        """
        reach = self._state.directory.reach.reach(now)
        if reach is Reach.IN_DOUBT:
            return pending.admitted.progress is not None
        return reach is Reach.CUT_OFF

    async def _attempt(
        self,
        pending: PendingRequest,
        choice: Choice,
        estimate: ServiceTimeEstimate,
    ) -> AttemptEnd:
        """Send the request to the chosen upstream and record the result.

        Raises CallerDisconnectedError if nobody waits for the answer,
        MemoryFullError if the request has given way, and StreamCutError if the
        answer breaks off after a part of it was passed on.
        """
        if pending.has_caller_left():
            raise CallerDisconnectedError('the caller left before an attempt')
        pending.memory.keep()
        admitted = pending.admitted
        upstream = choice.upstream
        now = boot_time()
        self._state.upstream_rates.record_send(upstream, now)
        outbound = self._dialect.write_request(
            admitted.request,
            upstream.name,
            admitted.account_name,
            pending.deadline - now,
            pending.body_b,
        )
        self._state.event_log.emit(
            events.REQUEST_SENT,
            request=admitted.request.request_id,
            upstream=upstream.name,
            expected_s=round(choice.expected_s, 3),
            cache=choice.state.value,
            load=upstream.load(now),
            slots=upstream.slots,
            is_cold=upstream.is_cold(now),
            waited_s=round(now - pending.started_at, 3),
            sent_count=pending.sent_count,
            unreached_count=pending.unreached_count,
        )
        ran_before = pending.ran
        pending.writer.upstream = upstream.name
        pending.ran = Ran.UNKNOWN
        with self._observer.observe(
            admitted, choice, estimate, pending.object_key, now
        ) as observation:
            observation.end = await self._exchange(
                pending, upstream, outbound, observation.watched
            )
        end = observation.end
        pending.writer.upstream = ''
        self._crash_guard.record_attempt(
            pending, upstream, end, now, boot_time()
        )
        if end.kind is EndKind.CUT:
            raise StreamCutError(end.detail)
        if end.kind in {EndKind.NOT_SENT, EndKind.NOT_RUN, EndKind.MISDIRECTED}:
            pending.ran = ran_before
        if end.kind is EndKind.NOT_SENT:
            pending.unreached_count += 1
        elif end.kind is not EndKind.MISDIRECTED:
            pending.sent_count += 1
        return end

    async def _exchange(
        self,
        pending: PendingRequest,
        upstream: Upstream,
        outbound: OutboundRequest,
        watched: WatchedAttempt,
    ) -> AttemptEnd:
        """Send the request; give up a silent one once this VM is cut off.

        One that is not idempotent may still be answered, and is not sent
        elsewhere, so it waits.
        """
        collector = AnswerCollector(
            self._dialect,
            pending.admitted.request,
            pending.writer.start,
            pending.writer.write_part,
            pending.writer.has_begun,
            functools.partial(self._observer.record_head, upstream, watched),
            pending.memory,
            pending.is_followed,
            pending.writer.wait_for_turn,
        )
        is_idempotent = pending.admitted.route.is_idempotent
        with watched.scope if is_idempotent else nullcontext():
            return await attempt(
                self._pool.connections(
                    upstream, self._connections_max(pending)
                ),
                outbound,
                pending.body,
                collector,
                is_idempotent=is_idempotent,
                used=pending.used_connections,
                may_send=functools.partial(self._may_send, upstream),
            )
        return AttemptEnd(EndKind.BROKEN, 'this VM reaches no upstream')

    def _may_send(self, upstream: Upstream) -> bool:
        """Return whether a chosen upstream still takes requests."""
        if upstream.is_paused(boot_time()):
            return False
        return self._state.directory.is_usable(upstream)

    def _connections_max(self, pending: PendingRequest) -> int:
        """Return this VM's share of an upstream's permitted connections."""
        service = self._state.table.services.get(pending.admitted.service)
        total = service.connections_max if service else 1
        return max(2, total // len(self._state.fleet.names))
