"""Refuse requests under which upstreams end, by evidence of all VMs."""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import attrs

from chestnutshift.crashes.evidence import CrashEvidence, ProvenEnd
from chestnutshift.crashes.fingerprints import fingerprint
from chestnutshift.crashes.register import Standing
from chestnutshift.crashes.suspects import Suspect
from chestnutshift.edge import events
from chestnutshift.edge.attempts import AttemptEnd, EndKind
from chestnutshift.edge.pending_requests import (
    BODY_BUFFER_MAX_B,
    PendingRequest,
)
from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.share_holders import sender_names
from chestnutshift.forwarding.problems import Problem, RefusalError
from chestnutshift.steering.upstreams import Upstream

# Attempts of one request that may be lost before it is sent no more.
LOST_ATTEMPTS_MAX = 2
# When to come back while the same request is tried at an upstream.
TRIED_RETRY_AFTER_S = 1.0
# How an attempt or a check found that the process of an upstream has ended.
NO_LISTENER = 'no listener'
ANOTHER_RUN = 'another run'

ON_TRIAL = Problem(
    503,
    'request.on_trial',
    'upstreams ended while they ran this request; it is tried at another one '
    'now, and not sent a second time meanwhile',
    retry_after_s=TRIED_RETRY_AFTER_S,
)


@attrs.define
class CrashGuard:
    """Admits requests by what is known of them, and records what they do."""

    _state: EdgeState
    # Refused requests that are on trial at this VM, by fingerprint.
    _on_trial: set[int] = attrs.field(factory=set)
    # Requests that were refused at the last review, by fingerprint.
    _refused: dict[int, Suspect] = attrs.field(factory=dict)
    _evidence: CrashEvidence = attrs.field(
        default=attrs.Factory(
            lambda guard: CrashEvidence(
                guard._state.crashes, guard._state.directory
            ),
            takes_self=True,
        )
    )

    @contextmanager
    def admitting(self, pending: PendingRequest, now: float) -> Iterator[None]:
        """Identify a request, and refuse it if upstreams end under it.

        Raises RefusalError.
        """
        pending.fingerprint = _fingerprint(pending)
        standing = self._standing(pending, now)
        if standing is Standing.REFUSED:
            raise RefusalError(self._refusal(pending.fingerprint, now))
        if standing is not Standing.ON_TRIAL:
            yield
            return
        if pending.fingerprint in self._on_trial:
            raise RefusalError(ON_TRIAL)
        self._on_trial.add(pending.fingerprint)
        try:
            yield
        finally:
            self._on_trial.discard(pending.fingerprint)

    def may_resend(self, pending: PendingRequest, now: float) -> bool:
        """Return whether a request may be sent again after a lost attempt."""
        if pending.lost_count >= LOST_ATTEMPTS_MAX:
            return False
        return self._standing(pending, now) is Standing.CLEAR

    def record_attempt(
        self,
        pending: PendingRequest,
        upstream: Upstream,
        end: AttemptEnd,
        started_at: float,
        now: float,
    ) -> None:
        """Record what the end of an attempt tells of request and upstream."""
        evidence = self._evidence
        if end.is_lost and pending.fingerprint is not None:
            pending.lost_count += 1
            evidence.record_lost(
                pending.fingerprint, _label(pending), upstream, now
            )
        if end.is_refused:
            self._record_refused(upstream, NO_LISTENER)
        if end.kind is EndKind.MISDIRECTED:
            self._record_refused(upstream, ANOTHER_RUN)
        if end.kind in {EndKind.ANSWERED, EndKind.NOT_RUN}:
            evidence.record_alive(upstream, started_at)
        if end.kind is EndKind.ANSWERED and pending.fingerprint is not None:
            self._state.crashes.record_success(pending.fingerprint, now)

    def record_check(
        self,
        upstream: Upstream,
        started_at: float,
        *,
        is_alive: bool,
        proof: str,
    ) -> None:
        """Record a health check; proof tells how it found the process ended."""
        evidence = self._evidence
        if is_alive:
            evidence.record_alive(upstream, started_at)
        elif proof:
            self._record_refused(upstream, proof)

    def awaits_proof(self, upstream: Upstream, now: float) -> bool:
        """Return whether a check may prove that the upstream has ended."""
        return self._evidence.awaits_proof(upstream, now)

    def review(self, now: float) -> None:
        """Draw conclusions from registrations, and log changed verdicts."""
        state = self._state
        self._log_proven(self._evidence.review(now))
        state.crashes.expire(now)
        refused = {
            suspect.fingerprint: suspect for suspect in state.crashes.refused()
        }
        for number, suspect in refused.items():
            if number not in self._refused:
                state.event_log.emit(
                    events.REQUEST_CRASHING,
                    fingerprint=format_fingerprint(number),
                    label=suspect.label,
                    ends=len(suspect.ended_at),
                )
        for cleared in self._refused.keys() - refused.keys():
            state.event_log.emit(
                events.REQUEST_CLEARED,
                fingerprint=format_fingerprint(cleared),
            )
        self._refused = refused
        state.metrics.crashes.refused.set(len(refused))

    def _standing(self, pending: PendingRequest, now: float) -> Standing:
        crashes = self._state.crashes
        if (
            pending.fingerprint is None
            or crashes.find(pending.fingerprint) is None
        ):
            return Standing.CLEAR
        vms = sender_names(self._state.fleet, now)
        return crashes.standing(pending.fingerprint, vms, now)

    def _refusal(self, refused: int, now: float) -> Problem:
        crashes = self._state.crashes
        suspect = crashes.find(refused)
        vms = sender_names(self._state.fleet, now)
        wait_s = max(1, crashes.refused_until(suspect, vms) - now)
        return Problem(
            503,
            'request.crashing',
            f'{len(suspect.ended_at)} upstreams ended while they ran this '
            f'request ({format_fingerprint(refused)}); it is not run again '
            f'for {math.ceil(wait_s)} s unless an operator allows it',
            retry_after_s=wait_s,
        )

    def _record_refused(self, upstream: Upstream, proof: str) -> None:
        """Record that the process that an upstream was is not there.

        A VM that reaches no upstream is refused by all, whether they run or
        not.
        """
        if proof == NO_LISTENER and self._state.directory.reach.is_cut_off:
            return
        evidence = self._evidence
        self._log_proven(evidence.record_refused(upstream, proof))

    def _log_proven(self, proven: list[ProvenEnd]) -> None:
        for end in proven:
            lost = end.lost
            self._state.metrics.crashes.proven.inc()
            self._state.event_log.emit(
                events.CRASH_PROVEN,
                fingerprint=format_fingerprint(lost.fingerprint),
                label=lost.label,
                upstream=lost.upstream.name,
                proof=end.proof,
            )


def format_fingerprint(number: int) -> str:
    """Return a fingerprint as operators see it."""
    return f'{number & 0xFFFFFFFFFFFFFFFF:016x}'


def _fingerprint(pending: PendingRequest) -> int:
    admitted = pending.admitted
    request = admitted.request
    body = pending.body.buffered
    length_b = None
    if body is None:
        # Two long uploads of one sender to one target that begin alike and
        # are equally long count as the same.
        body = pending.body.prefix(BODY_BUFFER_MAX_B)
        length_b = request.length_b or 0
    return fingerprint(
        admitted.account_name,
        request.method,
        request.host,
        request.target,
        body,
        length_b,
    )


def _label(pending: PendingRequest) -> str:
    """Return what operators recognize a request by; no query, no body."""
    request = pending.admitted.request
    account = pending.admitted.account_name or 'anyone'
    return f'{account} {request.method.decode()} {request.host}{request.path}'
