"""Deletion of records past their retention.

Every VM reads a page of the table from time to time. Two VMs may read the
same page, because a deletion applies only to the version of the row that was
read. A claim past its deadline is never sent, so its request can't run after
the record is deleted.
"""

import random

import attrs
import trio

from chestnutshift.events.log import EventLog
from chestnutshift.idempotency import events
from chestnutshift.idempotency.exceptions import UnreadableRecordError
from chestnutshift.idempotency.record_writer import STORE_ERRORS
from chestnutshift.idempotency.records import TABLE, Record, State, make_id
from chestnutshift.idempotency.verdicts import HolderIsGone
from chestnutshift.storage.backends.base import Platform
from chestnutshift.storage.exceptions import ConflictError
from chestnutshift.storage.records import Condition, Row, Transaction, Write

RETENTION_S = 172_800
PAGE_ROWS = 500
MEAN_PAGE_INTERVAL_S = 30


def is_expired(
    record: Record,
    wall_s: float,
    holder_is_gone: HolderIsGone,
) -> bool:
    """Return whether the record may be deleted at a wall time in seconds.

    A running record may be deleted only once its holder is gone, so that a
    live VM never loses the record of its claim.
    """
    if wall_s - record.started_s <= RETENTION_S:
        return False
    return record.state is not State.RUNNING or holder_is_gone(record.holder)


@attrs.define
class Sweeper:
    """Deletes expired records, page by page, from the table.

    After the last page it starts over.
    """

    _platform: Platform
    _rng: random.Random
    _event_log: EventLog
    _holder_is_gone: HolderIsGone
    _last_key: str = ''

    async def run(self) -> None:
        """Sweep pages until cancelled; store outages only delay it.

        Ages are computed by the platform's clock, not by this VM's.
        """
        while True:
            await trio.sleep(MEAN_PAGE_INTERVAL_S * self._rng.uniform(0, 2))
            try:
                vm_list = await self._platform.list_vms()
            except STORE_ERRORS:
                continue
            await self.sweep_page(vm_list.as_of)

    async def sweep_page(self, wall_s: float) -> int:
        """Delete the expired records of the next page; return their number.

        If the store fails, they are left to a later pass.
        """
        try:
            deleted = await self._sweep_page(wall_s)
        except STORE_ERRORS:
            return 0
        except ConflictError:
            return 0
        if deleted:
            self._event_log.emit(events.RECORDS_DELETED, count=deleted)
        return deleted

    async def _sweep_page(self, wall_s: float) -> int:
        rows = await self._platform.scan(TABLE, '', self._last_key, PAGE_ROWS)
        is_last = len(rows) < PAGE_ROWS
        self._last_key = '' if is_last else rows[-1].key
        expired = [row for row in rows if self._is_expired(row, wall_s)]
        if expired:
            await self._platform.commit(self._deletion(expired))
        return len(expired)

    def _is_expired(self, row: Row, wall_s: float) -> bool:
        try:
            record = Record.from_row(row.value)
        except UnreadableRecordError:
            return False
        return is_expired(record, wall_s, self._holder_is_gone)

    def _deletion(self, rows: list[Row]) -> Transaction:
        return Transaction(
            operation_id=make_id(self._rng),
            conditions=tuple(
                Condition(TABLE, row.key, row.version) for row in rows
            ),
            writes=tuple(Write(TABLE, row.key, None) for row in rows),
        )
