"""What a VM tells its peers of itself, and the bytes of it."""

import enum
from collections.abc import Mapping
from zlib import crc32

import attrs
from thrift import TSerialization
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException

from chestnutshift.fleet.exceptions import BrokenBeatError
from chestnutshift.wire.generated.fleet import ttypes

MICROSECONDS = 1_000_000
THOUSANDTHS = 1000
_BROKEN = (TException, EOFError, ValueError, OverflowError, TypeError)
_FACTORY = TCompactProtocolAcceleratedFactory()
_SIGN_BIT = 0x80000000
_WORD = 0x100000000


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
    in_flight the sender's requests by hash of the upstream's id.
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


def hash_upstream(name: str) -> int:
    """Return the hash of an upstream's id as a signed 32-bit number."""
    unsigned = crc32(name.encode())
    return unsigned - _WORD if unsigned & _SIGN_BIT else unsigned


def encode_beat(beat: Beat) -> bytes:
    """Return the datagram of a beat."""
    struct = ttypes.Beat(
        vm=beat.vm,
        incarnation=beat.incarnation,
        number=beat.number,
        sent_at_us=_microseconds(beat.sent_at),
        echoed_at_us=_microseconds(beat.echoed_at),
        phase=beat.phase.value,
        table_version=beat.table_version,
        proof_age_us=_microseconds(beat.proof_age_s),
        demand_milli={
            account: round(rate * THOUSANDTHS)
            for account, rate in beat.demand.items()
        },
        in_flight=dict(beat.in_flight),
    )
    return TSerialization.serialize(struct, _FACTORY)


def decode_beat(datagram: bytes) -> Beat:
    """Return the beat of a datagram; raise BrokenBeatError."""
    try:
        struct = TSerialization.deserialize(ttypes.Beat(), datagram, _FACTORY)
        return _from_struct(struct)
    except _BROKEN as error:
        raise BrokenBeatError(f'not a beat: {error!r}') from error


def _from_struct(struct: ttypes.Beat) -> Beat:
    demand = struct.demand_milli or {}
    return Beat(
        vm=struct.vm,
        incarnation=struct.incarnation,
        number=struct.number,
        sent_at=struct.sent_at_us / MICROSECONDS,
        phase=MemberPhase(struct.phase),
        table_version=struct.table_version,
        echoed_at=_seconds(struct.echoed_at_us),
        proof_age_s=_seconds(struct.proof_age_us),
        demand={name: rate / THOUSANDTHS for name, rate in demand.items()},
        in_flight=struct.in_flight or {},
    )


def _microseconds(duration_s: float | None) -> int | None:
    return None if duration_s is None else round(duration_s * MICROSECONDS)


def _seconds(microseconds: int | None) -> float | None:
    return None if microseconds is None else microseconds / MICROSECONDS
