"""What a VM tells its peers of itself."""

import enum
from collections.abc import Mapping
from zlib import crc32

import attrs

_SIGN_BIT = 0x80000000
_UINT32_END = 0x100000000


class MemberPhase(enum.StrEnum):
    """Whether a VM takes callers."""

    STARTING = 'starting'
    SERVING = 'serving'
    STOPPING = 'stopping'


@attrs.frozen
class Beat:
    """One VM's state; times are seconds of the sender's boot clock.

    echoed_at is the newest sent_at of the receiver that the sender heard,
    proof_age_s how long ago the store vouched for its route table; both are
    None where there is none. demand is requests per second by account,
    in_flight the sender's requests by hash of the upstream's id. The store's
    versions of the newest changes that the sender knows tell who missed some.
    """

    vm: str
    incarnation: int
    number: int
    sent_at: float
    phase: MemberPhase
    table_version: int
    echoed_at: float | None = None
    proof_age_s: float | None = None
    demand: Mapping[str, float] = attrs.field(factory=dict)
    in_flight: Mapping[int, int] = attrs.field(factory=dict)
    operators_changed_at: int = 0
    upstreams_changed_at: int = 0


def hash_upstream(name: str) -> int:
    """Return the hash of an upstream's id as a signed 32-bit number."""
    unsigned = crc32(name.encode())
    return unsigned - _UINT32_END if unsigned & _SIGN_BIT else unsigned
