"""Values of other writers, upstreams and peers, up to the heartbeats."""

import json
import math

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st
from nose2.tools import params

from chestnutshift.edge.attempt_observer import record_facts
from chestnutshift.edge.attempts import AttemptEnd, EndKind
from chestnutshift.edge.peers import PeerMessenger
from chestnutshift.edge.state_updater import StateUpdater
from chestnutshift.edge.store_tables import Change, View
from chestnutshift.fleet.datagrams import decode, encode
from chestnutshift.fleet.heartbeats import hash_upstream
from chestnutshift.platform.exceptions import MalformedError
from chestnutshift.platform.heads import PlatformDialect
from chestnutshift.platform.names import (
    COLD_MS,
    LEAVING,
    LOAD,
    RATE_LIMIT,
)
from chestnutshift.platform.route_tables import decode_route_table
from chestnutshift.platform.sources import decode_member, encode_member
from chestnutshift.platform.upstream_rows import decode_registration
from tests.edge.factories import SilentLog, make_state
from tests.edge.hostile_values import (
    DIGITS,
    EXAMPLES,
    LISTED,
    NOW,
    changed_documents,
    check_heartbeats,
    make_serving_state,
)
from tests.fleet.factories import make_member
from tests.platform.samples import REGISTRATION, ROUTE_TABLE


def _make_change(decode_row, key: str, content: bytes) -> Change:
    try:
        return Change(key, decode_row(key, content))
    except MalformedError as error:
        return Change(key, None, problem=error.detail)


def _view(*changes: Change) -> View:
    return View(changes, 1, requested_at=NOW, is_whole=False)


# A row with a cold time of 34 days ended every VM of the fleet.
@params(3e6, 9e15, math.inf)
def test_cold_time_beyond_the_field_of_heartbeats(cold_for_s) -> None:
    """The heartbeat carries the longest time instead."""
    state = make_serving_state()
    listed = attrs.evolve(LISTED, cold_for_s=cold_for_s)
    state.directory.register(listed, NOW)
    heartbeat = PeerMessenger(state).next_heartbeat(NOW)
    told = decode(encode(heartbeat)).cold_for_s[hash_upstream('i-1')]
    assert math.isclose(told, (2**31 - 1) / 1000)


@settings(max_examples=EXAMPLES, deadline=None)
@given(changed_documents(REGISTRATION))
def test_any_row_of_an_upstream(content: bytes) -> None:
    """No row keeps a VM from telling its peers what it knows."""
    state = make_serving_state()
    change = _make_change(decode_registration, 'i-1', content)
    StateUpdater(state).apply_upstreams(_view(change), NOW)
    check_heartbeats(state)


@settings(max_examples=EXAMPLES, deadline=None)
@given(changed_documents(json.loads(encode_member(make_member('vm-2')))))
def test_any_row_of_a_vm(content: bytes) -> None:
    """The same for the rows by which VMs register."""
    state = make_serving_state()
    change = _make_change(decode_member, 'vm-2', content)
    StateUpdater(state).apply_members(_view(change), NOW)
    check_heartbeats(state)


@settings(max_examples=EXAMPLES, deadline=None)
@given(changed_documents(ROUTE_TABLE))
def test_any_route_table(content: bytes) -> None:
    """The same for route tables, with an upstream that turns cold."""
    state = make_state(SilentLog('vm-1'))
    change = _make_change(
        lambda _key, row: decode_route_table(row), 'config', content
    )
    updater = StateUpdater(state)
    updater.apply_operators(_view(change), NOW)
    state.directory.register(LISTED, NOW)
    state.directory.evacuate(frozenset(('a1',)), state.cold_s(), NOW)
    state.directory.evacuate(frozenset(), state.cold_s(), NOW)
    check_heartbeats(state)


HEADER_NAMES = st.sampled_from(
    [
        COLD_MS,
        LOAD,
        *RATE_LIMIT,
        *LEAVING,
        b'keep-alive',
        b'retry-after',
        b'content-length',
    ]
)
HEADER_TEXTS = st.one_of(
    st.binary(max_size=20),
    DIGITS.map(str.encode),
    DIGITS.map('timeout={0}'.format).map(str.encode),
    DIGITS.map('{0},{0},{0}'.format).map(str.encode),
    st.floats().map(repr).map(str.encode),
    st.sampled_from([b'0', b'1', b'0.000000001', b'-1', b'1e309', b'nan']),
)


@settings(max_examples=EXAMPLES, deadline=None)
@given(st.lists(st.tuples(HEADER_NAMES, HEADER_TEXTS), max_size=6))
def test_any_answer_head(headers: list[tuple[bytes, bytes]]) -> None:
    """No head of an answer does, either."""
    state = make_serving_state()
    upstream = state.directory.register(LISTED, NOW)
    facts = PlatformDialect().read_answer(headers)
    reports = state.upstream_reports
    reports.record_head(upstream, 503, facts, NOW, source='check')
    reports.record_rate_limit(upstream, facts.rate_limit, NOW, source='check')
    end = AttemptEnd(EndKind.NOT_RUN, facts=facts)
    assert isinstance(end.is_partial_refusal, bool)
    record_facts(upstream, end, NOW)
    state.upstream_rates.may_send(upstream, NOW)
    check_heartbeats(state)
