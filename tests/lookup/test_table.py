"""Tests of the table of client blocks, its deltas and its encoding."""

import ipaddress
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutshift.lookup.deltas import BlockChange, Delta, load_delta
from chestnutshift.lookup.exceptions import (
    CorruptTableError,
    DeltaGapError,
    DeltaTooLargeError,
    DuplicateBlockError,
    InvalidAddressError,
    InvalidBlockError,
)
from chestnutshift.lookup.prefixes import Prefix
from chestnutshift.lookup.table import TableBuilder, load_table
from tests.lookup.fixtures import make_table

CASE = unittest.TestCase()
DETERMINISTIC = settings(derandomize=True, deadline=None, database=None)
LENGTHS = {4: st.integers(0, 32), 6: st.integers(0, 64)}


@st.composite
def client_blocks(draw) -> str:
    """Draw a block with few distinct bits, so that blocks often nest."""
    version = draw(st.sampled_from((4, 6)))
    width = {4: 32, 6: 128}[version]
    length = draw(LENGTHS[version])
    value = draw(st.integers(0, 15)) << (width - 4)
    value |= draw(st.integers(0, 3)) << (width - length)
    value >>= width - length
    value <<= width - length
    value &= (1 << width) - 1
    address = ipaddress.ip_address(value.to_bytes(width // 8, 'big'))
    return f'{address}/{length}'


TABLES = st.dictionaries(client_blocks(), st.integers(0, 1699), max_size=40)


def scan(blocks: dict[str, int], address: str) -> int | None:
    """Find the longest match by a linear scan of all blocks."""
    wanted = ipaddress.ip_address(address)
    matches = [
        (ipaddress.ip_network(text).prefixlen, order)
        for text, order in blocks.items()
        if wanted in ipaddress.ip_network(text)
    ]
    return max(matches)[1] if matches else None


def boundary_addresses(blocks: dict[str, int]) -> list[str]:
    """Return each block's first and last address and the one after it."""
    addresses = []
    for text in blocks:
        network = ipaddress.ip_network(text)
        addresses.extend((network[0], network[-1]))
        if int(network[-1]) + 1 < 1 << network.max_prefixlen:
            addresses.append(network[-1] + 1)
    return [str(address) for address in addresses]


@DETERMINISTIC
@given(TABLES)
def test_longest_prefix_matches_scan(blocks):
    """Look-ups at the boundaries of every block agree with a linear scan."""
    table = make_table(blocks)
    for address in boundary_addresses(blocks):
        assert table.locate(address) == scan(blocks, address)


@DETERMINISTIC
@given(TABLES, TABLES, st.lists(client_blocks(), max_size=10))
def test_delta_equals_rebuild(blocks, added, withdrawn):
    """A table after an encoded delta equals a table built from scratch."""
    changes = [BlockChange(Prefix.parse(text), None) for text in withdrawn]
    changes.extend(
        BlockChange(Prefix.parse(text), order) for text, order in added.items()
    )
    table = make_table(blocks)
    delta = load_delta(Delta(1, 2, tuple(changes)).dump())
    assert table.apply(delta)
    kept = {key: blocks[key] for key in blocks if key not in withdrawn}
    rebuilt = make_table(kept | added, number=2)
    assert table.dump() == rebuilt.dump()
    for address in boundary_addresses(blocks | added):
        assert table.locate(address) == rebuilt.locate(address)


@DETERMINISTIC
@given(TABLES)
def test_dump_and_load(blocks):
    """A loaded table has the same blocks, number and digest."""
    table = make_table(blocks, number=7)
    loaded = load_table(table.dump())
    assert dict(loaded) == dict(table)
    assert loaded.number == 7
    assert loaded.digest() == table.digest()


@DETERMINISTIC
@given(st.data())
def test_corrupt_bytes_are_refused(data):
    """A table with an altered byte or a missing end is refused."""
    packed = bytearray(make_table({'10.0.0.0/8': 1}).dump())
    index = data.draw(st.integers(0, len(packed) - 1))
    with CASE.assertRaises(CorruptTableError):
        load_table(bytes(packed[:index]))
    packed[index] ^= data.draw(st.integers(1, 255))
    with CASE.assertRaises(CorruptTableError):
        load_table(bytes(packed))


def test_delta_out_of_order():
    """A repeated delta changes nothing; a gap raises DeltaGapError."""
    table = make_table({'10.0.0.0/8': 1}, number=5)
    before = table.digest()
    change = BlockChange(Prefix.parse('10.0.0.0/8'), 2)
    assert not table.apply(Delta(4, 5, (change,)))
    with CASE.assertRaises(DeltaGapError):
        table.apply(Delta(6, 7, (change,)))
    assert table.digest() == before


def test_bad_change_leaves_table_unchanged():
    """A delta with one bad change applies none of its changes."""
    table = make_table({'10.0.0.0/8': 1})
    good = BlockChange(Prefix.parse('10.0.0.0/8'), 2)
    bad = BlockChange(Prefix.parse('11.0.0.0/8'), 0xFFFF)
    with CASE.assertRaises(InvalidBlockError):
        table.apply(Delta(1, 2, (good, bad)))
    assert table.locate('10.0.0.1') == 1
    assert table.number == 1


def test_delta_limits():
    """A delta that is too large, truncated or extended is refused."""
    change = BlockChange(Prefix.parse('10.0.0.0/8'), 2)
    with CASE.assertRaises(DeltaTooLargeError):
        Delta(1, 2, (change,) * 1001).dump()
    packed = Delta(1, 2, (change,)).dump()
    for altered in (packed[:-1], bytes([*packed, 0]), packed[:5]):
        with CASE.assertRaises(CorruptTableError):
            load_delta(altered)


def test_duplicate_block():
    """One block with two order indexes is refused."""
    builder = TableBuilder()
    builder.add(Prefix.parse('10.0.0.0/8'), 1)
    builder.add(Prefix.parse('10.0.0.0/8'), 2)
    with CASE.assertRaises(DuplicateBlockError):
        builder.build(1)


def test_malformed_text():
    """Malformed addresses and blocks raise coded errors."""
    for address in ('', 'x', '10.0.0', '10.0.0.0/8', 'fe80::1%lo', '1\x002'):
        with CASE.assertRaises(InvalidAddressError):
            make_table({}).locate(address)
    for block in (
        '10.0.0.0', '10.0.0.1/8', '10.0.0.0/33', '2001:db8::/65',
        '10.0.0.0/\u00b2', f'10.0.0.0/{"8" * 5000}',
    ):  # fmt: skip
        with CASE.assertRaises(InvalidBlockError):
            Prefix.parse(block)


def test_mapped_address_is_ipv4():
    """An IPv4-mapped IPv6 address is looked up among IPv4 blocks."""
    assert make_table({'10.0.0.0/8': 3}).locate('::ffff:10.1.2.3') == 3
