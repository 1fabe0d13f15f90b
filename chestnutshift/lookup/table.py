"""The table of client blocks: longest-prefix match in packed arrays.

One level contains the blocks of one family and prefix length, sorted, in two
arrays. A look-up bisects the levels from the longest prefix to the shortest.
A change affects one level only, so nested blocks need no special handling.
"""

import hashlib
import struct
import sys
from array import array
from bisect import bisect_left
from collections.abc import Iterator

import attrs

from chestnutshift.lookup.deltas import WITHDRAWN, Delta
from chestnutshift.lookup.exceptions import (
    CorruptTableError,
    DeltaGapError,
    DuplicateBlockError,
    InvalidBlockError,
)
from chestnutshift.lookup.prefixes import (
    KEY_BITS,
    Family,
    Prefix,
    parse_address,
)

MAGIC = b'CSLT\x01'
NETWORK_TYPES = {Family.V4: 'I', Family.V6: 'Q'}
ORDER_TYPE = 'H'
ORDER_BITS = 16
ORDER_MASK = (1 << ORDER_BITS) - 1
DIGEST_SIZE = hashlib.sha256().digest_size

_HEADER = struct.Struct('<5sQH')
_LEVEL = struct.Struct('<BBI')


def check_block(prefix: Prefix, order: int) -> None:
    """Raise InvalidBlockError if the block or order index is out of range."""
    if not 0 <= prefix.length <= KEY_BITS[prefix.family]:
        raise InvalidBlockError(
            f'prefix length {prefix.length} is out of range'
        )
    if prefix.network >> prefix.length:
        raise InvalidBlockError(f'network exceeds /{prefix.length}')
    if not 0 <= order < WITHDRAWN:
        raise InvalidBlockError(f'order index {order} is out of range')


@attrs.define
class _Level:
    """The blocks of one family and prefix length, sorted by network."""

    family: Family
    length: int
    networks: array
    orders: array

    @classmethod
    def empty(cls, family: Family, length: int) -> '_Level':
        """Make a level without blocks."""
        networks = array(NETWORK_TYPES[family])
        return cls(family, length, networks, array(ORDER_TYPE))

    def sort(self) -> None:
        """Sort the blocks; raise DuplicateBlockError."""
        pairs = [
            network << ORDER_BITS | order
            for network, order in zip(self.networks, self.orders, strict=True)
        ]
        pairs.sort()
        self.networks = array(
            NETWORK_TYPES[self.family],
            (pair >> ORDER_BITS for pair in pairs),
        )
        self.orders = array(ORDER_TYPE, (pair & ORDER_MASK for pair in pairs))
        self._check_no_duplicates()

    def put(self, network: int, order: int) -> None:
        """Set the order index of one block."""
        index = bisect_left(self.networks, network)
        if self._is_at(index, network):
            self.orders[index] = order
            return
        self.networks.insert(index, network)
        self.orders.insert(index, order)

    def withdraw(self, network: int) -> None:
        """Remove one block if the level contains it."""
        index = bisect_left(self.networks, network)
        if self._is_at(index, network):
            self.networks.pop(index)
            self.orders.pop(index)

    def dump(self) -> bytes:
        """Encode the level."""
        head = _LEVEL.pack(self.family, self.length, len(self.networks))
        return (
            head
            + _to_little_endian(self.networks)
            + _to_little_endian(self.orders)
        )

    def _is_at(self, index: int, network: int) -> bool:
        return index < len(self.networks) and self.networks[index] == network

    def _check_no_duplicates(self) -> None:
        following = iter(self.networks)
        next(following, None)
        for before, after in zip(self.networks, following, strict=False):
            if before == after:
                block = Prefix(self.family, self.length, after)
                raise DuplicateBlockError(str(block))


