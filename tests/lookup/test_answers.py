"""Tests of the selection of entry VMs and of their ranking."""

import unittest

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutshift.lookup.answers import Question, choose
from chestnutshift.lookup.exceptions import NoEntryKnownError
from chestnutshift.lookup.ranking import EntryState, EntryVM, Ranking, rank
from chestnutshift.lookup.view import Shift
from tests.lookup.fixtures import PRESET, make_entries, make_view

CASE = unittest.TestCase()
DETERMINISTIC = settings(derandomize=True, deadline=None, database=None)
CALLERS = tuple(f'10.2.{block}.7' for block in range(256))
DRAINED = frozenset(('east',))
STATES = st.sampled_from(EntryState)


def first_entries(view) -> dict[str, str]:
    """Return the first VM in the answer to each caller."""
    return {
        caller: choose(Question(caller), view, PRESET, 0).entries[0].name
        for caller in CALLERS
    }


def regions_of(answer) -> list[str]:
    """Return the regions of the answer, in the order of first occurrence."""
    return list(dict.fromkeys(entry.region for entry in answer.entries))


def test_region_by_block_hint_and_address():
    """The hint takes precedence over the block, the block over the address."""
    view = make_view()
    cases = (
        (Question('10.9.9.9'), 'east'),
        (Question('10.1.9.9'), 'north'),
        (Question('2001:db8::1'), 'west'),
        (Question('192.0.2.1'), 'east'),
        (Question('10.9.9.9', block='10.1.2.0/24'), 'north'),
        (Question('10.9.9.9', region='west'), 'west'),
        (Question('10.9.9.9', region='unknown'), 'east'),
    )
    for question, region in cases:
        answer = choose(question, view, PRESET, 0)
        assert answer.region == region, question
        assert len(regions_of(answer)) == 3


def test_second_vm_is_in_another_failure_domain():
    """The first two VMs of an answer are in different failure domains."""
    view = make_view()
    for caller in CALLERS:
        first, second, *_ = choose(Question(caller), view, PRESET, 0).entries
        assert first.region == second.region
        assert first.failure_domain != second.failure_domain


def test_loss_moves_only_own_callers():
    """When a VM leaves, only its callers move, to all VMs of its region."""
    before = first_entries(make_view())
    assert set(before.values()) == {'east11', 'east12', 'east21', 'east22'}
    lost = make_view(entries=make_entries(east11=EntryState.LEAVING))
    after = first_entries(lost)
    moved = {caller for caller in CALLERS if before[caller] != after[caller]}
    assert moved == {caller for caller in CALLERS if before[caller] == 'east11'}
    assert {after[caller] for caller in moved} == {'east12', 'east21', 'east22'}


def test_headroom_weighs_callers():
    """A VM with a quarter of the others' headroom gets fewer callers."""
    entries = tuple(
        attrs.evolve(entry, headroom=0.25) if entry.name == 'east11' else entry
        for entry in make_entries()
    )
    names = list(first_entries(make_view(entries=entries)).values())
    even_share = len(CALLERS) / 4
    assert 0 < names.count('east11') < even_share / 2


ENTRIES = st.lists(
    st.builds(
        EntryVM,
        name=st.sampled_from([f'vm{index}' for index in range(9)]),
        url=st.just(''),
        region=st.just('east'),
        failure_domain=st.sampled_from(('one', 'two')),
        headroom=st.sampled_from((0.25, 1.0)),
    ),
    max_size=9,
    unique_by=lambda entry: entry.name,
).map(tuple)


@DETERMINISTIC
@given(ENTRIES, ENTRIES)
def test_reused_ranking_equals_a_new_one(before, after):
    """Reused rankings are right after VMs were added, removed or changed."""
    previous = Ranking(before)
    for bucket in range(64):
        previous.first(bucket)
    reusing = Ranking(after)
    reusing.reuse(previous)
    for bucket in range(64):
        assert reusing.first(bucket) == rank(after, bucket)


@DETERMINISTIC
@given(st.lists(STATES, min_size=12, max_size=12), st.booleans())
def test_never_empty_and_silent_last(states, drained):
    """Any known VM gives an answer; live VMs come first, silent ones last."""
    entries = tuple(
        attrs.evolve(entry, state=state)
        for entry, state in zip(make_entries(), states, strict=True)
    )
    regions = DRAINED if drained else frozenset()
    view = make_view(entries=entries, drained_regions=regions)
    answer = choose(Question('10.2.3.4'), view, PRESET, 0)
    named = [entry.state for entry in answer.entries]
    assert named
    first_silent = [*named, EntryState.SILENT].index(EntryState.SILENT)
    assert set(named[first_silent:]) <= {EntryState.SILENT}
    live = {
        entry.region
        for entry in entries
        if entry.state is EntryState.LIVE and entry.region not in regions
    }
    if live:
        assert set(named) <= {EntryState.LIVE, EntryState.SILENT}
        assert answer.region in live


def test_single_vm_in_any_state_is_named():
    """The only known VM is named, even silent or in a drained region."""
    for state in EntryState:
        entry = attrs.evolve(make_entries()[0], state=state)
        view = make_view(entries=(entry,), drained_regions=DRAINED)
        answer = choose(Question('10.2.3.4'), view, PRESET, 0)
        assert answer.entries == (entry,)


def test_no_vm_raises():
    """A view without VMs raises NoEntryKnownError."""
    with CASE.assertRaises(NoEntryKnownError):
        choose(Question('10.2.3.4'), make_view(entries=()), PRESET, 0)


def test_shift_moves_its_fraction():
    """A larger fraction moves more callers and returns none of them."""
    previous: set[str] = set()
    for fraction in (0, 0.25, 0.5, 1):
        view = make_view(shifts=(Shift('east', 'west', fraction),))
        answers = {
            caller: choose(Question(caller), view, PRESET, 0)
            for caller in CALLERS
        }
        moved = {
            caller for caller in CALLERS if answers[caller].region == 'west'
        }
        assert previous <= moved
        deviation = abs(len(moved) - fraction * len(CALLERS))
        assert deviation < len(CALLERS) / 10
        previous = moved


def test_lifetime_is_short_while_moving():
    """A shift, a drain or the loss of all home VMs shortens the lifetime."""
    ordinary = choose(Question('10.2.3.4'), make_view(), PRESET, 5)
    assert ordinary.lifetime_s == PRESET.lookup.lifetime_s
    assert ordinary.expires_at == 5 + PRESET.lookup.lifetime_s
    moving = (
        make_view(shifts=(Shift('east', 'west', 0.1),)),
        make_view(drained_regions=DRAINED),
        make_view(entries=make_entries(east12=EntryState.DRAINED)),
        make_view(entries=make_entries()[4:]),
    )
    for view in moving:
        answer = choose(Question('10.2.3.4'), view, PRESET, 5)
        assert answer.lifetime_s == PRESET.lookup.moving_lifetime_s
