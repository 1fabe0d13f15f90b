"""Writing claims to the platform's table before their requests are sent."""

import random

import attrs

from chestnutshift.events.log import EventLog
from chestnutshift.idempotency import events
from chestnutshift.idempotency.claims import Claim
from chestnutshift.idempotency.exceptions import StoreUnreachableError
from chestnutshift.idempotency.moments import Moment
from chestnutshift.idempotency.records import TABLE, Record, make_id
from chestnutshift.idempotency.verdicts import (
    HolderIsGone,
    NotRun,
    StillRunning,
    Verdict,
    verdict_of,
)
from chestnutshift.storage.backends.base import Platform
from chestnutshift.storage.exceptions import (
    ConflictError,
    OutcomeUnknownError,
    OverLimitError,
    PlatformUnavailableError,
    RequestRejectedError,
)
from chestnutshift.storage.records import Row, Transaction

CLAIM_ATTEMPTS_MAX = 3
COMMIT_ATTEMPTS_MAX = 2

NOT_APPLIED_ERRORS = (
    PlatformUnavailableError,
    OverLimitError,
    RequestRejectedError,
)


@attrs.define
class Claimer:
    """Writes the rows of new claims and reads the rows of others."""

    platform: Platform
    rng: random.Random
    event_log: EventLog
    holder_is_gone: HolderIsGone

    async def write(self, claim: Claim, moment: Moment) -> Claim | Verdict:
        """Write the claim; return it, or the verdict if another holds the row.

        Raises StoreUnreachableError, KeyReusedError and
        UnreadableRecordError. The row was not written then, unless the claim
        is marked uncertain.
        """
        for _ in range(CLAIM_ATTEMPTS_MAX):
            row = await self._commit(claim)
            if row.value is None:
                claim.version = row.version
                continue
            stored = Record.from_row(row.value)
            if stored.claim == claim.record.claim:
                claim.mark_claimed(row.version)
                return claim
            stored.check_digest(claim.request.digest)
            verdict = self.verdict_of(stored, moment)
            if not isinstance(verdict, NotRun):
                return verdict
            claim.supersede(stored, row.version)
        return StillRunning()

    async def read(self, table_key: str) -> Record | None:
        """Return the record in a row, or None if there is no row.

        Raises StoreUnreachableError and UnreadableRecordError.
        """
        try:
            row = await self.platform.read(TABLE, table_key)
        except NOT_APPLIED_ERRORS as error:
            raise _unreachable(error) from error
        return None if row is None else Record.from_row(row.value)

    def verdict_of(self, record: Record | None, moment: Moment) -> Verdict:
        """Return the verdict that follows from a record."""
        return verdict_of(record, moment.wall_s, self.holder_is_gone)

    async def _commit(self, claim: Claim) -> Row:
        """Try to write the claim's row, and return the row as it is then."""
        transaction = Transaction(
            operation_id=make_id(self.rng),
            conditions=(claim.condition,),
            writes=(claim.write,),
        )
        for _ in range(COMMIT_ATTEMPTS_MAX):
            was_uncertain = claim.is_uncertain
            # Remains set if the answer is lost or this task is cancelled.
            claim.is_uncertain = True
            try:
                rows = await self.platform.commit(transaction)
            except ConflictError as error:
                claim.is_uncertain = False
                return error.rows[0]
            except OutcomeUnknownError:
                continue
            except NOT_APPLIED_ERRORS as error:
                # This attempt applied nothing, but an earlier one may have.
                claim.is_uncertain = was_uncertain
                raise _unreachable(error) from error
            return rows[0]
        claim.emit(self.event_log, events.CLAIM_UNCERTAIN)
        raise StoreUnreachableError(
            'not run: the store did not confirm that it wrote the record',
        )


def _unreachable(error: Exception) -> StoreUnreachableError:
    refusal = StoreUnreachableError('not run: the store is unreachable')
    if isinstance(error, OverLimitError):
        refusal.retry_after_s = error.retry_after_s
    return refusal
