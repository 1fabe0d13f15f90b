"""Seats are renewed, taken and released under faults of the table."""

import attrs
from trio.testing import trio_test

from chestnutshift.accounts.seat_manager import SeatManager, SeatRow
from chestnutshift.accounts.seats import (
    CLOCK_MARGIN_S,
    SeatLease,
    SeatRecord,
    SeatStep,
    next_step,
)
from chestnutshift.configuration.model import SharesPreset
from chestnutshift.events.log import EventLog
from chestnutshift.exceptions import CodedError

SHARES = SharesPreset(lease_s=10, floor_s=100)
SETTLE_S = 2.1
RECORD = SeatRecord('old', 3, lease_s=10, floor_s=100, settle_s=SETTLE_S)


@attrs.define
class FakeTable:
    """A seats table of one row that may lose answers to writes."""

    row: SeatRow | None = None
    down: bool = False
    loses_answers: bool = False

    async def read(self, seat: str) -> SeatRow | None:
        """Return the row, or raise CodedError in an outage."""
        if self.down:
            raise CodedError('down')
        return self.row

    async def write(self, seat, record, version, operation_id) -> None:
        """Write the row if the version matches, else raise CodedError."""
        if self.down:
            raise CodedError('down')
        current = self.row.version if self.row else None
        if version != current:
            raise CodedError('conflict')
        self.row = SeatRow(record, (version or 0) + 1)
        if self.loses_answers:
            raise CodedError('outcome unknown')


@attrs.define
class SharedState:
    """The clock, the ended VMs and the table that all seat managers share."""

    now: float = 0
    gone: set[str] = attrs.field(factory=set)
    table: FakeTable = attrs.field(factory=FakeTable)

    async def is_gone(self, vm: str) -> bool:
        """Return whether the VM is known to have ended."""
        return vm in self.gone

    def seat_manager(self, vm: str) -> SeatManager:
        """Return the manager of the only seat for this VM."""
        return SeatManager(
            seat='seat-1',
            vm=vm,
            table=self.table,
            is_gone=self.is_gone,
            log=EventLog(vm),
            clock=lambda: self.now,
        )


def test_next_step_follows_the_row_and_its_holder():
    """Each state of the row allows only the step that is safe."""
    cases = (
        (None, 0, False, SeatStep.TAKE),
        (attrs.evolve(RECORD, holder='me'), 0, False, SeatStep.RENEW),
        (attrs.evolve(RECORD, released=True), 0, False, SeatStep.TAKE),
        (RECORD, 10, True, SeatStep.WAIT),
        (RECORD, 10.1 + CLOCK_MARGIN_S, False, SeatStep.WAIT),
        (RECORD, 10.1 + CLOCK_MARGIN_S, True, SeatStep.TAKE),
        (RECORD, 100, False, SeatStep.WAIT),
        (RECORD, 100.1 + CLOCK_MARGIN_S, False, SeatStep.TAKE),
    )
    for record, unchanged_s, gone, step in cases:
        assert next_step(record, 'me', unchanged_s, holder_gone=gone) is step


@trio_test
async def test_a_free_seat_is_taken_and_renewed():
    """Each renewal extends the lease from the moment it was started."""
    shared = SharedState()
    seat_manager = shared.seat_manager('a')
    assert await seat_manager.step(SHARES, SETTLE_S) == SeatLease(
        0, 0, 100, SETTLE_S, 10
    )
    shared.now = 3
    assert await seat_manager.step(SHARES, SETTLE_S) == SeatLease(
        3, 0, 103, SETTLE_S, 10
    )
    assert shared.table.row.record.fence == 1


@trio_test
async def test_an_outage_leaves_the_lease_unchanged():
    """An outage neither extends nor ends the confirmed lease."""
    shared = SharedState()
    seat_manager = shared.seat_manager('a')
    await seat_manager.step(SHARES, SETTLE_S)
    shared.now = 3
    shared.table.down = True
    assert await seat_manager.step(SHARES, SETTLE_S) == SeatLease(
        0, 0, 100, SETTLE_S, 10
    )


@trio_test
async def test_a_lost_answer_extends_nothing():
    """A seat taken without confirmation is usable once it is renewed."""
    shared = SharedState()
    seat_manager = shared.seat_manager('a')
    shared.table.loses_answers = True
    lease = await seat_manager.step(SHARES, SETTLE_S)
    assert not lease.covers(0)
    shared.table.loses_answers = False
    shared.now = 1
    assert await seat_manager.step(SHARES, SETTLE_S) == SeatLease(
        1,
        1 + SETTLE_S,
        101,
        SETTLE_S,
        10,
    )


@trio_test
async def test_a_silent_holder_is_replaced_once_gone():
    """The new holder waits for lease_s, then for the old one's loans."""
    shared = SharedState()
    old, new = shared.seat_manager('old'), shared.seat_manager('new')
    await old.step(SHARES, SETTLE_S)
    shared.gone.add('old')
    assert not (await new.step(SHARES, SETTLE_S)).covers(0)
    shared.now = 10 + CLOCK_MARGIN_S
    assert not (await new.step(SHARES, SETTLE_S)).covers(shared.now)
    shared.now = 11
    lease = await new.step(SHARES, SETTLE_S)
    assert lease.starts == 11 + SETTLE_S
    assert shared.table.row.record.fence == 2
    # The old holder resumes and learns that it lost the seat.
    assert not (await old.step(SHARES, SETTLE_S)).covers(shared.now)
    assert shared.table.row.record.holder == 'new'


@trio_test
async def test_a_holder_that_renews_is_never_replaced():
    """Each renewal restarts the wait, even if the holder is listed as gone."""
    shared = SharedState()
    old, new = shared.seat_manager('old'), shared.seat_manager('new')
    shared.gone.add('old')
    for second in range(60):
        shared.now = second
        await old.step(SHARES, SETTLE_S)
        assert not (await new.step(SHARES, SETTLE_S)).covers(second)


@trio_test
async def test_a_released_seat_is_taken_after_its_loans():
    """The row says how long the loans of the former holder still run."""
    shared = SharedState()
    old, new = shared.seat_manager('old'), shared.seat_manager('new')
    await old.step(SHARES, SETTLE_S)
    assert await old.release(1.5)
    assert not old.lease.covers(0)
    lease = await new.step(SHARES, SETTLE_S)
    assert not lease.covers(1.4)
    assert lease.covers(1.5)
    assert not await old.release(0)
