"""Synthetic client blocks and addresses, the same in each run."""

import ipaddress
import itertools
import random

from bench.capacity import targets
from chestnutshift.lookup.prefixes import (
    INTERFACE_BITS,
    KEY_BITS,
    Family,
    Prefix,
)
from chestnutshift.lookup.table import ClientTable, TableBuilder

SEED = 7
# Blocks in a thousand by prefix length: mostly /24 and /48, many of them inside
# shorter prefixes.
IPV4_MIX = {24: 480, 23: 65, 22: 95, 21: 40, 20: 40, 19: 26, 18: 13, 16: 14}
IPV6_MIX = {32: 13, 36: 9, 40: 17, 44: 22, 48: 118, 56: 48}
MIXES = {Family.V4: IPV4_MIX, Family.V6: IPV6_MIX}
MIX_TOTAL = sum(sum(mix.values()) for mix in MIXES.values())


def make_table(count: int, number: int = 1) -> ClientTable:
    """Return a table of about count blocks spread over all sites."""
    generator = random.Random(SEED)
    builder = TableBuilder()
    for family, mix in MIXES.items():
        for length, weight in mix.items():
            block_count = count * weight // MIX_TOTAL
            for network in generator.sample(range(1 << length), block_count):
                builder.add(
                    Prefix(family, length, network),
                    network % targets.SITES,
                )
    return builder.build(number)


def make_addresses(table: ClientTable, count: int) -> list[str]:
    """Return addresses in blocks all over the table, in random order."""
    generator = random.Random(SEED)
    stride = max(1, len(table) // count)
    blocks = itertools.islice(table, 0, None, stride)
    addresses = [_draw(prefix, generator) for prefix, _ in blocks]
    generator.shuffle(addresses)
    return addresses


def _draw(prefix: Prefix, generator: random.Random) -> str:
    host_bits = KEY_BITS[prefix.family] - prefix.length
    key = prefix.first_key | generator.getrandbits(host_bits)
    if prefix.family is Family.V4:
        return str(ipaddress.IPv4Address(key))
    return str(ipaddress.IPv6Address(key << INTERFACE_BITS))
