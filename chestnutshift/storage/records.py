"""Records of the table service and of the VM list."""

import enum
from typing import Any

import attrs

ABSENT_VERSION = 0


@attrs.frozen
class Row:
    """One row of a table.

    The value is any JSON value. An absent row has version
    ABSENT_VERSION and the value None.
    """

    table: str
    key: str
    value: Any
    version: int


@attrs.frozen
class Condition:
    """The version that a row must have for a transaction to be applied."""

    table: str
    key: str
    version: int = ABSENT_VERSION


@attrs.frozen
class Write:
    """A new value for a row; None deletes the row."""

    table: str
    key: str
    value: Any


@attrs.frozen
class Transaction:
    """Writes that are applied atomically if all conditions hold.

    The operation id identifies the transaction and makes it idempotent:
    sending it again does not apply the writes a second time.
    """

    operation_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class VmRole(enum.StrEnum):
    """Role of a VM: it accepts callers or serves their requests."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


class ListedState(enum.StrEnum):
    """Lifecycle state of a VM in the platform's list."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


@attrs.frozen
class VmRecord:
    """Entry of a VM in the platform's list.

    The address is `IP:port`; service, slots and weight are set for upstreams
    only.
    """

    vm: str
    role: VmRole
    failure_domain: str
    region: str
    address: str
    state: ListedState = ListedState.LIVE
    service: str = ''
    slots: int = 0
    weight: float = 1


@attrs.frozen
class VmList:
    """Snapshot of the platform's list of VMs, taken at as_of.

    as_of is in seconds of the platform's own clock: Unix time for the HTTP
    backend, trio's clock for the in-memory backend.
    """

    as_of: float
    vms: tuple[VmRecord, ...]
