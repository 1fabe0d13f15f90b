"""The experiment gives the same for the same seed, within the invariants."""

import attrs

from bench.cases import FAULTS, run_case
from bench.entry_vm import Policies
from bench.world import DEPLOYMENTS
from tests.enforcement import enforced

SHORT_S = 2.2


def measure(case: str, seed: int) -> dict:
    """Run the beginning of a case with invariants enforced."""
    with enforced():
        tally, _ = run_case(
            case,
            DEPLOYMENTS['salal-row'],
            Policies(admission='unlimited-local'),
            seed,
            duration_s=SHORT_S,
        )
    return attrs.asdict(tally.measures())


def test_same_seed_same_measures():
    """A seed settles the run; another one gives another run."""
    first, again, other = (measure('lost_region', seed) for seed in (1, 1, 2))
    assert first == again
    assert first != other


def test_no_case_breaks_an_invariant():
    """Every case begins and runs with invariants that raise."""
    for case in FAULTS:
        assert measure(case, 3)['headroom'] >= 0
