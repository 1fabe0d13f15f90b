"""Tests that the experiment is repeatable and keeps the invariants."""

from collections import Counter

import attrs

from bench.cases import FAULTS, run_case
from bench.entry_vm import Policies
from bench.model import DEPLOYMENTS
from bench.simulation import Tally
from tests.enforcement import enforced

# Faults start after 2 s.
DURATION_S = 2.2


def measure(case: str, seed: int) -> dict:
    """Run the first seconds of a case; a broken invariant raises."""
    with enforced():
        tally, _ = run_case(
            case,
            DEPLOYMENTS['salal-row'],
            Policies(admission='unlimited-local'),
            seed,
            duration_s=DURATION_S,
        )
    return attrs.asdict(tally.measures())


def test_same_seed_same_measures():
    """The same seed gives the same measures, another seed others."""
    first, again, other = (measure('lost_region', seed) for seed in (1, 1, 2))
    assert first == again
    assert first != other


def test_no_case_breaks_an_invariant():
    """Every case runs past its fault with the invariants enforced."""
    for case in FAULTS:
        assert measure(case, 3)['headroom'] >= 0


def test_refusals_above_the_rate_are_not_wrongful():
    """Refusals count as wrongful only while the account is below its rate."""
    tally = Tally(
        latencies_s=[1],
        offered=Counter(greedy=10, modest=10),
        refused=Counter(greedy=8, modest=1),
        served=Counter(greedy=10, modest=9),
    )
    measures = tally.measures()
    assert round(20 * measures.wrongful_refusal_rate) == 1
    assert round(10 * measures.worst_account_share) == 9
