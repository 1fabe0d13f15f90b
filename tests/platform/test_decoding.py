"""Tests of decoding the platform's documents and refusing malformed ones."""

import copy
import json

import attrs
from hypothesis import given
from hypothesis import strategies as st
from nose2.tools import params

from chestnutshift.edge.settings import Endpoint
from chestnutshift.platform.durations import (
    DURATION_MAX_S,
    read_duration,
    write_duration,
)
from chestnutshift.platform.exceptions import MalformedError
from chestnutshift.platform.route_tables import decode_route_table
from chestnutshift.platform.sources import decode_member, encode_member
from chestnutshift.platform.upstream_rows import decode_registration
from chestnutshift.routes.matching import RouteIndex
from chestnutshift.routes.model import CallerBounds
from tests.fleet.factories import make_member
from tests.platform.samples import ROUTE_TABLE, registration, route_table


def _is_malformed(decode, *args: object) -> bool:
    try:
        decode(*args)
    except MalformedError:
        return True
    return False


def test_route_table() -> None:
    """Durations become seconds, versions integers, hosts lower case."""
    table = decode_route_table(route_table())
    search, book = table.routes
    assert table.version == 12
    assert search.host == 'one.example'
    assert search.is_idempotent and not book.is_idempotent
    assert int(search.timeout_s * 1000) == 1500
    assert [part.weight for part in book.parts] == [90, 10]
    assert book.homes == {'north'}
    assert table.account_by_key['k2'].name == 'konya'
    assert table.services['s1'].connections_max == 390


@params(
    ('safe', True, False),
    ('download', True, True),
    ('unsafe', False, False),
    ('upload', False, False),
)
def test_route_kinds(kind: str, is_idempotent: bool, is_large: bool) -> None:
    """Only some kinds may run twice; downloads have large answers."""
    document = copy.deepcopy(ROUTE_TABLE)
    columns = document['routes']['cols']
    document['routes']['rows'][0][columns.index('kind')] = kind
    route = decode_route_table(json.dumps(document).encode()).routes[0]
    assert route.is_idempotent is is_idempotent
    assert route.has_large_answers is is_large


def test_route_lookup() -> None:
    """The longest prefix wins; the port and case of the host are ignored."""
    index = RouteIndex(decode_route_table(route_table()))
    assert index.find('one.example:8686', '/a/b/c').name == 'book'
    assert index.find('ONE.example', '/a/bc').name == 'search'
    assert index.find('one.example', '/b/') is None
    assert index.find('two.example', '/a/') is None


@params(
    {'version': 'xyz'},
    {'version': 12},
    {'routes': {'cols': ['name'], 'rows': [['a', 'b']]}},
    {'routes': [1]},
    {'routes': {'cols': ['name', 'host'], 'rows': [['a', 'one.example']]}},
    {'routes': {'cols': ['name', 'prefix'], 'rows': [['a', '/a/']]}},
    {'services': 5},
    {'tenants': {'cols': ['name', ['a']], 'rows': [['a', 1]]}},
    {'tenants': {'cols': ['name'], 'rows': [['a', 'b']]}},
)
def test_malformed_route_tables(changes: dict[str, object]) -> None:
    """It is refused as a whole if nobody can tell what its rules concern."""
    assert _is_malformed(decode_route_table, route_table(**changes))


# Guards against a table that is refused as a whole for one part, and against a
# part that is guessed. Heartbeats carry account names.
@params(
    {'services': {'cols': ['name'], 'rows': [['other']]}},
    {'services': {'cols': ['name', 'cold'], 'rows': [['s1', 5], ['s2', 5]]}},
)
def test_unreadable_services(changes: dict[str, object]) -> None:
    """The routes to them are closed, each with the reason."""
    table = decode_route_table(route_table(**changes))
    assert [bool(route.problem) for route in table.routes] == [True, True]
    assert len(table.problems) >= len(table.routes)
    assert table.account_by_key


@params(
    ('timeout', 5), ('goal', '1 s'), ('priority', -1), ('attempts', 'two'),
    ('public', 1), ('sticky', 'yes'), ('home_regions', 'north'),
    ('split', 5), ('service', 's9'), ('kind', 3),
)  # fmt: skip
def test_unreadable_route(column: str, content: object) -> None:
    """It is closed; the others are as they would be."""
    document = copy.deepcopy(ROUTE_TABLE)
    columns = document['routes']['cols']
    document['routes']['rows'][0][columns.index(column)] = content
    table = decode_route_table(json.dumps(document).encode())
    closed, other = table.routes
    assert (closed.host, closed.prefix) == ('one.example', '/a/')
    assert closed.problem in table.problems
    assert other == decode_route_table(route_table()).routes[1]


@params(['a', -1], ['a', 10**400], ['\ud800', 1], [None, 1], [5, 1], ['a', 'x'])
def test_unreadable_account(row: list[object]) -> None:
    """It has no key, and keys that are not listed may be valid."""
    tenants = {'cols': ['name', 'rate_per_s'], 'rows': [row, ['b', 1]]}
    table = decode_route_table(route_table(tenants=tenants))
    assert set(table.accounts) == {'b'}
    assert table.has_unreadable_accounts
    assert table.needs_keys
    assert len(table.problems) == 1


@params([], {'max_body_bytes': -1}, {'idle_timeout': 'soon'})
def test_unreadable_bounds(limits: object) -> None:
    """The usual ones hold."""
    table = decode_route_table(route_table(limits=limits))
    assert table.bounds == CallerBounds()
    assert len(table.problems) == 1


def test_no_problems() -> None:
    """The sample has none."""
    table = decode_route_table(route_table())
    assert not table.problems
    assert not table.has_unreadable_accounts


