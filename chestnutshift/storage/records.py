"""Typed records that the platform keeps and lists."""

import enum
from typing import Any

import attrs

ABSENT_VERSION = 0


@attrs.frozen
class Row:
    """One row of a table.

    The value is anything that JSON can carry. An absent row has version
    ABSENT_VERSION and the value None.
    """

    table: str
    key: str
    value: Any
    version: int


@attrs.frozen
class Condition:
    """The version that a row must have for a transaction to apply."""

    table: str
    key: str
    version: int = ABSENT_VERSION


@attrs.frozen
class Write:
    """A new value of a row; None deletes the row."""

    table: str
    key: str
    value: Any


@attrs.frozen
class Transaction:
    """Writes that apply together, once, if all conditions hold.

    The operation id is unique to the transaction: sending it again never
    applies the writes again.
    """

    operation_id: str
    conditions: tuple[Condition, ...]
    writes: tuple[Write, ...]


class VmRole(enum.StrEnum):
    """What a VM does."""

    ENTRY = 'entry'
    UPSTREAM = 'upstream'


class ListedState(enum.StrEnum):
    """Where a VM is in its life."""

    LIVE = 'live'
    LEAVING = 'leaving'
    GONE = 'gone'


@attrs.frozen
class VmRecord:
    """One VM as the platform lists it.

    The address is `IP:port`; service, slots and weight matter for upstreams.
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
    """The VMs as the platform knew them at as_of.

    as_of is in seconds of the platform's own clock: unix time from the
    service, trio's clock from the in-memory backend.
    """

    as_of: float
    vms: tuple[VmRecord, ...]
