"""In-memory backend with fault injection, for tests and benchmarks."""

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

RECORDED_OPERATIONS_MAX = 200_000
LIST_LAG_S = 1.0


@attrs.frozen
class Outcome:
    """Outcome of a transaction: the written rows, or the conflicting ones."""

    applied: bool
    rows: tuple[Row, ...]


@attrs.define
class _Table:
    """Rows of a table by key as (JSON text, version), and the sorted keys."""

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
    """Tables with conditional transactions, each applied at most once."""

    def __init__(self) -> None:
        """Create a store without tables."""
        self._tables: dict[str, _Table] = {}
        self._operations: dict[str, Outcome] = {}
        # One counter for all rows, so that a row that is deleted and created
        # again never has an earlier version.
        self._versions = itertools.count(ABSENT_VERSION + 1)

    def read(self, table: str, key: str) -> Row:
        """Return the row; an absent row has version ABSENT_VERSION."""
        stored = self._tables.get(table, _Table()).rows.get(key)
        if stored is None:
            return Row(table, key, None, ABSENT_VERSION)
        text, version = stored
        return Row(table, key, json.loads(text), version)

    def scan(
        self,
        table: str,
        prefix: str,
        after: str,
        limit: int,
    ) -> tuple[Row, ...]:
        """Return up to limit rows in key order, starting beyond after."""
        keys = self._tables.get(table, _Table()).keys
        first = bisect.bisect_left(keys, prefix)
        if after:
            first = max(first, bisect.bisect_right(keys, after))
        page = itertools.takewhile(
            lambda key: key.startswith(prefix),
            itertools.islice(keys, first, first + limit),
        )
        return tuple(self.read(table, key) for key in page)

    def recorded_outcome(self, operation_id: str) -> Outcome | None:
        """Return the recorded outcome of an operation, or None."""
        return self._operations.get(operation_id)

    def commit(self, transaction: Transaction) -> Outcome:
        """Apply all writes or none; return the recorded outcome on a repeat."""
        recorded = self.recorded_outcome(transaction.operation_id)
        if recorded is not None:
            return recorded
        conflicts = tuple(self._conflicts(transaction.conditions))
        outcome = Outcome(applied=False, rows=conflicts)
        if not conflicts:
            rows = tuple(self._write(write) for write in transaction.writes)
            outcome = Outcome(applied=True, rows=rows)
        self._operations[transaction.operation_id] = outcome
        if len(self._operations) > RECORDED_OPERATIONS_MAX:
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
        # Stored as text, so that readers never share a mutable value.
        table.put(write.key, json.dumps(write.value), version)
        return Row(write.table, write.key, write.value, version)


class LaggingVmList:
    """List of VMs in which a change becomes visible after lag_s seconds."""

    def __init__(self, vms: Iterable[VmRecord] = ()) -> None:
        """Create a list with VMs that are visible at once."""
        self.lag_s = LIST_LAG_S
        self._newest = {record.vm: record for record in vms}
        self._visible = dict(self._newest)
        self._pending: deque[tuple[float, VmRecord]] = deque()

    def newest(self, vm: str) -> VmRecord | None:
        """Return the VM's latest record, even if it is not visible yet."""
        return self._newest.get(vm)

    def put(self, record: VmRecord, now: float) -> None:
        """Add or replace a record; it becomes visible after the lag."""
        self._newest[record.vm] = record
        self._pending.append((now, record))

    def visible(self, now: float) -> VmList:
        """Return the list that readers see at the time now."""
        as_of = now - self.lag_s
        while self._pending and self._pending[0][0] <= as_of:
            record = self._pending.popleft()[1]
            self._visible[record.vm] = record
        vms = tuple(self._visible[vm] for vm in sorted(self._visible))
        return VmList(as_of, vms)


class Store:
    """Tables, VM list and objects of a platform, shared by its clients."""

    def __init__(self, vms: Iterable[VmRecord] = ()) -> None:
        """Create a store with the VMs, and without rows or objects."""
        self.tables = TableStore()
        self.vms = LaggingVmList(vms)
        self.stored_objects: dict[str, bytes] = {}


@BACKENDS.register('memory')
class MemoryPlatform(Platform):
    """Client of an in-memory store, with its own injected faults.

    outage makes every call raise PlatformUnavailableError before it takes
    effect. The next lose_answers commits take effect, but raise
    OutcomeUnknownError. latency_s delays each call before it takes
    effect.
    """

    def __init__(self, store: Store | None = None) -> None:
        """Create a client of the store, or of a new one."""
        self.store = store or Store()
        self.outage = False
        self.lose_answers = 0
        self.latency_s: float = 0

    async def read(self, table: str, key: str) -> Row | None:
        """Return the row, or None if it is absent."""
        await self._inject_faults()
        row = self.store.tables.read(table, key)
        return row if row.version else None

    async def scan(
        self,
        table: str,
        prefix: str,
        after: str = '',
        limit: int = SCAN_LIMIT,
    ) -> tuple[Row, ...]:
        """Return up to limit rows in key order, starting beyond after."""
        await self._inject_faults()
        return self.store.tables.scan(table, prefix, after, limit)

    async def commit(self, transaction: Transaction) -> tuple[Row, ...]:
        """Apply the transaction once and return the rows that it wrote."""
        await self._inject_faults()
        outcome = self.store.tables.commit(transaction)
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise OutcomeUnknownError('answer lost (injected fault)')
        if not outcome.applied:
            raise ConflictError(outcome.rows)
        return outcome.rows

    async def get_object(self, name: str) -> bytes | None:
        """Return the object's content, or None if it is absent."""
        await self._inject_faults()
        return self.store.stored_objects.get(name)

    async def put_object(self, name: str, body: bytes) -> None:
        """Replace the object."""
        await self._inject_faults()
        self.store.stored_objects[name] = body

    async def list_vms(self) -> VmList:
        """Return the list of VMs as visible after the lag."""
        await self._inject_faults()
        return self.store.vms.visible(trio.current_time())

    async def aclose(self) -> None:
        """Do nothing, as there are no connections."""
        await trio.lowlevel.checkpoint()

    async def _inject_faults(self) -> None:
        await trio.sleep(self.latency_s)
        if self.outage:
            raise PlatformUnavailableError('platform outage (injected fault)')
