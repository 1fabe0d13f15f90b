"""The ledger, which begins, closes and looks up at-most-once operations."""

import random
from collections.abc import Iterator
from contextlib import contextmanager

from chestnutshift.events.log import EventLog
from chestnutshift.idempotency import events
from chestnutshift.idempotency.claiming import Claimer
from chestnutshift.idempotency.claims import (
    Claim,
    NotRunProof,
    OperationRequest,
    Phase,
    make_claim,
)
from chestnutshift.idempotency.exceptions import (
    StoreUnreachableError,
    TicketElsewhereError,
)
from chestnutshift.idempotency.memory import ClaimMemory
from chestnutshift.idempotency.moments import Moment
from chestnutshift.idempotency.outcomes import Outcome
from chestnutshift.idempotency.record_writer import STORE_ERRORS, RecordWriter
from chestnutshift.idempotency.records import Holder, State
from chestnutshift.idempotency.tickets import (
    SECRET_B,
    Ticket,
    TicketIssuer,
    parse_ticket,
)
from chestnutshift.idempotency.verdicts import (
    HolderIsGone,
    NotRun,
    NotSeen,
    OutcomeUnknown,
    Verdict,
)
from chestnutshift.storage.backends.base import Platform


class Ledger:
    """The operations of one incarnation of a VM.

    Its owner runs `record_writer.run`, which writes closed claims to the
    store, in a task of its own. Closing a claim is synchronous, so that the
    answer to a caller need not wait for the store, and the claim of a
    cancelled request can still be closed.
    """

    def __init__(
        self,
        platform: Platform,
        holder: Holder,
        rng: random.Random,
        event_log: EventLog,
        holder_is_gone: HolderIsGone,
    ) -> None:
        """Set up a ledger without claims.

        `rng` must be suitable for secrets.
        """
        self._holder = holder
        self._rng = rng
        self._event_log = event_log
        self._claimer = Claimer(platform, rng, event_log, holder_is_gone)
        self._ticket_issuer = TicketIssuer(holder, rng.randbytes(SECRET_B))
        self._record_writer = RecordWriter(
            platform, rng, event_log, self._record_written
        )
        self._memory = ClaimMemory()

    @property
    def record_writer(self) -> RecordWriter:
        """The writer of closed claims."""
        return self._record_writer

    def issue_ticket(self, account: str, moment: Moment) -> str:
        """Return a new ticket; raises TooManyRecordsError."""
        self._memory.check_capacity(moment.now)
        self._event_log.emit(events.TICKET_ISSUED, account=account)
        return self._ticket_issuer.issue(account, moment.now)

    async def begin(
        self,
        request: OperationRequest,
        moment: Moment,
    ) -> Claim | Verdict:
        """Return a claim to run the request, or the verdict for its caller.

        `moment` is when the request arrived. Raises an IdempotencyError if
        the request must be refused, not run.
        """
        ticket = parse_ticket(request.key)
        if ticket is not None:
            return await self._begin_ticket(ticket, request, moment)
        while True:
            existing = self._memory.get(request.table_key)
            if existing is None:
                return await self._claim(request, moment)
            verdict = existing.verdict(request.digest)
            if not isinstance(verdict, NotRun):
                return verdict
            await self._flush_claim(existing)

    def finish(self, claim: Claim, outcome: Outcome) -> None:
        """Close the claim with the upstream's complete answer."""
        claim.close(State.DONE, outcome)
        self._close(claim)

    def close_not_run(
        self,
        claim: Claim,
        proof: NotRunProof = NotRunProof.NOT_SENT,
    ) -> None:
        """Close the claim as not run, so that a repeat may run."""
        claim.close_not_run(proof)
        self._close(claim)

    def abandon(self, claim: Claim) -> None:
        """Close the claim if it is open: as unknown if it was sent.

        To be called at the end of every request, whatever happened.
        """
        if claim.is_open:
            claim.abandon()
            self._close(claim)

    async def resolve(self, account: str, key: str, moment: Moment) -> Verdict:
        """Return the verdict on an operation.

        NotRun and NotSeen hold only for the past: a request that is still in
        flight may run later. Raises StoreUnreachableError and
        UnreadableRecordError, and for tickets TicketElsewhereError,
        TicketExpiredError and TicketForgedError.
        """
        table_key = f'{account}/{key}'
        existing = self._memory.get(table_key)
        if existing is not None:
            return existing.verdict(existing.request.digest)
        ticket = parse_ticket(key)
        if ticket is not None and ticket.holder == self._holder:
            ticket_check_time = self._memory.ticket_check_time(moment.now)
            self._ticket_issuer.check(ticket, account, ticket_check_time)
            return NotSeen()
        record = await self._claimer.read(table_key)
        if record is None and ticket is not None:
            return self._unrecorded_ticket_verdict(ticket)
        return self._claimer.verdict_of(record, moment)

    async def _begin_ticket(
        self,
        ticket: Ticket,
        request: OperationRequest,
        moment: Moment,
    ) -> Claim | Verdict:
        if ticket.holder != self._holder:
            return await self._foreign_ticket_verdict(ticket, request, moment)
        ticket_check_time = self._memory.ticket_check_time(moment.now)
        self._ticket_issuer.check(ticket, request.account, ticket_check_time)
        previous = self._memory.get(request.table_key)
        claim = make_claim(request, self._holder, self._rng, moment)
        if previous is None:
            self._memory.check_capacity(moment.now)
        else:
            verdict = previous.verdict(request.digest)
            if not isinstance(verdict, NotRun):
                return verdict
            self._record_writer.discard(previous)
            claim.supersede(previous.record, previous.version)
        claim.expires_at = ticket.expires_at
        claim.mark_claimed(claim.version)
        self._memory.put(claim)
        claim.emit(self._event_log, events.CLAIMED)
        return claim

    async def _foreign_ticket_verdict(
        self,
        ticket: Ticket,
        request: OperationRequest,
        moment: Moment,
    ) -> Verdict:
        """Return the verdict on a ticket of another holder."""
        self._unrecorded_ticket_verdict(ticket)
        record = await self._claimer.read(request.table_key)
        if record is not None:
            record.check_digest(request.digest)
        verdict = self._claimer.verdict_of(record, moment)
        if isinstance(verdict, (NotRun, NotSeen)):
            # The VM that issued it may have run it since and then lost the
            # outcome before it was written.
            return OutcomeUnknown()
        return verdict

    def _unrecorded_ticket_verdict(self, ticket: Ticket) -> Verdict:
        """Return the verdict on another holder's ticket without a record.

        Raises TicketElsewhereError while that holder may still answer.
        """
        is_same_vm = ticket.holder.vm == self._holder.vm
        if is_same_vm or self._claimer.holder_is_gone(ticket.holder):
            return OutcomeUnknown()
        raise TicketElsewhereError(ticket.holder.vm)

    async def _claim(
        self,
        request: OperationRequest,
        moment: Moment,
    ) -> Claim | Verdict:
        self._memory.check_capacity(moment.now)
        claim = make_claim(request, self._holder, self._rng, moment)
        self._memory.put(claim)
        with self._closing_unless_claimed(claim):
            claim_or_verdict = await self._claimer.write(claim, moment)
        kind = events.CLAIMED if claim_or_verdict is claim else events.REPEATED
        claim.emit(self._event_log, kind)
        return claim_or_verdict

    @contextmanager
    def _closing_unless_claimed(self, claim: Claim) -> Iterator[None]:
        """Close or drop the claim unless the store confirmed it in the block.

        If the store may have written it, it is closed, else dropped. This
        applies to a cancelled task as well.
        """
        try:
            yield
        finally:
            if claim.phase is Phase.CLAIMING and claim.is_uncertain:
                self.abandon(claim)
            elif claim.phase is Phase.CLAIMING:
                self._memory.drop(claim)

    async def _flush_claim(self, claim: Claim) -> None:
        try:
            await self._record_writer.flush_claim(claim)
        except STORE_ERRORS as error:
            raise StoreUnreachableError(
                'not run: the store is unreachable',
            ) from error

    def _close(self, claim: Claim) -> None:
        claim.emit(self._event_log, events.CLOSED)
        self._record_writer.add(claim)

    def _record_written(self, claim: Claim) -> None:
        # A used ticket is kept until it expires.
        if claim.expires_at is None:
            self._memory.drop(claim)
