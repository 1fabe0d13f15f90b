"""The lease of this VM's seat, in the seats table of the platform."""

import pathlib

import trio

from chestnutshift.accounts.seat_manager import SeatManager, SeatRow
from chestnutshift.accounts.seats import SEATS_TABLE, SeatRecord
from chestnutshift.events.log import EventLog
from chestnutshift.storage.backends.base import Platform
from chestnutshift.storage.records import (
    ABSENT_VERSION,
    Condition,
    Transaction,
    Write,
)
from chestnutshift.vms.state import VmState

RENEWALS_PER_LEASE = 4
CONFIGURATION_WAIT_S = 0.2
BOOT_ID_PATH = pathlib.Path('/proc/sys/kernel/random/boot_id')
_SEPARATOR = '/'


class PlatformSeatTable:
    """The seats table in the platform's table service."""

    def __init__(self, platform: Platform) -> None:
        """Create an adapter of the platform to the SeatTable protocol."""
        self._platform = platform

    async def read(self, seat: str) -> SeatRow | None:
        """Return the seat's row or None; raise the platform's errors."""
        row = await self._platform.read(SEATS_TABLE, seat)
        if row is None:
            return None
        return SeatRow(SeatRecord.from_row(row.value), row.version)

    async def write(
        self,
        seat: str,
        record: SeatRecord,
        version: int | None,
        operation_id: str,
    ) -> None:
        """Write the row if its version matches; None expects no row."""
        condition = Condition(SEATS_TABLE, seat, version or ABSENT_VERSION)
        write = Write(SEATS_TABLE, seat, record.as_row())
        await self._platform.commit(
            Transaction(operation_id, (condition,), (write,)),
        )


def holder_name(vm: str, incarnation: str) -> str:
    """Return the name under which a process holds its seat.

    It contains the boot id of the machine, by which the next process on the
    same VM can tell that this one has ended.
    """
    boot = BOOT_ID_PATH.read_text().strip() if BOOT_ID_PATH.exists() else ''
    return _SEPARATOR.join((vm, boot, incarnation))


def is_predecessor(holder: str, own_holder: str) -> bool:
    """Return whether holder was an earlier process of this VM since its boot.

    Call this only in a process that listens on the VM's address. No two
    processes can, so the earlier one has ended and is not just paused.
    """
    holder_parts = holder.split(_SEPARATOR)
    own_parts = own_holder.split(_SEPARATOR)
    has_boot = len(holder_parts) == len(own_parts) and bool(own_parts[1])
    return has_boot and holder_parts[:2] == own_parts[:2]


def make_seat_manager(
    vm: str,
    holder: str,
    platform: Platform,
    event_log: EventLog,
) -> SeatManager:
    """Return the manager of a VM's seat."""

    async def is_gone(other: str) -> bool:
        return is_predecessor(other, holder)

    table = PlatformSeatTable(platform)
    return SeatManager(vm, holder, table, is_gone, event_log)


async def maintain_seat(state: VmState) -> None:
    """Acquire and renew the seat's lease, and apply it; forever."""
    while True:
        if not state.holder.number:
            await trio.sleep(CONFIGURATION_WAIT_S)
            continue
        shares = state.holder.current.preset.shares
        with trio.move_on_after(shares.lease_s):
            before = state.seat_manager.lease.started
            lease = await state.seat_manager.step(
                shares, state.admission.settle_s
            )
            state.seat_renewals += int(lease.started > before)
            now = trio.current_time()
            state.admission.apply_renewal(lease, now)
            state.local_upstreams.apply_seat(state.seat_manager.fence, now)
        pause_s = shares.lease_s / RENEWALS_PER_LEASE
        await trio.sleep(pause_s if state.admission.lease.covers(now) else 1)


async def release_seat(state: VmState) -> None:
    """Release the seat, so that another process need not wait for expiry."""
    settle_s = state.admission.stop_spending(trio.current_time())
    await state.seat_manager.release(settle_s)
