"""What a VM that was told to stop still takes."""

import math

from nose2.tools import params

from chestnutshift.edge.stopping import StopSchedule

BEGAN_AT = 100.0
GRACE_S = 6.0


def stopping() -> StopSchedule:
    """Return the schedule of a VM that was told to stop."""
    stop = StopSchedule()
    stop.begin(BEGAN_AT, GRACE_S)
    return stop


def test_vm_that_serves_takes_everything() -> None:
    """Until it is told to stop, no request is too long."""
    stop = StopSchedule()
    assert stop.can_finish(BEGAN_AT, math.inf, expected_s=math.inf)
    assert stop.age_s(BEGAN_AT) is None


# LOST: a VM that stopped took requests that it could not finish, and cut them.
@params(
    # The request may take 1 s at most: it ends before the VM does.
    (0, 1, 9, True),
    (4.0, 1.0, 9.0, True),
    (5.5, 1.0, 0.1, False),
    # It may take longer than is left, and three times as long as on average.
    (0.5, 20.0, 0.5, True),
    (0.5, 20.0, 3.5, False),
    (0.5, math.inf, 0.5, True),
    # Late in a stop nothing may be cut, however short it is on average.
    (2.5, 20.0, 0.1, False),
)
def test_requests_that_a_stop_may_cut(
    after_s: float, timeout_s: float, expected_s: float, taken: bool
) -> None:
    """They are not taken: what is taken ends first, or most likely does."""
    now = BEGAN_AT + after_s
    deadline = now + timeout_s
    assert stopping().can_finish(now, deadline, expected_s) is taken


def test_later_signals_change_nothing() -> None:
    """The grace counts from the first signal."""
    stop = stopping()
    ends_at = stop.ends_at
    stop.begin(BEGAN_AT + 1, GRACE_S)
    assert (stop.began_at, stop.ends_at) == (BEGAN_AT, ends_at)
