"""Decide whether a request is sent again after an attempt."""

import attrs

from chestnutshift.edge.attempts import SERVER_ERROR, AttemptEnd, EndKind
from chestnutshift.edge.crash_guard import CrashGuard
from chestnutshift.edge.pending_requests import PendingRequest
from chestnutshift.edge.state import EdgeState

# Attempts of a request, sent or not, after which one that was not sent is not
# retried.
ATTEMPTS_TOTAL_MAX = 3
CUT_OFF_CODE = 'upstreams.cut_off'
STOPPING_CODE = 'vm.stopping'
# Refusals of a peer that another peer may not share.
PEER_REFUSALS_RETRIED = frozenset(
    (
        CUT_OFF_CODE,
        'upstreams.none',
        'table.none',
        'table.older',
        'table.unproven',
        'keys.stale',
        'crossing.refused',
        STOPPING_CODE,
    )
)
_NOT_RUN = frozenset((EndKind.NOT_SENT, EndKind.NOT_RUN))


@attrs.frozen
class RetryDecider:
    """Decides on retries, within the fleet's budget."""

    _state: EdgeState
    _crash_guard: CrashGuard

    def may_retry(
        self, pending: PendingRequest, end: AttemptEnd, now: float
    ) -> bool:
        """Return whether another attempt follows; count it if it is sent."""
        if not _can_resend(pending, now):
            return False
        if end.peer and end.kind in _NOT_RUN:
            may_retry = not end.code or end.code in PEER_REFUSALS_RETRIED
            return self._count_free(pending, 'peer', may_retry=may_retry)
        if end.kind is EndKind.NOT_SENT:
            tried = pending.unreached_count + pending.sent_count
            return self._count_free(
                pending, end.kind.value, may_retry=tried < ATTEMPTS_TOTAL_MAX
            )
        if end.kind is EndKind.MISDIRECTED:
            # Another upstream has the address, and the request has arrived.
            return self._take(pending, now)
        return self._may_repeat(pending, end, now)

    def _count_free(
        self, pending: PendingRequest, reason: str, *, may_retry: bool
    ) -> bool:
        """Count a repeat that is not charged; return whether it follows."""
        if may_retry:
            self._count(pending, reason)
        return may_retry

    def _count(self, pending: PendingRequest, decision: str) -> None:
        service = pending.admitted.service
        self._state.metrics.attempts.repeats.labels(service, decision).inc()

    def _may_repeat(
        self, pending: PendingRequest, end: AttemptEnd, now: float
    ) -> bool:
        """Decide after an attempt that was sent; take from the budget."""
        route = pending.admitted.route
        if end.kind is not EndKind.NOT_RUN and not route.is_idempotent:
            return False
        if end.kind is EndKind.ANSWERED and _is_final(end):
            return False
        if end.kind is EndKind.BROKEN and not self._crash_guard.may_resend(
            pending, now
        ):
            return False
        if pending.sent_count >= route.attempts_max:
            return False
        return self._take(pending, now)

    def _take(self, pending: PendingRequest, now: float) -> bool:
        """Take another arrival from the budget; return whether it allows it."""
        is_allowed = self._state.retries.take(pending.admitted.service, now)
        self._count(pending, 'charged' if is_allowed else 'denied')
        return is_allowed


def _can_resend(pending: PendingRequest, now: float) -> bool:
    if not pending.can_resend or pending.writer.has_begun():
        return False
    return now < pending.deadline


def _is_final(end: AttemptEnd) -> bool:
    """Return whether an answer goes to the caller; a peer has retried."""
    return end.reply.status < SERVER_ERROR or bool(end.peer)
