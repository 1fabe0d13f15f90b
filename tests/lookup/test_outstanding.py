"""Tests of counting outstanding answers and of the caps of shifts."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutshift.events.log import EventFilter, EventLog
from chestnutshift.lookup import events
from chestnutshift.lookup.answers import Question
from chestnutshift.lookup.directory import LookupDirectory
from chestnutshift.lookup.outstanding import (
    DELIVERY_MAX_S,
    MoveBudget,
    OutstandingAnswers,
    movable_answers,
    movable_fraction,
)
from chestnutshift.lookup.view import EntryState, Shift
from tests.enforcement import enforced
from tests.lookup.fixtures import (
    PRESET,
    make_entries,
    make_table,
    make_view,
)

DETERMINISTIC = settings(derandomize=True, deadline=None, database=None)
LIFETIME_S = PRESET.lookup.lifetime_s
SHIFT = Shift('east', 'west', 1.0)


def make_directory(view=None, **fields) -> LookupDirectory:
    """Return a directory whose process started long ago."""
    return LookupDirectory(
        view=view or make_view(),
        outstanding=OutstandingAnswers(-1000, LIFETIME_S),
        log=EventLog('vm'),
        **fields,
    )


def event_numbers(directory) -> list[int]:
    """Return the numbers of the events emitted so far."""
    return [event.number for event in directory.log.select(EventFilter())]


@DETERMINISTIC
@given(st.lists(st.floats(0, 30), min_size=1, max_size=20), st.floats(0, 60))
def test_last_expiry_covers_every_answer(requested_at, now):
    """The last expiry of a VM is not before any answer that names it."""
    directory = make_directory()
    expiries: dict[str, list[float]] = {}
    for moment in sorted(requested_at):
        answer = directory.answer(Question('10.2.3.4'), PRESET, moment)
        for entry in answer.entries:
            last = answer.expires_at + DELIVERY_MAX_S
            expiries.setdefault(entry.name, []).append(last)
    for name, times in expiries.items():
        live = sum(time > now for time in times)
        assert directory.outstanding.count_naming(name, now) >= live
        assert directory.outstanding.last_expiry(name, now) >= max(now, *times)
        assert (
            directory.outstanding.last_expiry(name, now) < max(now, *times) + 1
        )


def test_answers_naming_drained_vm_expire():
    """After a drain no new answer names the VM; its count falls to zero."""
    directory = make_directory()
    directory.answer(Question('10.2.3.4'), PRESET, 100)
    name = directory.answer(Question('10.2.3.4'), PRESET, 100).entries[0].name
    states = {name: EntryState.DRAINED}
    directory.update(make_view(entries=make_entries(**states)))
    directory.answer(Question('10.2.3.4'), PRESET, 105)
    assert directory.outstanding.count_naming(name, 105) == 2
    last_expiry = directory.outstanding.last_expiry(name, 105)
    assert last_expiry == 100 + LIFETIME_S + DELIVERY_MAX_S
    assert directory.outstanding.count_naming(name, last_expiry) == 0
    directory.answer(Question('10.2.3.4'), PRESET, 111)
    assert directory.outstanding.region_last_expiry('east', 111) > last_expiry


def test_new_process_awaits_earlier_answers():
    """A new process allows for answers that its predecessor gave."""
    outstanding = OutstandingAnswers(50, LIFETIME_S)
    assert (
        outstanding.last_expiry('any', 51) == 50 + LIFETIME_S + DELIVERY_MAX_S
    )
    assert outstanding.region_last_expiry('any', 200) == 200


def test_moves_stay_under_cap():
    """The moved answers reach the cap and never exceed it."""
    budget = MoveBudget(cap_rate=20, answer_rate=0.5)
    directory = make_directory(
        make_view(shifts=(SHIFT,)),
        budgets={('east', 'west'): budget},
    )
    generator = random.Random(1)
    moved_max = 0
    with enforced():
        for step in range(5000):
            caller = f'10.2.{generator.randrange(256)}.1'
            directory.answer(Question(caller), PRESET, step / 100)
            moved = directory.outstanding.count_moved(
                'east', 'west', step / 100
            )
            moved_max = max(moved_max, moved)
    assert moved_max == 40
    assert events.MOVE_HELD.number in event_numbers(directory)
    assert events.MOVE_RESUMED.number in event_numbers(directory)


def test_shift_without_budget_moves_nobody():
    """Callers stay at home while the shift has no budget."""
    directory = make_directory(make_view(shifts=(SHIFT,)))
    answer = directory.answer(Question('10.2.3.4'), PRESET, 0)
    assert answer.region == 'east'
    assert not answer.moved


def test_movable_answers_and_fraction():
    """Movable answers and fraction are limited by cap and answer rate."""
    budget = MoveBudget(cap_rate=10, answer_rate=2)
    assert movable_answers(budget, 3) == 2
    assert movable_answers(budget, 9) == 0
    assert movable_answers(MoveBudget(10, 0), 0) == 0
    assert movable_fraction(budget, 20) * 20 == 5
    assert movable_fraction(budget, 0) == 1


def test_events_of_state_and_table():
    """A new table and the loss of all live VMs emit events."""
    directory = make_directory()
    assert directory.load(make_table({'10.0.0.0/8': 2}, number=4).dump())
    assert not directory.load(make_table({}, number=3).dump())
    assert directory.answer(Question('10.2.3.4'), PRESET, 0).region == 'west'
    silent = {entry.name: EntryState.SILENT for entry in make_entries()}
    directory.update(make_view(entries=make_entries(**silent)))
    directory.answer(Question('10.2.3.4'), PRESET, 0)
    assert event_numbers(directory) == [
        events.TABLE_LOADED.number,
        events.NO_LIVE_ENTRY.number,
    ]


def test_drained_region_stays_under_cap():
    """Callers beyond the cap stay at home, even in a drained region."""
    drained = make_view(
        shifts=(SHIFT,),
        drained_regions=frozenset(('east',)),
    )
    budget = MoveBudget(cap_rate=3, answer_rate=1)
    directory = make_directory(drained, budgets={('east', 'west'): budget})
    regions = [
        directory.answer(Question(f'10.2.{block}.1'), PRESET, 0).region
        for block in range(100)
    ]
    assert set(regions[:3]) == {'west'}
    assert set(regions[3:]) == {'east'}
