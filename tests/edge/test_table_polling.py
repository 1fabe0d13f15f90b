"""Open long polls are restarted, and store outages delay removals."""

import attrs
import trio
from trio.testing import trio_test

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.store_tables import Change, Source, View
from chestnutshift.edge.state_updater import StateUpdater
from chestnutshift.edge.table_polling import TablePoller
from chestnutshift.events.log import EventFilter
from chestnutshift.fleet.store_polling import PollPace
from chestnutshift.steering.upstreams import Registration
from tests.edge.factories import make_state
from tests.edge.world import until

WAIT_S = 30.0
PACE = PollPace(WAIT_S, settle_s=0)


@attrs.define
class UnansweredSource(Source[Registration]):
    """A table whose long polls are never answered."""

    rows: tuple[Change[Registration], ...] = ()
    version: int = 1
    era: int = 0
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
            era=self.era,
        )


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


# Guards against older rows that replace newer ones, and against a log line for
# each poll: a store may answer from before its return for a while.
@trio_test
async def test_answers_of_an_earlier_era() -> None:
    """They are not applied; the loss of the store is logged once."""
    state = make_state()
    state.record_era(2)
    listed = Registration('i-1', 1, 's1', '127.0.0.1', 80, 'a1', 8)
    source = UnansweredSource((Change('i-1', listed),), era=1)
    updater = StateUpdater(state)
    poller = TablePoller(
        state, source, 'upstreams', lambda: PACE, updater.apply_upstreams
    )
    with trio.move_on_after(1):
        await poller.run()
    assert state.directory.find('i-1') is None
    number = events.STORE_LOST.number
    assert len(state.event_log.select(EventFilter(number=number))) == 1
