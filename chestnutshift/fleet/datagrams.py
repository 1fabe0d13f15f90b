"""Encoding of messages between VMs, one datagram for each message."""

import attrs
from thrift import TSerialization
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException

from chestnutshift.crashes.register import SuspectReport
from chestnutshift.fleet.exceptions import BrokenDatagramError
from chestnutshift.fleet.heartbeats import (
    Heartbeat,
    MemberPhase,
    RateLimitReport,
)
from chestnutshift.fleet.questions import LimitAnswer, LimitQuestion
from chestnutshift.fleet.store_polling import StorePosition
from chestnutshift.wire.generated.fleet import ttypes

Message = Heartbeat | LimitQuestion | LimitAnswer

MICROSECONDS_PER_S = 1_000_000
MILLI_PER_UNIT = 1000
INT32_MAX = 2**31 - 1
INT64_MAX = 2**63 - 1
_DECODE_ERRORS = (
    TException,
    EOFError,
    ValueError,
    OverflowError,
    TypeError,
    AttributeError,
)
# A VM of any release sets these in its heartbeats.
_REQUIRED_FIELDS = (
    'vm',
    'incarnation',
    'number',
    'sent_at_us',
    'phase',
    'table_version',
)
_PROTOCOL_FACTORY = TCompactProtocolAcceleratedFactory()


def encode(message: Message) -> bytes:
    """Return a message as a datagram."""
    if isinstance(message, Heartbeat):
        struct = ttypes.Datagram(beat=_heartbeat_struct(message))
    elif isinstance(message, LimitQuestion):
        fields = attrs.asdict(message)
        struct = ttypes.Datagram(question=ttypes.LimitQuestion(**fields))
    else:
        answer = ttypes.LimitAnswer(
            number=message.number,
            wait_us=_microseconds(message.wait_s),
        )
        struct = ttypes.Datagram(answer=answer)
    return TSerialization.serialize(struct, _PROTOCOL_FACTORY)


def decode(datagram: bytes) -> Message:
    """Return the message of a datagram.

    Raises BrokenDatagramError if the datagram can't be decoded.
    """
    try:
        struct = TSerialization.deserialize(
            ttypes.Datagram(), datagram, _PROTOCOL_FACTORY
        )
        return _from_struct(struct)
    except _DECODE_ERRORS as error:
        raise BrokenDatagramError(f'decoding failed: {error!r}') from error


def _from_struct(struct: ttypes.Datagram) -> Message:
    if struct.question is not None:
        question = struct.question
        return LimitQuestion(
            int(question.number),
            str(question.account),
            bool(question.is_repeat),
        )
    if struct.answer is not None:
        answer = struct.answer
        return LimitAnswer(int(answer.number), _seconds(answer.wait_us))
    return _read_heartbeat(struct.beat)


def _heartbeat_struct(heartbeat: Heartbeat) -> ttypes.Beat:
    return ttypes.Beat(
        vm=heartbeat.vm,
        incarnation=heartbeat.incarnation,
        number=heartbeat.number,
        sent_at_us=_microseconds(heartbeat.sent_at),
        echoed_at_us=_microseconds(heartbeat.echoed_at),
        phase=heartbeat.phase.value,
        table_version=heartbeat.table_version,
        proof_age_us=_microseconds(heartbeat.proof_age_s),
        demand_milli={
            account: _scaled(rate, MILLI_PER_UNIT, INT32_MAX)
            for account, rate in heartbeat.demand.items()
        },
        in_flight=dict(heartbeat.in_flight),
        operators_changed_at=heartbeat.operators_changed_at.version,
        upstreams_changed_at=heartbeat.upstreams_changed_at.version,
        operators_era=heartbeat.operators_changed_at.era,
        upstreams_era=heartbeat.upstreams_changed_at.era,
        cold_for_ms={
            upstream: _scaled(duration_s, MILLI_PER_UNIT, INT32_MAX)
            for upstream, duration_s in heartbeat.cold_for_s.items()
        },
        rate_limits={
            upstream: _rate_limit_struct(report)
            for upstream, report in heartbeat.rate_limits.items()
        },
        suspects={
            fingerprint: _suspect_struct(report)
            for fingerprint, report in heartbeat.suspects.items()
        },
        leaving=set(heartbeat.leaving),
        unreached=set(heartbeat.unreached),
        answered_age_ms=_milli(heartbeat.answered_age_s),
        silent=heartbeat.silent,
        delay_us=_microseconds(heartbeat.delay_s),
    )


