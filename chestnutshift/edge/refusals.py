"""Refusals of requests that no upstream has served."""

import random

import attrs

from chestnutshift.edge import reasons
from chestnutshift.edge.attempts import AttemptEnd
from chestnutshift.edge.pending_requests import PendingRequest
from chestnutshift.edge.retry_decider import CUT_OFF_CODE, STOPPING_CODE
from chestnutshift.edge.state import EdgeState
from chestnutshift.forwarding.problems import Problem, Ran, RefusalError
from chestnutshift.steering.choice import Choice

RETRY_AFTER_MIN_S = 0.3
# Longest estimate; upstreams may ask for more.
RETRY_AFTER_MAX_S = 3.0
# Largest fraction that is added to a Retry-After at random, so that refused
# callers do not retry simultaneously.
RETRY_AFTER_JITTER = 0.5
OUTDATED_CODE = 'table.outdated'
CUT_OFF_DETAIL = 'no upstream answers this VM, and no peer can send the request'
# When to come back to a VM that is cut off.
CUT_OFF_WAIT_S = 1.0


@attrs.frozen
class Refusals:
    """Refuses requests, with the time after which to come back.

    A request that never ran gets 503, another one 502.
    """

    _state: EdgeState
    _rng: random.Random = attrs.field(factory=random.Random)

    def cut_off(self, pending: PendingRequest) -> RefusalError:
        """Refuse since neither this VM nor a peer can send the request."""
        return self._unserved(
            pending, CUT_OFF_CODE, CUT_OFF_DETAIL, CUT_OFF_WAIT_S
        )

    def outdated(self, pending: PendingRequest, now: float) -> RefusalError:
        """Refuse since peers with a newer route table can't take it."""
        detail = reasons.unproven_table(self._state, now)
        return self._unserved(pending, OUTDATED_CODE, detail, 0)

    def stopping(self, pending: PendingRequest, now: float) -> RefusalError:
        """Refuse since this VM stops before the answer may be complete."""
        detail = reasons.stopping(self._state.stop, pending.deadline, now)
        return self._unserved(pending, STOPPING_CODE, detail, 0)

    def none_usable(self, pending: PendingRequest, now: float) -> RefusalError:
        """Refuse since no upstream may get the request now."""
        directory = self._state.directory
        return self._unserved(
            pending,
            'upstreams.none',
            reasons.none_usable(directory, pending.profile(), now),
            self._room_wait_s(pending.admitted.service, now),
        )

    def busy(
        self,
        pending: PendingRequest,
        choice: Choice,
        allowed_s: float,
        now: float,
    ) -> RefusalError:
        """Refuse since even the best choice would answer too late."""
        return self._unserved(
            pending,
            'upstreams.busy',
            reasons.busy(choice, allowed_s, now),
            min(RETRY_AFTER_MAX_S, choice.expected_s - allowed_s),
        )

    def after(self, pending: PendingRequest, end: AttemptEnd) -> RefusalError:
        """Refuse after the last attempt; a peer's Retry-After is kept."""
        if pending.ran is not Ran.NOT_RUN:
            return RefusalError(
                Problem(502, 'upstreams.broken', end.detail, Ran.UNKNOWN)
            )
        wait_s = end.facts.retry_after_s if end.peer and end.facts else None
        code = end.code or 'upstreams.full'
        return self._unserved(pending, code, end.detail, wait_s or 0)

    def _room_wait_s(self, service: str, now: float) -> float:
        """Return a time until upstreams with a limited rate have room.

        Callers that are refused at the same time return spread over the time
        in which their requests can be sent.
        """
        state = self._state
        usable = [
            upstream
            for upstream in state.directory.of_service(service)
            if state.directory.is_usable(upstream)
        ]
        if usable and all(upstream.is_paused(now) for upstream in usable):
            return min(upstream.paused_until for upstream in usable) - now
        room_s = state.upstream_rates.room_s(service, usable, now)
        return self._rng.uniform(0, min(RETRY_AFTER_MAX_S, room_s))

    def _unserved(
        self, pending: PendingRequest, code: str, detail: str, wait_s: float
    ) -> RefusalError:
        if pending.ran is not Ran.NOT_RUN:
            return RefusalError(Problem(502, code, detail, pending.ran))
        wait_s = max(RETRY_AFTER_MIN_S, wait_s)
        spread_s = min(RETRY_AFTER_MAX_S, wait_s) * RETRY_AFTER_JITTER
        wait_s += self._rng.uniform(0, spread_s)
        return RefusalError(Problem(503, code, detail, retry_after_s=wait_s))
