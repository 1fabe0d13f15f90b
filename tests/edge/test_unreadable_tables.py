"""Route tables of which this build can't read a part, or nothing."""

import json
from collections.abc import Iterator
from typing import Any

from nose2.tools import params

from chestnutshift.edge import events
from chestnutshift.edge.metrics_page import update_gauges
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.state_updater import StateUpdater
from chestnutshift.events.log import EventFilter
from chestnutshift.fleet.heartbeats import MemberPhase
from chestnutshift.platform.sources import operator_source
from chestnutshift.platform.store import StoredRow, StoreView
from tests.edge.factories import make_state
from tests.edge.test_table_trust import status_of
from tests.platform.samples import route_table

NOW = 1000.0
OPEN_PATH = '/a/b/1'
KEYED_PATH = '/a/1'
TENANT_COLUMNS = ['name', 'api_keys', 'rate_per_s']
# Nothing of these tells which requests they concern.
UNREADABLE = (
    b'', b'{', b'[]', b'{"version": "0000000d", "routes": 5}',
    b'{"version": "soon"}',
)  # fmt: skip


class _Operators:
    """The operators' table at one VM; each write gets the next version."""

    def __init__(self) -> None:
        """Start with the sample table in force."""
        self.state = make_state()
        self.state.phase = MemberPhase.SERVING
        self.state.fleet.keep_only((), NOW)
        self._updater = StateUpdater(self.state)
        self._source = operator_source(store=None)
        self._version = 0
        self.write('config', route_table())

    def write(self, key: str, content: bytes | None, problem: str = '') -> None:
        """Let the VM read a row."""
        self._version += 1
        row = StoredRow(key, content, self._version, problem)
        stored = StoreView((row,), self._version, NOW)
        view = self._source._view(stored, is_whole=False)  # noqa: SLF001
        self._updater.apply_operators(view, NOW)


def _version(number: int) -> str:
    return f'{number:08x}'


def _events(state: EdgeState, event) -> Iterator[dict[str, Any]]:
    found = state.event_log.select(EventFilter(number=event.number))
    return (entry.facts for entry in found)


# CONFIG: requests were run by the service that a route had before a newer
# table moved it, for as long as the newer one couldn't be read.
@params(*UNREADABLE)
def test_no_request_goes_by_an_older_table(content: bytes) -> None:
    """All are refused, not run, until a table can be read."""
    operators = _Operators()
    state = operators.state
    assert status_of(state, NOW, OPEN_PATH) == 0
    assert status_of(state, NOW, KEYED_PATH) == 0
    assert state.is_ready(NOW)
    operators.write('config', content)
    for path in (OPEN_PATH, KEYED_PATH, '/none/'):
        assert status_of(state, NOW, path) == 503
    assert not state.is_ready(NOW)
    update_gauges(state, NOW)
    assert b'chestnutshift_table_unreadable 1.0' in state.metrics.render()
    assert any(_events(state, events.ROW_MALFORMED))
    operators.write('config', route_table(version=_version(14)))
    assert status_of(state, NOW, OPEN_PATH) == 0
    assert state.is_ready(NOW)


# CONFIG: one time that couldn't be read kept a whole table out of force, so
# that withdrawn keys and moved routes were served by the older one.
def test_table_with_an_unreadable_route() -> None:
    """That route is closed, all else is as the newer table says."""
    operators = _Operators()
    state = operators.state
    document = json.loads(route_table(version=_version(13)))
    columns = document['routes']['cols']
    moved, unreadable = document['routes']['rows']
    moved[columns.index('service')] = 's2'
    unreadable[columns.index('timeout')] = 'soon'
    document['tenants']['rows'][0][1] = ['k2']
    operators.write('config', json.dumps(document).encode())
    assert state.table_version == 13
    assert state.index.find('one.example', KEYED_PATH).parts[0].service == 's2'
    assert status_of(state, NOW, KEYED_PATH, 'k2') == 0
    assert status_of(state, NOW, KEYED_PATH, 'k1') == 401
    assert status_of(state, NOW, OPEN_PATH) == 503
    assert state.is_ready(NOW)
    told = list(_events(state, events.TABLE_PART_UNREADABLE))
    assert len(told) == 1
    assert 'route book: timeout' in told[0]['detail']
    update_gauges(state, NOW)
    page = state.metrics.render()
    assert b'chestnutshift_table_unreadable_parts 1.0' in page


# CONFIG: a key of an account that can't be read was refused with 401, though
# it may be there; and one that was withdrawn was accepted.
def test_table_with_an_unreadable_account() -> None:
    """Keys of other accounts hold; any other may be valid: 503."""
    operators = _Operators()
    rows = [['konya', ['k1', 'k2'], 'fast'], ['bursa', ['k3'], 5]]
    tenants = {'cols': TENANT_COLUMNS, 'rows': rows}
    changes = {'version': _version(13), 'tenants': tenants}
    operators.write('config', route_table(**changes))
    state = operators.state
    assert status_of(state, NOW, KEYED_PATH, 'k3') == 0
    for key in ('k1', 'k2', 'k9'):
        assert status_of(state, NOW, KEYED_PATH, key) == 503
    assert status_of(state, NOW, OPEN_PATH) == 0


def test_many_unreadable_parts() -> None:
    """The log tells of some, the gauge counts all."""
    operators = _Operators()
    document = json.loads(route_table(version=_version(13)))
    columns = document['routes']['cols']
    row = document['routes']['rows'][0]
    row[columns.index('timeout')] = 'soon'
    document['routes']['rows'] = [row for _ in range(1000)]
    operators.write('config', json.dumps(document).encode())
    state = operators.state
    assert len(list(_events(state, events.TABLE_PART_UNREADABLE))) == 16
    assert len(state.table.problems) == 1000


# EVAC: the content of an evacuation, which says nothing, kept it from force;
# and one of a foreign row kept all keys out.
def test_rows_whose_key_says_all() -> None:
    """They count; a foreign row concerns nobody."""
    operators = _Operators()
    operators.write('evacuate/a1', None, problem='no content')
    operators.write('foreign', None, problem='no content')
    state = operators.state
    assert state.directory.evacuated == {'a1'}
    assert status_of(state, NOW, KEYED_PATH) == 0
    operators.write('evacuate/a1', None)
    assert not state.directory.evacuated