def _read_heartbeat(struct: ttypes.Beat) -> Heartbeat:
    missing = [
        name for name in _REQUIRED_FIELDS if getattr(struct, name) is None
    ]
    if missing:
        raise ValueError(f'a heartbeat without {missing}')
    demand = struct.demand_milli or {}
    return Heartbeat(
        vm=struct.vm,
        incarnation=struct.incarnation,
        number=struct.number,
        sent_at=struct.sent_at_us / MICROSECONDS_PER_S,
        phase=MemberPhase(struct.phase),
        table_version=struct.table_version,
        echoed_at=_seconds(struct.echoed_at_us),
        proof_age_s=_seconds(struct.proof_age_us),
        demand={name: _from_milli(rate) for name, rate in demand.items()},
        in_flight={
            upstream: max(0, count)
            for upstream, count in (struct.in_flight or {}).items()
        },
        operators_changed_at=StorePosition(
            struct.operators_era or 0, struct.operators_changed_at or 0
        ),
        upstreams_changed_at=StorePosition(
            struct.upstreams_era or 0, struct.upstreams_changed_at or 0
        ),
        delay_s=_seconds(struct.delay_us) or 0,
        cold_for_s={
            upstream: _from_milli(duration)
            for upstream, duration in (struct.cold_for_ms or {}).items()
        },
        rate_limits={
            upstream: _read_rate_limit(limit)
            for upstream, limit in (struct.rate_limits or {}).items()
        },
        suspects={
            fingerprint: _read_suspect(suspect)
            for fingerprint, suspect in (struct.suspects or {}).items()
        },
        leaving=frozenset(struct.leaving or ()),
        unreached=frozenset(struct.unreached or ()),
        answered_age_s=_from_milli(struct.answered_age_ms),
        silent=_frozen(struct.silent),
    )


def _frozen(numbers: set[int] | None) -> frozenset[int] | None:
    return None if numbers is None else frozenset(numbers)


def _rate_limit_struct(report: RateLimitReport) -> ttypes.RateLimit:
    return ttypes.RateLimit(
        limit_milli=_milli(report.limit),
        age_ms=_milli(report.age_s),
    )


def _read_rate_limit(struct: ttypes.RateLimit) -> RateLimitReport:
    return RateLimitReport(
        _from_milli(struct.limit_milli), _from_milli(struct.age_ms or 0)
    )


def _suspect_struct(report: SuspectReport) -> ttypes.Suspect:
    return ttypes.Suspect(
        ended_ages_ms={
            run: _scaled(age_s, MILLI_PER_UNIT, INT32_MAX)
            for run, age_s in report.ended_ages_s.items()
        },
        success_age_ms=_milli(report.success_age_s),
    )


def _read_suspect(struct: ttypes.Suspect) -> SuspectReport:
    return SuspectReport(
        {
            run: _from_milli(age)
            for run, age in (struct.ended_ages_ms or {}).items()
        },
        _from_milli(struct.success_age_ms),
    )


def _scaled(number: float, factor: int, maximum: int) -> int:
    """Return the number in the unit of a field, within the field's range.

    A figure that exceeds the range of its field must not keep the rest of the
    message from the peers.
    """
    return round(max(-maximum, min(maximum, number * factor)))


def _milli(number: float | None) -> int | None:
    if number is None:
        return None
    return _scaled(number, MILLI_PER_UNIT, INT64_MAX)


def _from_milli(number: int | None) -> float | None:
    """Return a figure that is never negative, None for none."""
    return None if number is None else max(0, number) / MILLI_PER_UNIT


def _microseconds(duration_s: float | None) -> int | None:
    if duration_s is None:
        return None
    return _scaled(duration_s, MICROSECONDS_PER_S, INT64_MAX)


def _seconds(microseconds: int | None) -> float | None:
    """Return a time or duration, which is never negative; None for none."""
    if microseconds is None:
        return None
    return max(0, microseconds) / MICROSECONDS_PER_S
