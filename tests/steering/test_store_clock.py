"""The estimated time of a store's answer is never too late."""

from hypothesis import given
from hypothesis import strategies as st

from chestnutshift.steering.store_clock import StoreClock

OFFSET_S = 1000.0


def test_long_poll_is_dated_by_the_store_clock() -> None:
    """A poll of 2.4 s proves the state at its end, not only at its start."""
    clock = StoreClock()
    clock.sent_at_bound(OFFSET_S + 10.02, requested_at=10.0, received_at=10.04)
    sent_at = clock.sent_at_bound(OFFSET_S + 12.5, 10.1, 12.51)
    assert int(sent_at * 10) == 124


def test_first_answer_is_dated_by_its_request() -> None:
    """A single answer does not bound the offset of the store's clock."""
    clock = StoreClock()
    assert clock.sent_at_bound(OFFSET_S, requested_at=7, received_at=9) == 7


def test_store_clock_jump_is_detected() -> None:
    """An answer dated after its receipt is dated by its request instead."""
    clock = StoreClock()
    clock.sent_at_bound(OFFSET_S + 10, 10.0, 10.1)
    assert clock.sent_at_bound(OFFSET_S + 60, 11, 12) == 11


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
    """No mix of network delays and waits gives a date after the true one."""
    clock = StoreClock()
    now = 100.0
    for request_s, wait_s, response_s, pause_s in calls:
        sent = now + request_s + wait_s
        received = sent + response_s
        dated = clock.sent_at_bound(sent + OFFSET_S, now, received)
        assert now <= dated <= sent + 1e-6
        now = received + pause_s
