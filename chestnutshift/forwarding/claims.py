"""A request's claim in the ledger, followed through its attempts."""

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
    """What an attempt tells the ledger; without a claim, nothing."""

    _ledger: Ledger | None = None
    _claim: Claim | None = None
    _recorder: AnswerRecorder | None = None

    def before_send(self) -> None:
        """Allow one sending; raise ClaimExpiredError if it is too late."""
        if self._claim is not None:
            self._claim.before_send(present_moment())

    def start_answer(self, answer: UpstreamAnswer) -> None:
        """Begin to record an answer."""
        if self._claim is not None:
            self._recorder = AnswerRecorder(answer.status, answer.headers)

    def add_chunk(self, chunk: bytes) -> None:
        """Record the next bytes of the answer."""
        if self._recorder is not None:
            self._recorder.add(chunk)

    def finish(self) -> None:
        """End the claim: the whole answer was read."""
        if self._claim is not None and self._recorder is not None:
            self._ledger.finish(self._claim, self._recorder.outcome())

    def record_not_run(self, proof: NotRunProof) -> None:
        """Note that the last sending surely ran nothing."""
        if self._claim is not None and self._claim.phase is Phase.SENDING:
            self._claim.retry(proof)

    def end(self) -> None:
        """End the claim, whatever happened, by what is known of it."""
        if self._claim is not None:
            self._ledger.abandon(self._claim)


def replay_headers(outcome: Outcome) -> list[tuple[bytes, bytes]]:
    """Return the head of a recorded outcome."""
    kept = [(name.encode(), text.encode()) for name, text in outcome.headers]
    digest = f'sha-256=:{outcome.digest}:'.encode()
    return [*kept, REPLAYED_HEADER, (b'chestnutshift-body-digest', digest)]


def problem_of_verdict(verdict: Verdict) -> Problem:
    """Return what a caller is told of an operation without an outcome."""
    if isinstance(verdict, StillRunning):
        return Problem(
            409,
            'idempotency.running',
            'a request with this Idempotency-Key is under way',
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
        return Problem(404, 'idempotency.not_run', 'it has not run so far')
    if isinstance(verdict, NotSeen):
        return Problem(404, 'idempotency.not_seen', 'no such request is known')
    return Problem(409, 'idempotency.done', 'the operation ran')
