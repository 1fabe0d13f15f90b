"""Claims: the right of this process to run an operation once."""

import enum
import random

import attrs

from chestnutshift.events.catalogue import EventKind
from chestnutshift.events.log import EventLog
from chestnutshift.idempotency.exceptions import (
    ClaimExpiredError,
    UnreadableRecordError,
)
from chestnutshift.idempotency.moments import Moment
from chestnutshift.idempotency.outcomes import Outcome
from chestnutshift.idempotency.records import (
    TABLE,
    Holder,
    Record,
    State,
    claim_again,
    make_id,
)
from chestnutshift.idempotency.verdicts import (
    NotRun,
    OutcomeUnknown,
    Replay,
    StillRunning,
    Verdict,
)
from chestnutshift.invariants.registry import (
    AT_MOST_ONCE,
    TRUE_REFUSAL,
    verify,
)
from chestnutshift.storage.records import (
    ABSENT_VERSION,
    Condition,
    Row,
    Write,
)


class Phase(enum.Enum):
    """The progress of a claim in this process."""

    CLAIMING = 'claiming'
    CLAIMED = 'claimed'
    SENDING = 'sending'
    CLOSED = 'closed'


class NotRunProof(enum.Enum):
    """Proof that an attempt did not run the request."""

    NOT_SENT = 'not-sent'
    NOT_CONNECTED = 'not-connected'
    UPSTREAM_SAID_SO = 'upstream-said-so'


@attrs.frozen
class OperationRequest:
    """A request with its idempotency key and the digest of its content.

    A repeat has the same key and digest. The caller is answered within
    `timeout_s` seconds.
    """

    account: str
    key: str
    digest: str
    timeout_s: float

    @property
    def table_key(self) -> str:
        """The key of the operation's row."""
        return f'{self.account}/{self.key}'


@attrs.define(eq=False)
class Claim:
    """A claim of this process, open or not yet written to the store.

    `version` is the row's last known version. The claim is uncertain while
    the store may have written its row without confirming it to this VM.
    `expires_at` is set for a ticket, in seconds on trio's clock.
    """

    request: OperationRequest
    record: Record
    send_before: Moment
    phase: Phase = Phase.CLAIMING
    version: int = ABSENT_VERSION
    is_uncertain: bool = False
    expires_at: float | None = None

    @property
    def condition(self) -> Condition:
        """The condition under which the row may be written."""
        return Condition(TABLE, self.request.table_key, self.version)

    @property
    def write(self) -> Write:
        """The write that stores the record in the row."""
        return Write(TABLE, self.request.table_key, self.record.to_row())

    @property
    def is_open(self) -> bool:
        """Whether the request may still be sent or is in flight."""
        return self.phase is not Phase.CLOSED

    def supersede(self, previous: Record, version: int) -> None:
        """Replace a previous claim that did not run the operation."""
        self.record = claim_again(previous, self.record)
        self.version = version

    def mark_claimed(self, version: int) -> None:
        """Record that this claim holds the row, which has this version."""
        self.version = version
        self.is_uncertain = False
        self.phase = Phase.CLAIMED

    def before_send(self, moment: Moment) -> None:
        """Check that the request may be sent, and mark it as being sent.

        To be called directly before the first byte is sent. Raises
        ClaimExpiredError if the request must not be sent: because it is too
        late, or because it was sent before.
        """
        if moment.is_past(self.send_before):
            raise ClaimExpiredError('not run: too late to send the request')
        is_allowed = verify(
            AT_MOST_ONCE,
            holds=self.phase is Phase.CLAIMED,
            detail=f'claim {self.record.claim} sent in phase {self.phase}',
        )
        if not is_allowed:
            raise ClaimExpiredError('the request of this claim was sent before')
        self.phase = Phase.SENDING

    def allow_retry(self, proof: NotRunProof) -> None:
        """Allow another attempt, given proof that the last one did not run."""
        if self._proves_not_run(proof):
            self.phase = Phase.CLAIMED

    def close(
        self,
        state: State,
        outcome: Outcome | None = None,
    ) -> None:
        """Close the claim; has no effect on a closed claim."""
        if self.phase is Phase.CLOSED:
            return
        self.record = self.record.close(state, outcome)
        self.phase = Phase.CLOSED

    def close_not_run(self, proof: NotRunProof) -> None:
        """Close the claim as not run, or as unknown if the proof is invalid."""
        is_proved = self._proves_not_run(proof)
        self.close(State.NOT_RUN if is_proved else State.UNKNOWN)

    def abandon(self) -> None:
        """Close the claim: as unknown if it was sent, else as not run."""
        was_sent = self.phase is Phase.SENDING
        self.close(State.UNKNOWN if was_sent else State.NOT_RUN)

    def verdict(self, request_digest: str) -> Verdict:
        """Return the verdict for a repeat that reached this VM.

        Raises KeyReusedError if the digest differs.
        """
        self.record.check_digest(request_digest)
        if self.is_open:
            return StillRunning()
        if self.record.state is State.DONE:
            return Replay(self.record.outcome)
        if self.record.state is State.NOT_RUN:
            return NotRun()
        return OutcomeUnknown()

    def emit(self, event_log: EventLog, kind: EventKind) -> None:
        """Log an event about this claim."""
        event_log.emit(
            kind,
            account=self.request.account,
            claim=self.record.claim,
            fence=self.record.fence,
            state=self.record.state,
        )

    def _proves_not_run(self, proof: NotRunProof) -> bool:
        return verify(
            TRUE_REFUSAL,
            holds=self.phase is not Phase.SENDING
            or proof is not NotRunProof.NOT_SENT,
            detail=f'claim {self.record.claim} was sent and may have run',
        )


def make_claim(
    request: OperationRequest,
    holder: Holder,
    rng: random.Random,
    moment: Moment,
) -> Claim:
    """Return a new claim; `moment` is when its request arrived."""
    deadline = moment.later(request.timeout_s)
    record = Record(
        state=State.RUNNING,
        holder=holder,
        claim=make_id(rng),
        fence=1,
        request_digest=request.digest,
        started_s=moment.wall_s,
        send_before_s=deadline.wall_s,
        deadline_s=deadline.wall_s,
    )
    return Claim(request, record, send_before=deadline)


def reconcile(claim: Claim, row: Row) -> bool:
    """Resolve a version conflict between a closed claim and the stored row.

    Return whether the claim still has to be written; it then has the row's
    version. A row of a later claim, or one that can't be read, is kept.
    """
    if row.value is None:
        claim.version = ABSENT_VERSION
        return True
    try:
        stored = Record.from_row(row.value)
    except UnreadableRecordError:
        return False
    if stored.claim == claim.record.claim:
        claim.version = row.version
        return stored != claim.record
    if stored.fence < claim.record.fence:
        claim.version = row.version
        return True
    verify(
        AT_MOST_ONCE,
        holds=claim.record.state is State.NOT_RUN,
        detail=f'claims {claim.record.claim} and {stored.claim} both ran',
    )
    return False