class ClientTable:
    """A map of addresses to order indexes by the longest matching block."""

    def __init__(self, number: int, levels: list[_Level]) -> None:
        """Build a table of sorted levels; use TableBuilder or load_table."""
        self._number = number
        self._levels = {(level.family, level.length): level for level in levels}
        self._search_levels: dict[Family, list[tuple[int, array, array]]] = {}
        self._update_search_levels()

    def __len__(self) -> int:
        """Return the number of blocks."""
        return sum(len(level.networks) for level in self._levels.values())

    def __iter__(self) -> Iterator[tuple[Prefix, int]]:
        """Iterate over the blocks and their order indexes."""
        for family, length in sorted(self._levels):
            level = self._levels[family, length]
            for network, order in zip(
                level.networks,
                level.orders,
                strict=True,
            ):
                yield Prefix(family, length, network), order

    @property
    def number(self) -> int:
        """The version of the table: the number of its newest change."""
        return self._number

    def locate(self, address: str) -> int | None:
        """Return the order index for the address, or None.

        Raise InvalidAddressError if the text is not an address.
        """
        family, key = parse_address(address)
        return self.locate_key(family, key)

    def locate_key(self, family: Family, key: int) -> int | None:
        """Return the order index for a key from parse_address, or None."""
        for shift, networks, orders in self._search_levels[family]:
            network = key >> shift
            index = bisect_left(networks, network)
            if index < len(networks) and networks[index] == network:
                return orders[index]
        return None

    def apply(self, delta: Delta) -> bool:
        """Apply a delta in place; return False if it is already included.

        Raise DeltaGapError if the delta has another base, and
        InvalidBlockError; the table is unchanged in both cases.
        """
        if delta.number <= self._number:
            return False
        if delta.base != self._number:
            raise DeltaGapError(
                f'delta is based on {delta.base}, the table is {self._number}',
            )
        for checked in delta.changes:
            check_block(checked.prefix, checked.order or 0)
        for change in delta.changes:
            self._change(change.prefix, change.order)
        self._number = delta.number
        self._update_search_levels()
        return True

    def dump(self) -> bytes:
        """Encode the table, followed by the SHA-256 digest of the encoding."""
        levels = [self._levels[level_key] for level_key in sorted(self._levels)]
        header = _HEADER.pack(MAGIC, self._number, len(levels))
        packed = b''.join([header, *(level.dump() for level in levels)])
        return packed + hashlib.sha256(packed).digest()

    def digest(self) -> str:
        """Return the hexadecimal digest; equal tables have equal digests."""
        return self.dump()[-DIGEST_SIZE:].hex()

    def _change(self, prefix: Prefix, order: int | None) -> None:
        level_key = (prefix.family, prefix.length)
        if order is None:
            self._withdraw(level_key, prefix.network)
            return
        level = self._levels.get(level_key)
        if level is None:
            level = _Level.empty(prefix.family, prefix.length)
            self._levels[level_key] = level
        level.put(prefix.network, order)

    def _withdraw(self, level_key: tuple[Family, int], network: int) -> None:
        level = self._levels.get(level_key)
        if level is None:
            return
        level.withdraw(network)
        if not level.networks:
            del self._levels[level_key]

    def _update_search_levels(self) -> None:
        longest_first = sorted(self._levels, reverse=True)
        self._search_levels = {
            family: [
                (
                    KEY_BITS[family] - length,
                    self._levels[family, length].networks,
                    self._levels[family, length].orders,
                )
                for level_family, length in longest_first
                if level_family is family
            ]
            for family in Family
        }


class TableBuilder:
    """A builder of tables from client blocks in any order."""

    def __init__(self) -> None:
        """Create an empty builder."""
        self._levels: dict[tuple[Family, int], _Level] = {}

    def add(self, prefix: Prefix, order: int) -> None:
        """Add one block; raise InvalidBlockError."""
        check_block(prefix, order)
        level_key = (prefix.family, prefix.length)
        if level_key not in self._levels:
            self._levels[level_key] = _Level.empty(*level_key)
        self._levels[level_key].networks.append(prefix.network)
        self._levels[level_key].orders.append(order)

    def build(self, number: int) -> ClientTable:
        """Return the table and reset the builder; raise DuplicateBlockError."""
        levels = list(self._levels.values())
        for level in levels:
            level.sort()
        self._levels = {}
        return ClientTable(number, levels)


def load_table(source: bytes) -> ClientTable:
    """Decode a table; raise CorruptTableError."""
    packed = memoryview(source)[:-DIGEST_SIZE]
    if hashlib.sha256(packed).digest() != source[-DIGEST_SIZE:]:
        raise CorruptTableError('the digest does not match the table')
    try:
        return _load(packed)
    except (struct.error, ValueError) as error:
        raise CorruptTableError('unknown or malformed table format') from error


def _load(packed: memoryview) -> ClientTable:
    magic, number, count = _HEADER.unpack_from(packed)
    if magic != MAGIC:
        raise ValueError('wrong magic number')
    offset = _HEADER.size
    levels = []
    for _ in range(count):
        level, offset = _load_level(packed, offset)
        levels.append(level)
    return ClientTable(number, levels)


def _load_level(packed: memoryview, offset: int) -> tuple[_Level, int]:
    family, length, count = _LEVEL.unpack_from(packed, offset)
    level = _Level.empty(Family(family), length)
    offset += _LEVEL.size
    for column in (level.networks, level.orders):
        size = count * column.itemsize
        column.frombytes(packed[offset : offset + size])
        _swap_on_big_endian(column)
        offset += size
    return level, offset


def _to_little_endian(column: array) -> bytes:
    if sys.byteorder == 'little':
        return column.tobytes()
    swapped = array(column.typecode, column)
    swapped.byteswap()
    return swapped.tobytes()


def _swap_on_big_endian(column: array) -> None:
    if sys.byteorder == 'big':
        column.byteswap()
