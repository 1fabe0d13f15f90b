"""Open long polls are restarted, and store outages delay removals."""

import attrs
import trio
from trio.testing import trio_test

from chestnutshift.clocks import boot_time
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.store_tables import (
    Change,
    Evacuation,
    Source,
    View,
)
from chestnutshift.edge.table_polling import StateUpdater, TablePoller
from chestnutshift.events.log import EventLog
from chestnutshift.fleet.heartbeats import Heartbeat, MemberPhase
from chestnutshift.fleet.store_polling import PollPace
from chestnutshift.platform.route_tables import decode_route_table
from chestnutshift.steering.upstreams import Registration
from tests.edge.world import make_settings, until
from tests.fleet.factories import make_member
from tests.platform.samples import route_table

WAIT_S = 30.0
PACE = PollPace(WAIT_S, settle_s=0)


@attrs.define
class UnansweredSource(Source[Registration]):
    """A table whose long polls are never answered."""

    rows: tuple[Change[Registration], ...] = ()
    version: int = 1
    waits_s: list[float] = attrs.field(factory=list)

    async def read(self) -> View[Registration]:
        """Return every row."""
        return self._view(is_whole=True)

    async def follow(self, after: int, wait_s: float) -> View[Registration]:
        """Answer at once if wait_s is 0, else never."""
        self.waits_s.append(wait_s)
        if wait_s:
            await trio.sleep_forever()
        return self._view(is_whole=False)

    def _view(self, *, is_whole: bool) -> View[Registration]:
        return View(
            self.rows,
            self.version,
            boot_time(),
            is_whole,
            changed_at=self.version,
        )


def make_state() -> EdgeState:
    """Return the state of a VM that has read no table yet."""
    return EdgeState(make_settings(store_port=1), 1, EventLog('vm-1'))


@trio_test
async def test_removal_whose_answer_was_lost() -> None:
    """A restarted poll returns a removal whose first answer was lost."""
    state = make_state()
    updater = StateUpdater(state)
    listed = Registration('i-1', 1, 's1', '127.0.0.1', 80, 'a1', 8)
    source = UnansweredSource((Change('i-1', listed),))
    poller = TablePoller(
        state, source, 'upstreams', lambda: PACE, updater.apply_upstreams
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(poller.run)
        await until(lambda: source.waits_s == [WAIT_S])
        assert state.directory.find('i-1')
        source.rows = (Change('i-1', None),)
        source.version = 2
        poller.poll_now(boot_time())
        await until(lambda: state.directory.find('i-1') is None)
        await until(lambda: source.waits_s[-1:] == [WAIT_S])
        assert source.waits_s == [WAIT_S, 0, WAIT_S]
        nursery.cancel_scope.cancel()


def test_store_outage_delays_removals() -> None:
    """After an outage seen by all VMs, lapsed upstreams may register again."""
    state = make_state()
    state.record_store_answer(100, now=100)
    state.record_store_answer(103, now=103)
    names = [f'i-{number}' for number in range(4)]
    for name in names:
        listed = Registration(name, 1, 's1', '127.0.0.1', 80, 'a1', 8)
        state.directory.register(listed, now=103)
    state.record_store_answer(109, now=109)
    assert not state.directory.unregister(names[:3], now=109)
    assert sorted(state.directory.expire(now=112)) == names[:3]


def test_store_outage_for_one_vm_only() -> None:
    """If peers reached the store throughout, removals count at once."""
    state = make_state()
    state.record_store_answer(100, now=100)
    listed = Registration('i-1', 1, 's1', '127.0.0.1', 80, 'a1', 8)
    state.directory.register(listed, now=100)
    for answered_at in (103, 106, 109):
        state.record_store_answer(answered_at, now=109)
    assert state.directory.unregister(['i-1'], now=109) == ['i-1']


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
    assert state.is_trusted(100)
    state.fleet.add_member(make_member('vm-2'), 100)
    heartbeat = Heartbeat(
        'vm-2', 1, 1, 95, MemberPhase.SERVING, table.version + 1
    )
    state.record_heartbeat(heartbeat, 100)
    assert not state.is_trusted(100)
    state.adopt(attrs.evolve(table, version=table.version + 1))
    assert state.is_trusted(100)


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
