"""Answers that begin as their VM is found to reach no upstream."""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.edge import events
from chestnutshift.edge.reach_monitor import ReachMonitor
from chestnutshift.events.log import EventFilter
from chestnutshift.memory.budget import Reservation
from tests.edge.world import running_edge


@contextmanager
def _cut_off_at_head() -> Iterator[list[bool]]:
    """Have the VM be found cut off as the head of the first answer comes."""
    record_head = ReachMonitor.record_head
    cuts: list[bool] = []

    def record(monitor: ReachMonitor, watched: object, now: float) -> None:
        if not cuts:
            cuts.append(True)
            watched.scope.cancel()
        record_head(monitor, watched, now)

    with patch.object(ReachMonitor, 'record_head', record):
        yield cuts


# LOST: an attempt that was cancelled in the tick in which its answer came was
# ended after the head of the answer was written.
@params(True, False)
@trio_test
async def test_answer_as_the_vm_is_found_cut_off(has_room: bool) -> None:
    """The request is sent again, as nothing of the answer was passed on."""
    with _cut_off_at_head() as cuts, _memory(has_room):
        async with running_edge('serve', 'serve') as world:
            answer = await world.ask(method='GET')
            assert cuts
            assert answer.status_code == 200
            log = world.state.event_log
            lost = EventFilter(number=events.CONNECTION_LOST.number)
            assert not log.select(lost)


@contextmanager
def _memory(has_room: bool) -> Iterator[None]:
    """Have no room for answers that are buffered, unless has_room."""
    add = Reservation.try_add

    def try_add(reservation: Reservation, kind: object, more_b: int) -> bool:
        return has_room and add(reservation, kind, more_b)

    with patch.object(Reservation, 'try_add', try_add):
        yield
