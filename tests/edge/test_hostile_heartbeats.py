"""Heartbeats with any figures, up to the heartbeats that tell them on."""

from hypothesis import given, settings
from hypothesis import strategies as st
from thrift import TSerialization
from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory

from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.datagrams import decode
from chestnutshift.fleet.exceptions import BrokenDatagramError
from chestnutshift.fleet.heartbeats import hash_upstream
from chestnutshift.wire.generated.fleet import ttypes
from tests.edge.hostile_values import (
    EXAMPLES,
    LISTED,
    NOW,
    check_heartbeats,
    make_serving_state,
)
from tests.fleet.factories import make_member

INT32 = st.integers(-(2**31), 2**31 - 1)
INT64 = st.integers(-(2**63), 2**63 - 1)
PROTOCOL = TCompactProtocolAcceleratedFactory()
RATE_LIMITS = st.builds(
    ttypes.RateLimit,
    limit_milli=st.one_of(st.none(), INT64),
    age_ms=st.one_of(st.none(), INT64),
)
SUSPECTS = st.builds(
    ttypes.Suspect,
    ended_ages_ms=st.dictionaries(INT64, INT32, max_size=4),
    success_age_ms=st.one_of(st.none(), INT64),
)
BEATS = st.builds(
    ttypes.Beat,
    vm=st.sampled_from(['vm-2', 'vm-3', '']),
    incarnation=st.one_of(st.none(), INT64),
    number=INT64,
    sent_at_us=INT64,
    echoed_at_us=st.one_of(st.none(), INT64),
    phase=st.sampled_from(['serving', 'stopping', 'asleep']),
    table_version=st.one_of(st.none(), INT64),
    proof_age_us=st.one_of(st.none(), INT64),
    demand_milli=st.dictionaries(st.sampled_from(['konya']), INT32),
    in_flight=st.dictionaries(st.just(hash_upstream('i-1')), INT32),
    operators_changed_at=INT64,
    upstreams_changed_at=INT64,
    delay_us=st.one_of(st.none(), INT64),
    operators_era=INT64,
    upstreams_era=INT64,
    cold_for_ms=st.dictionaries(st.just(hash_upstream('i-1')), INT32),
    rate_limits=st.dictionaries(st.just(hash_upstream('i-1')), RATE_LIMITS),
    suspects=st.dictionaries(INT64, SUSPECTS, max_size=2),
    leaving=st.sets(INT32, max_size=2),
    unreached=st.sets(INT32, max_size=2),
    answered_age_ms=st.one_of(st.none(), INT64),
)


@settings(max_examples=EXAMPLES, deadline=None)
@given(BEATS)
def test_any_heartbeat_of_a_peer(beat: ttypes.Beat) -> None:
    """Nor does a peer, whose figures are told on."""
    state = make_serving_state()
    state.fleet.add_member(make_member('vm-2'), NOW)
    upstream = state.directory.register(LISTED, NOW)
    _receive(state, beat)
    state.update_known_changes(NOW)
    state.upstream_rates.may_send(upstream, NOW)
    assert upstream.load(NOW) >= 0
    check_heartbeats(state)


# A heartbeat without an incarnation ended the VM that received it.
def test_heartbeat_with_fields_missing() -> None:
    """It is no heartbeat, whether one of the VM has come before or not."""
    state = make_serving_state()
    state.fleet.add_member(make_member('vm-2'), NOW)
    for missing in ('', 'incarnation', 'number', 'sent_at_us', 'table_version'):
        beat = ttypes.Beat('vm-2', 1, 1, 1, phase='serving', table_version=1)
        if missing:
            setattr(beat, missing, None)
        _receive(state, beat)
    assert state.fleet.find('vm-2').heartbeat.number == 1
    check_heartbeats(state)


def _receive(state: EdgeState, beat: ttypes.Beat) -> None:
    datagram = TSerialization.serialize(ttypes.Datagram(beat=beat), PROTOCOL)
    try:
        heartbeat = decode(datagram)
    except BrokenDatagramError:
        return
    state.record_heartbeat(heartbeat, NOW)
