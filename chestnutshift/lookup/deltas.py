"""Incremental changes of client blocks, and their binary encoding."""

import struct

import attrs

from chestnutshift.lookup.exceptions import (
    CorruptTableError,
    DeltaTooLargeError,
)
from chestnutshift.lookup.prefixes import Family, Prefix

# Larger changes are sent as a whole table through the object store.
CHANGES_MAX = 1000
WITHDRAWN = 0xFFFF
BITS_PER_BYTE = 8

_HEADER = struct.Struct('<QQH')
_CHANGE = struct.Struct('<BBH')


@attrs.frozen
class BlockChange:
    """A client block with its new order index, or None to withdraw it."""

    prefix: Prefix
    order: int | None


@attrs.frozen
class Delta:
    """The changes between table version base and table version number."""

    base: int
    number: int
    changes: tuple[BlockChange, ...]

    def dump(self) -> bytes:
        """Encode the delta; raise DeltaTooLargeError."""
        if len(self.changes) > CHANGES_MAX:
            raise DeltaTooLargeError(
                f'{len(self.changes)} changes exceed {CHANGES_MAX}'
            )
        header = _HEADER.pack(self.base, self.number, len(self.changes))
        return header + b''.join(map(_dump_change, self.changes))


def load_delta(source: bytes) -> Delta:
    """Decode a delta; raise CorruptTableError."""
    try:
        return _load(source)
    except (struct.error, ValueError) as error:
        raise CorruptTableError('delta is truncated or malformed') from error


def _load(source: bytes) -> Delta:
    base, number, count = _HEADER.unpack_from(source)
    offset = _HEADER.size
    changes = []
    for _ in range(count):
        change, offset = _load_change(source, offset)
        changes.append(change)
    if offset != len(source):
        raise ValueError('delta has trailing bytes')
    return Delta(base, number, tuple(changes))


def _network_size(length: int) -> int:
    return -(-length // BITS_PER_BYTE)


def _dump_change(change: BlockChange) -> bytes:
    prefix = change.prefix
    order = WITHDRAWN if change.order is None else change.order
    head = _CHANGE.pack(prefix.family, prefix.length, order)
    return head + prefix.network.to_bytes(_network_size(prefix.length))


def _load_change(source: bytes, offset: int) -> tuple[BlockChange, int]:
    family, length, order = _CHANGE.unpack_from(source, offset)
    start = offset + _CHANGE.size
    end = start + _network_size(length)
    if end > len(source):
        raise ValueError('delta is truncated')
    prefix = Prefix(Family(family), length, int.from_bytes(source[start:end]))
    return BlockChange(prefix, None if order == WITHDRAWN else order), end
