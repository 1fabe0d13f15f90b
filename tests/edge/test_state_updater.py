"""Views of the store's tables, also older ones, applied to the state."""

import attrs

from chestnutshift.edge.state_updater import StateUpdater
from chestnutshift.edge.store_tables import Change, Evacuation, View
from chestnutshift.fleet.heartbeats import Heartbeat, MemberPhase
from chestnutshift.platform.route_tables import decode_route_table
from chestnutshift.steering.upstreams import Registration
from tests.edge.factories import make_state
from tests.fleet.factories import make_member
from tests.fleet.test_heartbeats import HEARTBEAT
from tests.platform.samples import route_table


# Guards against a VM that ends by itself, and against an upstream that is
# dropped although it is listed: a view told of several changes of one row.
def test_view_with_several_changes_of_a_row() -> None:
    """The last change of each row counts."""
    state = make_state()
    updater = StateUpdater(state)
    listed = Registration('i-1', 1, 's1', '127.0.0.1', 80, 'a1', 8)
    row, gone = Change('i-1', listed), Change('i-1', None)
    updater.apply_upstreams(make_upstreams_view(gone, row), now=100)
    assert state.directory.find('i-1')
    updater.apply_upstreams(make_upstreams_view(gone, row), now=101)
    assert state.directory.find('i-1')
    updater.apply_upstreams(make_upstreams_view(gone, row, gone), now=102)
    assert state.directory.find('i-1') is None


def make_upstreams_view(*changes: Change) -> View:
    """Return a view of the upstreams' changes."""
    return View(changes, 1, requested_at=0, is_whole=False)


def make_operators_view(*changes: Change, **fields: object) -> View:
    """Return a view of the operators' table."""
    view = View(changes, 1, requested_at=0, is_whole=False, era=1)
    return attrs.evolve(view, **fields)


# Guards against requests to an evacuated failure domain after the store
# returned from a copy that is older than the operator's request.
def test_evacuation_outlasts_an_older_copy() -> None:
    """It ends in time if the operator does not ask for it again."""
    state = make_state()
    updater = StateUpdater(state)
    request = Change('evacuate/a1', Evacuation('a1'))
    updater.apply_operators(make_operators_view(is_whole=True), now=90)
    updater.apply_operators(make_operators_view(request), now=95)
    copy = make_operators_view(is_whole=True, era=2)
    updater.apply_operators(copy, now=100)
    bound_s = state.settings.bounds.evacuation_s
    updater.end_held_evacuations(now=99.9 + bound_s)
    assert state.directory.evacuated == {'a1'}
    updater.end_held_evacuations(now=100 + bound_s)
    assert not state.directory.evacuated


# Guards against requests to upstreams that have left, and to runs that have
# ended: a reading from behind the history that was lost brought them back.
def test_reading_from_behind() -> None:
    """After a loss of history the store may answer with older rows."""
    state = make_state()
    updater = StateUpdater(state)
    listed = Registration('i-1', 5, 's1', '127.0.0.1', 80, 'a1', 8, sequence=3)
    rows = (Change('i-1', listed),)
    whole = View(rows, 10, requested_at=0, is_whole=True)
    updater.apply_upstreams(whole, now=100)
    gone = View((Change('i-1', None),), 12, requested_at=0, is_whole=False)
    updater.apply_upstreams(gone, now=101)
    updater.apply_upstreams(attrs.evolve(whole, version=9), now=102)
    assert state.directory.find('i-1') is None
    again = Change('i-1', attrs.evolve(listed, sequence=4))
    updater.apply_upstreams(View((again,), 13, 0, is_whole=False), now=103)
    assert state.directory.find('i-1')


# Guards against withdrawn keys that are accepted after the store returned
# from a copy: its older route table passed for the newest.
def test_older_copy_proves_no_older_table() -> None:
    """A peer knows a newer route table than the store's copy has."""
    state = make_state()
    updater = StateUpdater(state)
    table = decode_route_table(route_table())
    row = Change('config', table)
    whole = make_operators_view(row, is_whole=True)
    updater.apply_operators(whole, now=95)
    state.fleet.add_member(make_member('vm-2'), 95)
    heartbeat = Heartbeat(
        'vm-2', 1, 1, 95, MemberPhase.SERVING, table.version + 1
    )
    state.record_heartbeat(heartbeat, 100)
    copy = attrs.evolve(whole, era=2, requested_at=100)
    updater.apply_operators(copy, now=100)
    assert state.freshness.age_s(100) > 4
    newer = attrs.evolve(table, version=table.version + 1)
    again = make_operators_view(Change('config', newer), era=2)
    again = attrs.evolve(again, requested_at=101)
    updater.apply_operators(again, now=101)
    assert state.freshness.age_s(101) < 1


