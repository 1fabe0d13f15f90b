"""Write closed claims down, in groups, as soon as the store is reachable."""

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
WAITING_MAX = 10_000
DELAY_MIN_S = 0.1
DELAY_MAX_S = 5.0

STORE_ERRORS = (PlatformUnavailableError, OutcomeUnknownError, OverLimitError)


class Settler:
    """The closed claims of one VM that the store doesn't hold yet."""

    def __init__(
        self,
        platform: Platform,
        rng: random.Random,
        event_log: EventLog,
        on_settled: Callable[[Claim], None],
    ) -> None:
        """Call `on_settled` with each claim that needs no more writing."""
        self.limit = WAITING_MAX
        self._platform = platform
        self._rng = rng
        self._event_log = event_log
        self._on_settled = on_settled
        self._waiting: dict[str, Claim] = {}
        self._wake = trio.Event()

    def __len__(self) -> int:
        """Return the number of claims to be written."""
        return len(self._waiting)

    def add(self, claim: Claim) -> None:
        """Have a closed claim written down.

        In a long outage the oldest tickets' outcomes are given up.
        """
        self._waiting[claim.record.claim] = claim
        self._wake.set()
        if len(self._waiting) > self.limit:
            self._give_up_oldest_ticket()

    def forget(self, claim: Claim) -> None:
        """Don't write a claim that a later one of this VM replaces."""
        self._waiting.pop(claim.record.claim, None)

    async def run(self) -> None:
        """Write claims down as they are added, until cancelled."""
        delay_s = DELAY_MIN_S
        while True:
            await self._wake.wait()
            try:
                await self.settle()
            except STORE_ERRORS as error:
                self._event_log.emit(
                    events.SETTLING_DELAYED,
                    waiting=len(self),
                    code=error.code,
                )
                # Spread out, so that VMs don't come back all at once.
                await trio.sleep(delay_s * self._rng.uniform(0.5, 1))
                delay_s = min(2 * delay_s, DELAY_MAX_S)
                continue
            delay_s = DELAY_MIN_S
            # Nothing waits now, and nothing is awaited before the next loop.
            self._wake = trio.Event()

    async def settle(self) -> None:
        """Write everything that waits; raise one of STORE_ERRORS."""
        while self._waiting:
            group = list(self._waiting.values())[:GROUP_MAX]
            await self._settle_group(group)

    async def settle_claim(self, claim: Claim) -> None:
        """Write one claim at once; raise one of STORE_ERRORS."""
        while claim.record.claim in self._waiting:
            await self._settle_group([claim])

    async def _settle_group(self, group: list[Claim]) -> None:
        try:
            await self._commit(group)
        except ConflictError as error:
            rows = {row.key: row for row in error.rows}
            for claim in group:
                row = rows.get(claim.request.table_key)
                if row is not None and not reconcile(claim, row):
                    self._finish(claim)
        except RequestRejectedError:
            await self._settle_rejected(group)
        else:
            for claim in group:
                self._finish(claim)

    async def _settle_rejected(self, group: list[Claim]) -> None:
        if len(group) > 1:
            for claim in group:
                await self._settle_group([claim])
            return
        group[0].emit(self._event_log, events.SETTLING_DROPPED)
        self._finish(group[0])

    async def _commit(self, group: list[Claim]) -> None:
        await self._platform.commit(
            Transaction(
                operation_id=make_id(self._rng),
                conditions=tuple(claim.condition for claim in group),
                writes=tuple(claim.write for claim in group),
            )
        )

    def _give_up_oldest_ticket(self) -> None:
        for claim in self._waiting.values():
            if claim.expires is not None:
                claim.emit(self._event_log, events.SETTLING_DROPPED)
                self.forget(claim)
                return

    def _finish(self, claim: Claim) -> None:
        if self._waiting.pop(claim.record.claim, None) is not None:
            self._on_settled(claim)
