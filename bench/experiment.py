"""Compare the policies for each decision in the cases of both deployments.

Run `python -m bench.experiment --seed 1`; it prints a table and writes
build/bench/measures.json. The same seed gives the same output.
"""

import json
import logging
import pathlib

import attrs
import fire

from bench.cases import FAULTS, run_case
from bench.entry_vm import Policies
from bench.model import DEPLOYMENTS
from chestnutshift.invariants.registry import ENFORCEMENT

OUTPUT_PATH = pathlib.Path('build/bench/measures.json')
PRESENT = 'present'
COUNTS = ('limited', 'refused', 'failed', 'moved')
MEASURES = ('p50 ms', 'p99 ms', 'headroom', 'drain s', 'worst', 'wrongful')
HEADING = (*MEASURES, 'over', *COUNTS, 'overload')

RUSH_CASES = ('morning_rush', 'lagging_reports', 'lying_reports')
# Alternative policies, each with the cases that compare it to the present one.
BASELINES = {
    'choice=least_reported': (*RUSH_CASES, 'cold_shift'),
    'choice=two_choices': (*RUSH_CASES, 'cold_shift'),
    'slots=none': ('morning_rush', 'nightly_reports', 'lost_region'),
    'retries=naive': ('payment_day', 'lost_region'),
    'admission=static': ('greedy_account', 'platform_outage', 'cut_off_domain'),
    'admission=unlimited-local': ('greedy_account', 'platform_outage'),
}


def run(
    seed: int = 1,
    deployment: str = '',
    case: str = '',
    policy: str = '',
) -> None:
    """Run the cases and print the table.

    Args:
        seed: seed of all random numbers
        deployment: run only this deployment
        case: run only this case
        policy: run only this policy, given as decision=policy
    """
    logging.disable(logging.CRITICAL)
    ENFORCEMENT.raises = True
    names = [deployment] if deployment else list(DEPLOYMENTS)
    results = {name: _run_cases(name, case, policy, seed) for name in names}
    OUTPUT_PATH.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT_PATH.write_text(json.dumps(results, indent=1, sort_keys=True))


def _run_cases(
    deployment: str,
    case: str,
    policy: str,
    seed: int,
) -> dict[str, dict[str, dict]]:
    print(f'\n{deployment}, seed {seed}')
    print(_line('case', 'policy', HEADING))
    results: dict[str, dict[str, dict]] = {}
    for name in [case] if case else FAULTS:
        baselines = [
            baseline for baseline, cases in BASELINES.items() if name in cases
        ]
        policies = [policy] if policy else [PRESENT, *baselines]
        results[name] = {
            policy_name: _run_policy(deployment, name, policy_name, seed)
            for policy_name in policies
        }
    return results


def _run_policy(deployment: str, case: str, policy: str, seed: int) -> dict:
    decision, _, alternative = policy.partition('=')
    changed = {decision: alternative} if alternative else {}
    policies = attrs.evolve(Policies(), **changed)
    tally, fleet = run_case(case, DEPLOYMENTS[deployment], policies, seed)
    measures = attrs.asdict(tally.measures())
    overloaded = sum(upstream.overload for upstream in fleet.upstreams)
    counts = [tally.counts[name] for name in COUNTS]
    cells = [*measures.values(), *counts, overloaded]
    print(_line(case, policy, cells), flush=True)
    return measures


def _line(case: str, policy: str, cells) -> str:
    texts = ['-' if cell is None else str(cell) for cell in cells]
    columns = ' '.join(f'{text:>8}' for text in texts)
    return f'{case:16} {policy:25} {columns}'


if __name__ == '__main__':
    fire.Fire(run)
