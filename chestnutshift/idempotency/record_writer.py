"""Writing of closed claims to the store, in groups.

Claims wait in memory while the store is unreachable.
"""

import random
from collections.abc import Callable

import trio

from chestnutshift.events.log import EventLog
from chestnutshift.idempotency import events
from chestnutshift.idempotency.claims import Claim, reconcile
from chestnutshift.idempotency.records import make_id
from chestnutshift.storage.backends.base import Platform
from chestnutshift.storage.exceptions import (
    ConflictError,
    OutcomeUnknownError,
    OverLimitError,
    PlatformUnavailableError,
    RequestRejectedError,
)
from chestnutshift.storage.records import Transaction

GROUP_MAX = 32
PENDING_MAX = 10_000
RETRY_DELAY_MIN_S = 0.1
RETRY_DELAY_MAX_S = 5.0

STORE_ERRORS = (PlatformUnavailableError, OutcomeUnknownError, OverLimitError)


class RecordWriter:
    """Writes the records of this VM's closed claims to the store."""

    def __init__(
        self,
        platform: Platform,
        rng: random.Random,
        event_log: EventLog,
        on_written: Callable[[Claim], None],
    ) -> None:
        """Set up a writer that calls `on_written` with each finished claim.

        A claim is finished if its record was written or rejected, or need
        not be written.
        """
        self.limit = PENDING_MAX
        self._platform = platform
        self._rng = rng
        self._event_log = event_log
        self._on_written = on_written
        self._pending: dict[str, Claim] = {}
        self._added = trio.Event()

    def __len__(self) -> int:
        """Return the number of claims that wait to be written."""
        return len(self._pending)

    def add(self, claim: Claim) -> None:
        """Add a closed claim to be written.

        Over the limit, as in a long outage, the oldest ticket's outcome is
        dropped; this VM still answers its repeats until the ticket expires.
        """
        self._pending[claim.record.claim] = claim
        self._added.set()
        if len(self._pending) > self.limit:
            self._drop_oldest_ticket()

    def discard(self, claim: Claim) -> None:
        """Drop a claim that a later claim of this VM replaces."""
        self._pending.pop(claim.record.claim, None)

    async def run(self) -> None:
        """Write claims as they are added, until cancelled."""
        delay_s = RETRY_DELAY_MIN_S
        while True:
            await self._added.wait()
            try:
                await self.flush()
            except STORE_ERRORS as error:
                self._event_log.emit(
                    events.WRITING_DELAYED,
                    waiting=len(self),
                    code=error.code,
                )
                # Jitter keeps VMs from retrying all at once.
                await trio.sleep(delay_s * self._rng.uniform(0.5, 1))
                delay_s = min(2 * delay_s, RETRY_DELAY_MAX_S)
                continue
            delay_s = RETRY_DELAY_MIN_S
            # No claim is pending here, and none can be added before the next
            # iteration, as no await comes between.
            self._added = trio.Event()

    async def flush(self) -> None:
        """Write all pending claims.

        Raises one of STORE_ERRORS; the rest stays pending.
        """
        while self._pending:
            group = list(self._pending.values())[:GROUP_MAX]
            await self._write_group(group)

    async def flush_claim(self, claim: Claim) -> None:
        """Write one claim now; raises one of STORE_ERRORS."""
        while claim.record.claim in self._pending:
            await self._write_group([claim])

    async def _write_group(self, group: list[Claim]) -> None:
        try:
            await self._commit(group)
        except ConflictError as error:
            rows = {row.key: row for row in error.rows}
            for claim in group:
                row = rows.get(claim.request.table_key)
                if row is not None and not reconcile(claim, row):
                    self._finish(claim)
        except RequestRejectedError:
            await self._write_separately(group)
        else:
            for claim in group:
                self._finish(claim)

    async def _write_separately(self, group: list[Claim]) -> None:
        if len(group) > 1:
            for claim in group:
                await self._write_group([claim])
            return
        group[0].emit(self._event_log, events.RECORD_DROPPED)
        self._finish(group[0])

    async def _commit(self, group: list[Claim]) -> None:
        await self._platform.commit(
            Transaction(
                operation_id=make_id(self._rng),
                conditions=tuple(claim.condition for claim in group),
                writes=tuple(claim.write for claim in group),
            )
        )

    def _drop_oldest_ticket(self) -> None:
        for claim in self._pending.values():
            if claim.expires_at is not None:
                claim.emit(self._event_log, events.RECORD_DROPPED)
                self.discard(claim)
                return

    def _finish(self, claim: Claim) -> None:
        if self._pending.pop(claim.record.claim, None) is not None:
            self._on_written(claim)
