"""Random runs of VMs, repeats and faults: nothing ever runs twice."""

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

# Under hypothesis, trio schedules its tasks in a repeatable order.
seeded = given(st.integers(min_value=0, max_value=2**32))
repeatable = settings(
    derandomize=True,
    deadline=None,
    database=None,
    max_examples=40,
)
OPERATIONS = 30


def run(seed: int, faults: Faults) -> Simulation:
    """Play one run under a clock that skips the waiting."""
    clock = MockClock(autojump_threshold=0)
    with enforced():
        return trio.run(run_simulation, seed, faults, OPERATIONS, clock=clock)


@repeatable
@seeded
def test_nothing_runs_twice_under_all_faults(seed):
    """Lost answers, late writes, freezes, zombies and lost upstreams."""
    run(seed, Faults())


@repeatable
@seeded
def test_unknown_only_where_it_must_be(seed):
    """Faults of the store alone leave no outcome unknown."""
    faults = Faults(upstream=0, freeze=0, replacement=False)
    simulation = run(seed, faults)
    assert count_answers(simulation, OutcomeUnknown) == 0
    for key in simulation.keys:
        last = simulation.answers[f'{key}/{FINAL_ATTEMPT}']
        if not isinstance(last, TicketElsewhereError):
            assert isinstance(last, (Outcome, Replay)), last
