"""Client blocks: IPv4 and IPv6 prefixes as integers."""

import enum
import socket

import attrs

from chestnutshift.decimals import UnreadableNumberError, read_digits
from chestnutshift.lookup.exceptions import (
    InvalidAddressError,
    InvalidBlockError,
)

MAPPED_IPV4 = bytes.fromhex('00000000000000000000ffff')


class Family(enum.IntEnum):
    """The address family of a client block."""

    V4 = 4
    V6 = 6


# The longest prefix of an IPv6 client block is /64, one subnet, so the key of
# an IPv6 address is its upper 64 bits.
KEY_BITS = {Family.V4: 32, Family.V6: 64}
SOCKET_FAMILIES = {Family.V4: socket.AF_INET, Family.V6: socket.AF_INET6}
INTERFACE_BITS = 64


def parse_address(text: str) -> tuple[Family, int]:
    """Return the family and the key of an address.

    An IPv4-mapped IPv6 address counts as IPv4. Raise InvalidAddressError if
    the text is not an address.
    """
    family = Family.V6 if ':' in text else Family.V4
    try:
        packed = socket.inet_pton(SOCKET_FAMILIES[family], text)
    except (OSError, ValueError) as error:
        raise InvalidAddressError(f'{text!r} is not an IP address') from error
    if family is Family.V4:
        return family, int.from_bytes(packed)
    if packed.startswith(MAPPED_IPV4):
        return Family.V4, int.from_bytes(packed[len(MAPPED_IPV4) :])
    return family, int.from_bytes(packed) >> INTERFACE_BITS


@attrs.frozen
class Prefix:
    """One client block; network is the value of its first length bits."""

    family: Family
    length: int
    network: int

    @classmethod
    def parse(cls, text: str) -> 'Prefix':
        """Parse a block such as 192.0.2.0/24; host bits must be zero.

        Raise InvalidAddressError or InvalidBlockError.
        """
        address, _, suffix = text.partition('/')
        family, key = parse_address(address)
        try:
            length = read_digits(suffix, KEY_BITS[family])
        except UnreadableNumberError as error:
            raise InvalidBlockError(
                f'the prefix length of {text!r}: {error.detail}'
            ) from error
        host_bits = KEY_BITS[family] - length
        if key & ((1 << host_bits) - 1):
            raise InvalidBlockError(f'{text!r} has host bits set')
        return cls(family, length, key >> host_bits)

    @property
    def first_key(self) -> int:
        """The key of the first address of the block."""
        return self.network << (KEY_BITS[self.family] - self.length)

    def __str__(self) -> str:
        """Return the block in CIDR notation."""
        address_bits = self.first_key
        if self.family is Family.V6:
            address_bits <<= INTERFACE_BITS
        size = 4 if self.family is Family.V4 else 16
        address = socket.inet_ntop(
            SOCKET_FAMILIES[self.family],
            address_bits.to_bytes(size),
        )
        return f'{address}/{self.length}'
