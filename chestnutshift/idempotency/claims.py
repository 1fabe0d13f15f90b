"""A claim: the right of this process to run one operation once."""

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
    """Where a claim is in this process."""

    CLAIMING = 'claiming'
    CLAIMED = 'claimed'
    SENDING = 'sending'
    CLOSED = 'closed'


class NotRunProof(enum.Enum):
    """Why it is sure that an upstream did not run the request."""

    NOT_SENT = 'not-sent'
    NOT_CONNECTED = 'not-connected'
    UPSTREAM_SAID_SO = 'upstream-said-so'


@attrs.frozen
class KeyedRequest:
    """A request with its idempotency key and what tells its repeats.

    The caller is answered within `timeout_s` seconds.
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
    """One claim of this process, open or waiting to be written down.

    `version` is the version that the row is believed to have. The claim is
    uncertain while its row may have been written without this VM knowing.
    `expires_at` is set for a ticket: seconds of this VM's own clock.
    """

    request: KeyedRequest
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
        """The row as it should be."""
        return Write(TABLE, self.request.table_key, self.record.to_row())

    @property
    def is_open(self) -> bool:
        """Whether the request may still be sent or be under way."""
        return self.phase is not Phase.CLOSED

    def supersede(self, previous: Record, version: int) -> None:
        """Claim an operation whose previous claim did not run it."""
        self.record = claim_again(previous, self.record)
        self.version = version

    def mark_claimed(self, version: int) -> None:
        """Take note that the row of this version is ours."""
        self.version = version
        self.is_uncertain = False
        self.phase = Phase.CLAIMED

    def before_send(self, moment: Moment) -> None:
        """Allow one sending, directly before the first byte.

        Raises ClaimExpiredError, also for a claim that was sent already;
        nothing may be sent then.
        """
        if moment.is_past(self.send_before):
            raise ClaimExpiredError('not run: too late to send the request')
        is_allowed = verify(
            AT_MOST_ONCE,
            holds=self.phase is Phase.CLAIMED,
            detail=f'claim {self.record.claim} sent while {self.phase}',
        )
        if not is_allowed:
            raise ClaimExpiredError('the claim was used already')
        self.phase = Phase.SENDING

    def retry(self, proof: NotRunProof) -> None:
        """Allow another sending, as the last one ran nothing."""
        if self._proves_not_run(proof):
            self.phase = Phase.CLAIMED

    def close(
        self,
        state: State,
        outcome: Outcome | None = None,
    ) -> None:
        """End the claim; a second end changes nothing."""
        if self.phase is Phase.CLOSED:
            return
        self.record = self.record.close(state, outcome)
        self.phase = Phase.CLOSED

    def close_not_run(self, proof: NotRunProof) -> None:
        """End the claim as not run, or as unknown for want of proof."""
        is_proved = self._proves_not_run(proof)
        self.close(State.NOT_RUN if is_proved else State.UNKNOWN)

    def abandon(self) -> None:
        """End the claim by what is known of it."""
        was_sent = self.phase is Phase.SENDING
        self.close(State.UNKNOWN if was_sent else State.NOT_RUN)

    def verdict(self, request_digest: str) -> Verdict:
        """Return what a repeat at this VM is told; check its digest."""
        self.record.check_digest(request_digest)
        if self.is_open:
            return StillRunning()
        if self.record.state is State.DONE:
            return Replay(self.record.outcome)
        if self.record.state is State.NOT_RUN:
            return NotRun()
        return OutcomeUnknown()

    def emit(self, event_log: EventLog, kind: EventKind) -> None:
        """Record an event about this claim."""
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
            detail=f'claim {self.record.claim} was sent, and runs perhaps',
        )


def make_claim(
    request: KeyedRequest,
    holder: Holder,
    rng: random.Random,
    moment: Moment,
) -> Claim:
    """Return a new claim; `moment` is when its request came in."""
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
    """Compare a closed claim with a row that another version was expected of.

    Return whether the claim still has to be written, under the version that
    it has now. A row of a later claim, or one that can't be read, is left
    alone.
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
        detail=f'claim {claim.record.claim} ran beside {stored.claim}',
    )
    return False
