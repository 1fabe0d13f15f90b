"""When the store gave an answer is never dated too late."""

from hypothesis import given
from hypothesis import strategies as st

from chestnutshift.steering.store_clock import StoreClock

OFFSET_S = 1000.0


def test_answer_that_waited_is_dated_by_the_store() -> None:
    """A poll of 2.4 s proves the moment of its answer, not of its start."""
    clock = StoreClock()
    clock.given_at(OFFSET_S + 10.02, asked_at=10.0, received_at=10.04)
    given_at = clock.given_at(OFFSET_S + 12.5, 10.1, 12.51)
    assert int(given_at * 10) == 124


def test_first_answer_is_dated_by_its_question() -> None:
    """Without a second answer nothing is known of the store's clock."""
    clock = StoreClock()
    assert clock.given_at(OFFSET_S, asked_at=7, received_at=9) == 7


def test_jump_of_the_stores_clock_is_no_proof() -> None:
    """A time that lies after the receipt dates nothing."""
    clock = StoreClock()
    clock.given_at(OFFSET_S + 10, 10.0, 10.1)
    assert clock.given_at(OFFSET_S + 60, 11, 12) == 11


@given(
    st.lists(
        st.tuples(
            st.floats(0, 0.2),
            st.floats(0, 3),
            st.floats(0, 0.2),
            st.floats(0, 5),
        ),
        min_size=1,
        max_size=40,
    ),
)
def test_never_dated_too_late(calls: list[tuple[float, ...]]) -> None:
    """Whatever the ways and waits take, the true moment is not passed."""
    clock = StoreClock()
    now = 100.0
    for there_s, wait_s, back_s, pause_s in calls:
        given = now + there_s + wait_s
        received = given + back_s
        dated = clock.given_at(given + OFFSET_S, now, received)
        assert now <= dated <= given + 1e-6
        now = received + pause_s