def test_registration() -> None:
    """An upstream's row is decoded into a registration."""
    decoded = decode_registration('i-1', registration())
    assert (decoded.address, decoded.port) == ('127.0.0.9', 8080)
    assert decoded.started_at_ms == 1782362216345
    assert decoded.sequence == 4
    assert not decoded.is_leaving
    assert int(decoded.cold_for_s * 1000) == 1500


@params(
    ('addr', None),
    ('addr', '127.0.0.1'),
    ('addr', 7),
    ('born', 1.5),
    ('born', 'yesterday'),
    ('info.service', None),
    ('info.slots', None),
    ('info.slots', '9'),
    ('info.zone', 3),
    ('status.state', 'asleep'),
    ('status.seq', True),
    ('status.cold_left', 5),
    ('info', 'x'),
    ('status', None),
)
def test_malformed_registrations(path: str, content: object) -> None:
    """Registrations with missing or mistyped fields are refused."""
    row = registration(path, content)
    assert _is_malformed(decode_registration, 'i-1', row)


# Figures beyond the fields of heartbeats ended every VM of the fleet.
@params(
    ('status.cold_left', '3000000000ms'),
    ('status.cold_left', '9000000000000000s'),
    ('status.cold_left', f'{"9" * 400}s'),
    ('status.seq', 2**63),
    ('born', 10**400),
    ('info.slots', 10**400),
    ('info.service', '\ud800'),
    ('info.zone', '\ud800'),
    ('addr', f'127.0.0.1:{"1" * 5000}'),
    ('addr', '127.0.0.1:80\u0660'),
    ('addr', '127.0.0.1\0:80'),
    ('addr', f'{"a" * 70}:80'),
)
def test_registrations_out_of_range(path: str, content: object) -> None:
    """A figure that no real upstream names makes the row malformed."""
    row = registration(path, content)
    assert _is_malformed(decode_registration, 'i-1', row)


@params('', 'i-\ud800', 'i-1\r\nx: y', ' i-1')
def test_ids_that_no_header_can_carry(upstream: str) -> None:
    """Requests name the upstream in a header."""
    assert _is_malformed(decode_registration, upstream, registration())


@params(
    {'version': 'f' * 16},
    {'version': '-1'},
)
def test_versions_out_of_range(changes: dict[str, object]) -> None:
    """Heartbeats carry them."""
    assert _is_malformed(decode_route_table, route_table(**changes))


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(content: bytes) -> None:
    """Decoding raises no other exception than MalformedError."""
    _is_malformed(decode_route_table, content)
    _is_malformed(decode_registration, 'i-1', content)
    _is_malformed(decode_member, 'vm', content)


def test_durations() -> None:
    """Both units are parsed; any other text is refused."""
    assert int(read_duration('2.5s') * 10) == 25
    assert int(read_duration('1500ms') * 10) == 15
    assert write_duration(2) == '2000ms'
    for text in ('', '5', '-1s', '1m', 'xs', 's', 'ms', '1 s', '1Ms', 5, None):
        assert _is_malformed(read_duration, text)


# Guards against a route table that never comes into force since a sound writer
# printed a time with all its decimals: requests ran at the old service, and
# those with keys were refused.
@params(
    ('1.3333333333333333s', 4 / 3),
    ('1333.3333333333333ms', 1333.3333333333333 / 1000),
    ('0.30000000000000004s', 0.1 + 0.2),
    ('0.1000000000000000055511151231257827021181583404541015625s', 0.1),
    ('0000000000000000002s', 2),
    ('1e3ms', 1),
    ('5.0E-1s', 0.5),
    ('.5s', 0.5),
    ('8.s', 8),
)
def test_timeout_of_many_decimals(text: str, timeout_s: float) -> None:
    """Any notation of a time is read, with its exact value."""
    document = copy.deepcopy(ROUTE_TABLE)
    columns = document['routes']['cols']
    document['routes']['rows'][0][columns.index('timeout')] = text
    route = decode_route_table(json.dumps(document).encode()).routes[0]
    assert route.timeout_s == timeout_s


# Guards against a time that the store, an upstream or the settings name and
# that is refused for its notation.
@given(st.floats(0, 1e12))
def test_every_notation_of_a_duration(duration_s: float) -> None:
    """Both units, shortest text or all digits."""
    for text in (f'{duration_s!r}s', f'{duration_s:.1074f}s'):
        assert read_duration(text) == duration_s
    expected_s = duration_s / 1000
    assert read_duration(f'{duration_s!r}ms') == expected_s


def test_durations_out_of_range() -> None:
    """The bound is on the value, in both units."""
    assert read_duration('1e18ms') == DURATION_MAX_S
    for text in ('1.1e15s', '1.1e18ms', f'{"9" * 400}s', '1e999s'):
        assert _is_malformed(read_duration, text)


def test_member_round_trip() -> None:
    """An encoded member is decoded to an equal one."""
    member = make_member('vm-1')
    assert decode_member('vm-1', encode_member(member)) == member
    taking_over = attrs.evolve(
        member, crossings=Endpoint('127.0.0.1', 7742), token='t'
    )
    assert decode_member('vm-1', encode_member(taking_over)) == taking_over


# A malformed address ended the VM that passed a request on to it.
def test_malformed_address_for_requests_of_peers() -> None:
    """The row names no VM."""
    document = json.loads(encode_member(make_member('vm-1')))
    for text in ('nowhere', '127.0.0.1:', '127.0.0.1:99999', 5):
        document['crossings'] = text
        assert _is_malformed(decode_member, 'vm-1', json.dumps(document))
