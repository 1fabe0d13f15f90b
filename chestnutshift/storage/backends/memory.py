"""A platform in memory, with fault switches, for tests and benchmarks."""

import bisect
import itertools
import json
from collections import deque
from collections.abc import Iterable

import attrs
import trio

from chestnutshift.storage.backends.base import BACKENDS, SCAN_LIMIT, Platform
from chestnutshift.storage.exceptions import (
    ConflictError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from chestnutshift.storage.records import (
    ABSENT_VERSION,
    Condition,
    Row,
    Transaction,
    VmList,
    VmRecord,
    Write,
)

KEPT_OPERATIONS = 200_000
LIST_LAG_S = 1.0


@attrs.frozen
class Outcome:
    """What a transaction led to: the rows written, or those in the way."""

    applied: bool
    rows: tuple[Row, ...]


@attrs.define
class _Table:
    """Rows of one table as (JSON text, version), with their keys sorted."""

    rows: dict[str, tuple[str, int]] = attrs.field(factory=dict)
    keys: list[str] = attrs.field(factory=list)

    def put(self, key: str, text: str, version: int) -> None:
        """Insert or replace a row."""
        if key not in self.rows:
            bisect.insort(self.keys, key)
        self.rows[key] = (text, version)

    def delete(self, key: str) -> None:
        """Remove a row if it is there."""
        if self.rows.pop(key, None) is not None:
            self.keys.pop(bisect.bisect_left(self.keys, key))


class TableStore:
    """Tables with conditional transactions that apply at most once."""

    def __init__(self) -> None:
        """Start with no rows."""
        self._tables: dict[str, _Table] = {}
        self._operations: dict[str, Outcome] = {}
        # One counter for all rows: a deleted row's versions never come back.
        self._versions = itertools.count(ABSENT_VERSION + 1)

    def read(self, table: str, key: str) -> Row:
        """Return the row; an absent one has version ABSENT_VERSION."""
        found = self._tables.get(table, _Table()).rows.get(key)
        if found is None:
            return Row(table, key, None, ABSENT_VERSION)
        text, version = found
        return Row(table, key, json.loads(text), version)

    def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
    ) -> tuple[Row, ...]:
        """Return up to limit rows in the order of their keys."""
        keys = self._tables.get(table, _Table()).keys
        first = bisect.bisect_left(keys, prefix)
        if after:
            first = max(first, bisect.bisect_right(keys, after))
        page = itertools.takewhile(
            lambda key: key.startswith(prefix),
            itertools.islice(keys, first, first + limit),
        )
        return tuple(self.read(table, key) for key in page)

    def recorded(self, operation_id: str) -> Outcome | None:
        """Return the outcome of an earlier transaction, or None."""
        return self._operations.get(operation_id)

    def commit(self, transaction: Transaction) -> Outcome:
        """Apply all of the writes or none; repeat a recorded outcome."""
        recorded = self.recorded(transaction.operation_id)
        if recorded is not None:
            return recorded
        conflicts = tuple(self._conflicts(transaction.conditions))
        outcome = Outcome(applied=False, rows=conflicts)
        if not conflicts:
            rows = tuple(self._write(write) for write in transaction.writes)
            outcome = Outcome(applied=True, rows=rows)
        self._operations[transaction.operation_id] = outcome
        if len(self._operations) > KEPT_OPERATIONS:
            self._operations.pop(next(iter(self._operations)))
        return outcome

    def _conflicts(self, conditions: Iterable[Condition]) -> Iterable[Row]:
        for condition in conditions:
            row = self.read(condition.table, condition.key)
            if row.version != condition.version:
                yield row

    def _write(self, write: Write) -> Row:
        table = self._tables.setdefault(write.table, _Table())
        if write.value is None:
            table.delete(write.key)
            return Row(write.table, write.key, None, ABSENT_VERSION)
        version = next(self._versions)
        # Kept as text, so that no reader shares a mutable value.
        table.put(write.key, json.dumps(write.value), version)
        return Row(write.table, write.key, write.value, version)


class VmRegister:
    """The list of VMs; a change becomes visible after a lag in seconds."""

    def __init__(self, vms: Iterable[VmRecord] = ()) -> None:
        """Start with VMs that are visible at once."""
        self.lag_s = LIST_LAG_S
        self._newest = {record.vm: record for record in vms}
        self._visible = dict(self._newest)
        self._pending: deque[tuple[float, VmRecord]] = deque()

    def newest(self, vm: str) -> VmRecord | None:
        """Return the VM's record, visible already or not."""
        return self._newest.get(vm)

    def put(self, record: VmRecord, now: float) -> None:
        """Add or replace one VM; seen once the lag has passed."""
        self._newest[record.vm] = record
        self._pending.append((now, record))

    def visible(self, now: float) -> VmList:
        """Return the list as its readers see it now."""
        as_of = now - self.lag_s
        while self._pending and self._pending[0][0] <= as_of:
            record = self._pending.popleft()[1]
            self._visible[record.vm] = record
        vms = tuple(self._visible[vm] for vm in sorted(self._visible))
        return VmList(as_of, vms)


class Store:
    """Everything that one platform keeps; several clients may share it."""

    def __init__(self, vms: Iterable[VmRecord] = ()) -> None:
        """Start with the VMs and without rows or objects."""
        self.tables = TableStore()
        self.vms = VmRegister(vms)
        self.blobs: dict[str, bytes] = {}


@BACKENDS.register('memory')
class MemoryPlatform(Platform):
    """One VM's access to a store in memory, with its own faults.

    outage makes every call raise PlatformUnavailableError before it takes
    effect. lose_answers counts the next commits that take effect and raise
    OutcomeUnknownError. latency_s is slept before each call takes effect.
    """

    def __init__(self, store: Store | None = None) -> None:
        """Reach the given store, or a new one."""
        self.store = store or Store()
        self.outage = False
        self.lose_answers = 0
        self.latency_s: float = 0

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it is absent."""
        await self._travel()
        row = self.store.tables.read(table, key)
        return row if row.version else None

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str = '',
        limit: int = SCAN_LIMIT,
    ) -> tuple[Row, ...]:
        """Return up to limit rows by key, from the first key beyond after."""
        await self._travel()
        return self.store.tables.scan(table, prefix, after, limit)

    async def commit(self, transaction: Transaction) -> tuple[Row, ...]:
        """Apply the transaction once and return the rows that it wrote."""
        await self._travel()
        outcome = self.store.tables.commit(transaction)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise OutcomeUnknownError('the answer was lost')
        if not outcome.applied:
            raise ConflictError(outcome.rows)
        return outcome.rows

    async def get_object(self, name: str) -> bytes | None:
        """Return the object's content, or None if it is absent."""
        await self._travel()
        return self.store.blobs.get(name)

    async def put_object(self, name: str, body: bytes) -> None:
        """Replace the object."""
        await self._travel()
        self.store.blobs[name] = body

    async def list_vms(self) -> VmList:
        """Return the lagging list of VMs."""
        await self._travel()
        return self.store.vms.visible(trio.current_time())

    async def aclose(self) -> None:
        """Close nothing: there are no connections."""
        await trio.lowlevel.checkpoint()

    async def _travel(self) -> None:
        await trio.sleep(self.latency_s)
        if self.outage:
            raise PlatformUnavailableError('the platform is switched off')