# Guards against withdrawn keys that a VM accepts which started after the
# store's return: the first table that it read passed for the newest.
def test_vm_that_starts_on_an_older_copy() -> None:
    """It trusts no key while a peer knows a newer route table."""
    state = make_state()
    table = decode_route_table(route_table())
    row = Change('config', table)
    whole = make_operators_view(row, is_whole=True, requested_at=100)
    StateUpdater(state).apply_operators(whole, now=100)
    state.fleet.keep_only((), 100)
    assert state.trust.accepts_keys(100)
    state.fleet.add_member(make_member('vm-2'), 100)
    heartbeat = Heartbeat(
        'vm-2', 1, 1, 95, MemberPhase.SERVING, table.version + 1
    )
    state.record_heartbeat(heartbeat, 100)
    assert not state.trust.accepts_keys(100)
    state.adopt(attrs.evolve(table, version=table.version + 1))
    assert state.trust.accepts_keys(100)


def test_evacuation_that_ends_after_a_return() -> None:
    """The operator asks again for what the copy lacks, then takes it back."""
    state = make_state()
    updater = StateUpdater(state)
    request = Change('evacuate/a1', Evacuation('a1'))
    whole = make_operators_view(request, is_whole=True)
    updater.apply_operators(whole, now=95)
    copy = make_operators_view(is_whole=True, era=2)
    updater.apply_operators(copy, now=100)
    updater.apply_operators(make_operators_view(request, era=2), now=101)
    updater.end_held_evacuations(now=200)
    assert state.directory.evacuated == {'a1'}
    end = Change('evacuate/a1', None)
    updater.apply_operators(make_operators_view(end, era=2), now=201)
    assert not state.directory.evacuated


# CONFIG: a VM that started just as the store returned from an older copy
# accepted a key that only the lost route table took away, until the first
# heartbeats arrived.
def test_vm_that_starts_before_it_hears_its_peers() -> None:
    """It trusts no key until peers that are listed have had time to tell."""
    state = make_state()
    state.fleet.add_member(make_member('vm-2'), 100)
    row = Change('config', decode_route_table(route_table()))
    whole = make_operators_view(row, is_whole=True, requested_at=100)
    StateUpdater(state).apply_operators(whole, now=100)
    assert not state.trust.accepts_keys(100)
    assert state.trust.accepts_keys(
        100 + state.settings.bounds.withdrawal_s / 2
    )


def test_vm_that_starts_alone() -> None:
    """Without listed peers it trusts keys once the table of VMs is read."""
    state = make_state()
    row = Change('config', decode_route_table(route_table()))
    whole = make_operators_view(row, is_whole=True, requested_at=100)
    StateUpdater(state).apply_operators(whole, now=100)
    assert not state.trust.accepts_keys(100)
    state.fleet.keep_only((), 100)
    assert state.trust.accepts_keys(100)


def test_vm_that_hears_its_peers() -> None:
    """It trusts keys as soon as each listed peer was heard.

    It does not wait for one that has started later than itself.
    """
    state = make_state()
    state.fleet.add_member(make_member('vm-2'), 100)
    state.fleet.add_member(make_member('vm-3'), 100)
    state.fleet.keep_only(('vm-2', 'vm-3'), 100)
    row = Change('config', decode_route_table(route_table()))
    whole = make_operators_view(row, is_whole=True, requested_at=100)
    StateUpdater(state).apply_operators(whole, now=100)
    state.record_heartbeat(HEARTBEAT, 100.2)
    assert not state.trust.accepts_keys(100.2)
    state.fleet.add_member(make_member('vm-3', incarnation=2), 100.3)
    assert state.trust.accepts_keys(100.3)
