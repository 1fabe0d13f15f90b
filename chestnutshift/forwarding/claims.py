"""The idempotency claim of a request, tracked through its attempts."""

import time

import attrs
import trio

from chestnutshift.forwarding.problems import Problem, Ran
from chestnutshift.idempotency.claims import Claim, NotRunProof, Phase
from chestnutshift.idempotency.ledger import Ledger
from chestnutshift.idempotency.moments import Moment
from chestnutshift.idempotency.outcomes import AnswerRecorder, Outcome
from chestnutshift.idempotency.verdicts import (
    NotRun,
    NotSeen,
    OutcomeUnknown,
    StillRunning,
    Verdict,
)
from chestnutshift.upstreams.connection import UpstreamAnswer

REPLAYED_HEADER = (b'idempotency-replayed', b'true')


def present_moment() -> Moment:
    """Return the present time on both clocks."""
    return Moment(trio.current_time(), time.time())


@attrs.define
class ClaimTracker:
    """Reports the progress of a request to the idempotency ledger.

    Without a claim it does nothing.
    """

    _ledger: Ledger | None = None
    _claim: Claim | None = None
    _recorder: AnswerRecorder | None = None

    def before_send(self) -> None:
        """Allow one attempt; raise ClaimExpiredError if it must not be sent."""
        if self._claim is not None:
            self._claim.before_send(present_moment())

    def start_answer(self, answer: UpstreamAnswer) -> None:
        """Start recording an answer."""
        if self._claim is not None:
            self._recorder = AnswerRecorder(answer.status, answer.headers)

    def add_chunk(self, chunk: bytes) -> None:
        """Record the next part of the answer's body."""
        if self._recorder is not None:
            self._recorder.add(chunk)

    def finish(self) -> None:
        """Complete the claim with the recorded answer."""
        if self._claim is not None and self._recorder is not None:
            self._ledger.finish(self._claim, self._recorder.outcome())

    def record_not_run(self, proof: NotRunProof) -> None:
        """Record that the last attempt did not run the request."""
        if self._claim is not None and self._claim.phase is Phase.SENDING:
            self._claim.allow_retry(proof)

    def end(self) -> None:
        """End the claim if it is open; if sent, its outcome is unknown."""
        if self._claim is not None:
            self._ledger.abandon(self._claim)


def replay_headers(outcome: Outcome) -> list[tuple[bytes, bytes]]:
    """Return the headers to replay a recorded outcome with."""
    headers = [(name.encode(), text.encode()) for name, text in outcome.headers]
    digest = f'sha-256=:{outcome.digest}:'.encode()
    return [*headers, REPLAYED_HEADER, (b'chestnutshift-body-digest', digest)]


def problem_of_verdict(verdict: Verdict) -> Problem:
    """Return the problem for an operation without an outcome to replay."""
    if isinstance(verdict, StillRunning):
        return Problem(
            409,
            'idempotency.running',
            'a request with this Idempotency-Key is still running',
            Ran.UNKNOWN,
            verdict.retry_after_s,
        )
    if isinstance(verdict, OutcomeUnknown):
        return Problem(
            409,
            'idempotency.outcome_unknown',
            'the operation may have run; it will not run again',
            Ran.UNKNOWN,
        )
    if isinstance(verdict, NotRun):
        return Problem(
            404, 'idempotency.not_run', 'the operation has not run yet'
        )
    if isinstance(verdict, NotSeen):
        return Problem(
            404, 'idempotency.not_seen', 'no request with this key is known'
        )
    return Problem(409, 'idempotency.done', 'the operation has run')
