"""Beats survive the wire, and prove only what they can."""

import attrs
from hypothesis import given
from hypothesis import strategies as st

from chestnutshift.fleet.beats import (
    Beat,
    MemberPhase,
    hash_upstream,
)
from chestnutshift.fleet.datagrams import decode, encode
from chestnutshift.fleet.exceptions import BrokenDatagramError
from chestnutshift.fleet.questions import LimitAnswer, LimitQuestion
from chestnutshift.fleet.view import CLAIM_EXPIRY_S, SILENCE_MIN_S, FleetView
from tests.fleet.world import make_member

NOW = 500.0
BEAT = Beat(
    vm='vm-2',
    incarnation=1,
    number=1,
    sent_at=10.0,
    phase=MemberPhase.SERVING,
    table_version=12,
    echoed_at=499.5,
    proof_age_s=1.0,
    demand={'konya': 2.5},
    in_flight={hash_upstream('i-1'): 3},
)


def make_view() -> FleetView:
    """Return the view of vm-1, which lists vm-2."""
    view = FleetView('vm-1')
    view.enlist(make_member('vm-2'), NOW)
    return view


def test_messages_survive_the_wire() -> None:
    """Every field comes back, whether a VM tells, asks or answers."""
    question = LimitQuestion(7, 'konya', is_repeat=True)
    answers = (LimitAnswer(7, None), LimitAnswer(8, 0.25))
    for message in (BEAT, question, *answers):
        assert decode(encode(message)) == message


@given(st.binary(max_size=120))
def test_broken_datagrams(datagram: bytes) -> None:
    """Bytes of anybody raise nothing but the coded error."""
    try:
        decode(datagram)
    except BrokenDatagramError as error:
        assert error.code == 'fleet.broken_datagram'


def test_proof_counts_from_what_was_echoed() -> None:
    """However long the datagram took, the proof is not newer than that."""
    view = make_view()
    assert view.hear(BEAT, NOW + 30)
    assert int(view.proof(12) * 10) == 4985
    assert view.proof(11) < 0


def test_older_beats_change_nothing() -> None:
    """Datagrams may come out of order."""
    view = make_view()
    view.hear(attrs.evolve(BEAT, number=2), NOW)
    assert not view.hear(BEAT, NOW + 0.1)


def test_a_stranger_is_not_heard() -> None:
    """Only listed VMs count."""
    assert not make_view().hear(attrs.evolve(BEAT, vm='vm-9'), NOW)


def test_silent_peers_keep_their_claim() -> None:
    """A VM that is cut off may still use its share."""
    view = make_view()
    view.hear(BEAT, NOW)
    assert view.serving(NOW + SILENCE_MIN_S - 0.1)
    assert not view.serving(NOW + SILENCE_MIN_S + 0.1)
    assert view.claimants(NOW + CLAIM_EXPIRY_S - 1) == 2
    assert view.claimants(NOW + CLAIM_EXPIRY_S + 1) == 1


def test_beats_of_a_large_fleet_are_slower() -> None:
    """What a VM sends stays bounded while the fleet grows."""
    small, large = make_view(), FleetView('vm-1')
    for number in range(300):
        large.enlist(make_member(f'peer-{number}'), NOW)
    assert small.beat_s < large.beat_s
    assert 300 / large.beat_s < 66
    assert large.silence_s > 2 * large.beat_s
