"""What a VM makes of the requests that peers pass on."""

import attrs

from chestnutshift.edge.admission import Admitted
from chestnutshift.edge.crossings import (
    CrossingReader,
    Progress,
    Received,
    admit_crossing,
    line_of,
    prove_key,
)
from chestnutshift.edge.dialect import InboundRequest
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from chestnutshift.forwarding.crossing import (
    Crossing,
    CrossingVerifier,
    crossing_headers,
)
from chestnutshift.forwarding.problems import ACCOUNT_HEADER, RefusalError
from chestnutshift.platform.route_tables import decode_route_table
from tests.edge.world import make_settings
from tests.platform.samples import route_table

NOW = 1000.0
KEY = 'k1'
TOKEN = 'token'
REQUEST = InboundRequest(
    'r-1', b'GET', 'one.example', '/a/1', b'/a/1?q', [], key=KEY
)


def make_state() -> EdgeState:
    """Return a VM that has fresh proof of the sample route table."""
    state = EdgeState(make_settings(store_port=1), 1, EventLog('vm-1'))
    state.adopt(decode_route_table(route_table()))
    state.record_proof(NOW, NOW)
    return state


def receive(state: EdgeState, **progress: object) -> Received:
    """Return a request for konya as a peer passed it on."""
    told = Progress('s1', 12, prove_key(KEY, state.fleet.token))
    crossing = Crossing('vm-2', 'a', 'n-1', 'konya')
    return Received(crossing, attrs.evolve(told, **progress))


def refusal(state: EdgeState, received: Received) -> str:
    """Return the code by which the request is refused, '' if admitted."""
    try:
        admit_crossing(state, REQUEST, received, NOW)
    except RefusalError as error:
        return error.code
    return ''


def admit(state: EdgeState, received: Received) -> Admitted:
    """Return the admitted request."""
    return admit_crossing(state, REQUEST, received, NOW)


def test_peer_is_believed_about_the_account() -> None:
    """The route comes from the own table, the account from the peer."""
    state = make_state()
    admitted = admit(state, receive(state))
    assert admitted.account_name == 'konya'
    assert admitted.route.name == 'search'


def test_service_that_the_peer_chose() -> None:
    """It stands if the route has it: parts of a split keep their weights."""
    state = make_state()
    booking = attrs.evolve(REQUEST, path='/a/b/1')
    for service in ('s2', 's1', 's2'):
        received = receive(state, service=service)
        admitted = admit_crossing(state, booking, received, NOW)
        assert admitted.service == service
    received = receive(state, service='unknown')
    admitted = admit_crossing(state, booking, received, NOW)
    assert admitted.service in {'s1', 's2'}


# A withdrawn key must stop at either VM.
def test_key_that_the_own_table_lacks() -> None:
    """Another key of the same account doesn't make up for it."""
    state = make_state()
    withdrawn = prove_key('withdrawn', state.fleet.token)
    assert refusal(state, receive(state, key=withdrawn)) == 'keys.unknown'
    assert refusal(state, receive(state, key='')) == 'keys.unknown'
    assert not refusal(state, receive(state))


def test_stale_table() -> None:
    """Without fresh proof no key is taken for valid, whoever saw it."""
    state = make_state()
    received = receive(state)
    try:
        admit_crossing(state, REQUEST, received, NOW + 60)
    except RefusalError as error:
        assert error.code == 'keys.stale'
    else:
        raise AssertionError('admitted with a stale table')


# Requests must not be handled as only an older route table allows.
def test_table_older_than_the_peers() -> None:
    """The peer has decided by a table that this VM doesn't know yet."""
    state = make_state()
    assert refusal(state, receive(state, table=13)) == 'table.older'


def _headers(token: str, incarnation: str, progress: str) -> list:
    crossing = Crossing('vm-2', 'a', 'n-1', 'konya', progress)
    headers = crossing_headers(
        crossing, line_of(REQUEST), token.encode(), incarnation
    )
    return [*headers, (ACCOUNT_HEADER, b'konya')]


def _reader() -> CrossingReader:
    return CrossingReader(CrossingVerifier(TOKEN.encode(), '1'))


def _is_read(headers: list, request: InboundRequest = REQUEST) -> bool:
    try:
        _reader().read(headers, request)
    except RefusalError as error:
        assert error.problem.status == 403
        return False
    return True


def test_proofs() -> None:
    """A proof holds for one token, run, request, account and progress."""
    progress = Progress('s1', 12).text()
    headers = _headers(TOKEN, '1', progress)
    assert _is_read(headers)
    assert not _is_read(_headers('another', '1', progress))
    assert not _is_read(_headers(TOKEN, '2', progress))
    other = attrs.evolve(REQUEST, target=b'/a/2')
    assert not _is_read(headers, other)
    assert not _is_read([*headers, (ACCOUNT_HEADER, b'bursa')])
    more = Progress('s1', 12, sent_count=0, tried=['i-1']).text()
    changed = (b'chestnutshift-crossing-progress', more.encode())
    assert not _is_read([*headers, changed])
    assert not _is_read([])
    assert not _is_read(_headers(TOKEN, '1', 'no JSON'))


def test_replay() -> None:
    """The same crossing counts once."""
    headers = _headers(TOKEN, '1', Progress('s1', 12).text())
    reader = _reader()
    reader.read(headers, REQUEST)
    try:
        reader.read(headers, REQUEST)
    except RefusalError as error:
        assert 'already received' in error.detail
    else:
        raise AssertionError('a replay was read')
