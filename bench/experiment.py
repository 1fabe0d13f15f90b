"""Compare the policies of each decision in the cases of both deployments.

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
from bench.world import DEPLOYMENTS
from chestnutshift.invariants.registry import ENFORCEMENT

OUTPUT_PATH = pathlib.Path('build/bench/measures.json')
PRESENT = 'present'
COUNTS = ('limited', 'refused', 'failed', 'moved')
MEASURES = ('p50 ms', 'p99 ms', 'headroom', 'drain s', 'worst', 'wrongful')
HEADING = (*MEASURES, 'over', *COUNTS, 'overload')

RUSHES = ('morning_rush', 'lagging_reports', 'lying_reports')
BASELINES = {
    'choice=least_reported': (*RUSHES, 'cold_shift'),
    'choice=two_choices': (*RUSHES, 'cold_shift'),
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
        seed: number from which everything random is drawn
        deployment: only this one
        case: only this one
        policy: only this one, as decision=policy
    """
    logging.disable(logging.CRITICAL)
    ENFORCEMENT.raises = True
    names = [deployment] if deployment else list(DEPLOYMENTS)
    found = {name: _run_cases(name, case, policy, seed) for name in names}
    OUTPUT_PATH.parent.mkdir(parents=True, exist_ok=True)
    OUTPUT_PATH.write_text(json.dumps(found, indent=1, sort_keys=True))


def _run_cases(
    deployment: str,
    case: str,
    policy: str,
    seed: int,
) -> dict[str, dict[str, dict]]:
    print(f'\n{deployment}, seed {seed}')
    print(_line('case', 'policy', HEADING))
    found: dict[str, dict[str, dict]] = {}
    for name in [case] if case else FAULTS:
        baselines = [one for one, cases in BASELINES.items() if name in cases]
        policies = [policy] if policy else [PRESENT, *baselines]
        found[name] = {
            one: _run_one(deployment, name, one, seed) for one in policies
        }
    return found


def _run_one(deployment: str, case: str, policy: str, seed: int) -> dict:
    decision, _, other = policy.partition('=')
    changed = {decision: other} if other else {}
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
