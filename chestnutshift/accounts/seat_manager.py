"""Taking, renewing and releasing the lease of this VM's seat."""

import uuid
from collections.abc import Awaitable, Callable
from typing import Protocol

import attrs
import trio

from chestnutshift.accounts import events
from chestnutshift.accounts.seats import (
    NO_LEASE,
    RowWatch,
    SeatLease,
    SeatRecord,
    SeatStep,
    next_step,
)
from chestnutshift.configuration.model import SharesPreset
from chestnutshift.events.log import EventLog
from chestnutshift.exceptions import CodedError


@attrs.frozen
class SeatRow:
    """A row of the seats table and its version."""

    record: SeatRecord
    version: int


class SeatTable(Protocol):
    """The interface of the platform's seats table.

    Both methods raise a CodedError if the platform is unreachable, if the
    row has another version, or if the outcome is unknown.
    """

    async def read(self, seat: str) -> SeatRow | None:
        """Return the row of the seat, or None if there is none."""

    async def write(
        self,
        seat: str,
        record: SeatRecord,
        version: int | None,
        operation_id: str,
    ) -> None:
        """Write the row if its version matches; None expects no row."""


# Tells whether a VM incarnation is known to have ended.
GoneCheck = Callable[[str], Awaitable[bool]]


@attrs.define
class SeatManager:
    """Holds the lease of one seat for one VM incarnation."""

    _seat: str
    _vm: str
    _table: SeatTable
    _is_gone: GoneCheck
    _log: EventLog
    _clock: Callable[[], float] = trio.current_time
    _watch: RowWatch = attrs.field(factory=RowWatch)
    _lease: SeatLease = NO_LEASE
    _is_holder: bool = False
    _fence: int = 0

    @property
    def seat(self) -> str:
        """The name of the seat."""
        return self._seat

    @property
    def lease(self) -> SeatLease:
        """The lease that follows from the last confirmed renewal."""
        return self._lease

    @property
    def fence(self) -> int:
        """The fencing token of the seat; each new holder increments it."""
        return self._fence

    async def step(self, shares: SharesPreset, settle_s: float) -> SeatLease:
        """Try once to take or renew the seat; return the current lease.

        Errors of the platform are logged, not raised. After an error the
        lease stays unchanged and expires by itself.
        """
        try:
            await self._step(shares, settle_s)
        except CodedError as error:
            self._log.emit(
                events.SEAT_UNREACHABLE,
                seat=self._seat,
                code=error.code,
            )
        return self._lease

    async def release(self, settle_s: float) -> bool:
        """Release the seat; return whether the platform confirmed it.

        The caller must have stopped spending. settle_s is the time until
        the last loan from this VM ends.
        """
        self._lease = NO_LEASE
        try:
            return await self._release(settle_s)
        except CodedError:
            return False

    async def _step(self, shares: SharesPreset, settle_s: float) -> None:
        row = await self._table.read(self._seat)
        step = await self._choose_step(row)
        if step is SeatStep.WAIT:
            self._record_loss(row)
            return
        started = self._clock()
        record = self._next_record(row, shares, settle_s)
        await self._write(row, record)
        if step is SeatStep.RENEW and self._is_holder:
            starts = self._lease.starts
        else:
            starts = self._clock() + self._wait_s(row, record)
            self._log.emit(
                events.SEAT_TAKEN,
                seat=self._seat,
                fence=record.fence,
            )
        self._is_holder = True
        self._fence = record.fence
        self._lease = SeatLease(
            started,
            starts,
            started + shares.floor_s,
            record.settle_s,
            shares.lease_s,
        )

    async def _choose_step(self, row: SeatRow | None) -> SeatStep:
        if row is None:
            return SeatStep.TAKE
        record = row.record
        unchanged_s = self._watch.observe(row.version, self._clock())
        holder_gone = False
        if record.holder != self._vm and unchanged_s > record.lease_s:
            holder_gone = await self._is_gone(record.holder)
        return next_step(record, self._vm, unchanged_s, holder_gone=holder_gone)

    def _next_record(
        self,
        row: SeatRow | None,
        shares: SharesPreset,
        settle_s: float,
    ) -> SeatRecord:
        fence = row.record.fence if row else 0
        if row is None or not self._is_holder:
            fence += 1
        if row is not None and not self._is_holder:
            # If the answer to this write is lost, a later renewal takes the
            # wait for the former holder's loans from this record.
            settle_s = max(settle_s, row.record.settle_s)
        return SeatRecord(
            holder=self._vm,
            fence=fence,
            lease_s=shares.lease_s,
            floor_s=shares.floor_s,
            settle_s=settle_s,
        )

    def _wait_s(self, row: SeatRow | None, record: SeatRecord) -> float:
        if row is None:
            return 0
        if row.record.released:
            return row.record.settle_s
        return record.settle_s

    def _record_loss(self, row: SeatRow | None) -> None:
        if not self._is_holder:
            return
        self._is_holder = False
        self._lease = NO_LEASE
        self._log.emit(
            events.SEAT_LOST,
            seat=self._seat,
            holder=row.record.holder if row else '',
        )

    async def _release(self, settle_s: float) -> bool:
        row = await self._table.read(self._seat)
        if row is None or row.record.holder != self._vm:
            return False
        record = attrs.evolve(row.record, released=True, settle_s=settle_s)
        await self._write(row, record)
        self._is_holder = False
        self._log.emit(events.SEAT_RELEASED, seat=self._seat)
        return True

    async def _write(self, row: SeatRow | None, record: SeatRecord) -> None:
        await self._table.write(
            self._seat,
            record,
            row.version if row else None,
            uuid.uuid4().hex,
        )
