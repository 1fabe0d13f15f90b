"""Randomized simulations that check that no operation runs twice."""

import trio
from hypothesis import given, settings
from hypothesis import strategies as st
from trio.testing import MockClock

from chestnutshift.idempotency.exceptions import TicketElsewhereError
from chestnutshift.idempotency.outcomes import Outcome
from chestnutshift.idempotency.verdicts import OutcomeUnknown, Replay
from tests.idempotency import enforced
from tests.idempotency.simulation import (
    FINAL_ATTEMPT,
    Faults,
    Simulation,
    count_answers,
    run_simulation,
)

# Under hypothesis, trio schedules its tasks in a deterministic order.
seeded = given(st.integers(min_value=0, max_value=2**32))
deterministic = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=40,
)
OPERATIONS = 30


def run(seed: int, faults: Faults) -> Simulation:
    """Run one simulation on a mock clock that skips idle time."""
    clock = MockClock(autojump_threshold=0)
    with enforced():
        return trio.run(run_simulation, seed, faults, OPERATIONS, clock=clock)


@deterministic
@seeded
def test_nothing_runs_twice_under_all_faults(seed):
    """No operation runs twice under lost answers, late writes and freezes.

    Replaced VMs may keep running, and upstreams fail in every way.
    """
    run(seed, Faults())


@deterministic
@seeded
def test_store_faults_leave_no_outcome_unknown(seed):
    """With faults of the store alone, every outcome is known."""
    faults = Faults(upstream=0, freeze=0, replacement=False)
    simulation = run(seed, faults)
    assert count_answers(simulation, OutcomeUnknown) == 0
    for key in simulation.keys:
        last = simulation.answers[f'{key}/{FINAL_ATTEMPT}']
        if not isinstance(last, TicketElsewhereError):
            assert isinstance(last, (Outcome, Replay)), last
