"""Measure all slopes, estimate the target, and update a page's tables."""

import json
import logging
import pathlib
import subprocess  # noqa: S404
import sys

import fire

from bench.capacity import (
    account_slopes,
    configuration_slopes,
    event_slopes,
    fleet_parts,
    http_slopes,
    link_slopes,
    lookup_slopes,
    node_parts,
    relay_parts,
)
from bench.capacity.estimates import Results
from bench.capacity.page import replace_tables
from bench.capacity.slopes import measure_all, write_slopes
from bench.capacity.start import measure_base_memory
from bench.capacity.tables import TABLES

# Importing these modules fills the registries.
REGISTERING_MODULES = (
    account_slopes,
    configuration_slopes,
    event_slopes,
    fleet_parts,
    http_slopes,
    link_slopes,
    lookup_slopes,
    node_parts,
    relay_parts,
)
OUTPUT = 'build/capacity/slopes.json'
FULL_SIZE_MODULE = 'bench.capacity.full_size'


def measure_full_size() -> dict[str, float]:
    """Measure the full-size table in a process of its own."""
    finished = subprocess.run(  # noqa: S603
        [sys.executable, '-m', FULL_SIZE_MODULE],
        check=True,
        capture_output=True,
    )
    return json.loads(finished.stdout)


def measure(page: str = '', output: str = OUTPUT) -> None:
    """Measure everything, write the slopes and update the page's tables."""
    logging.basicConfig(level=logging.INFO, format='%(message)s')
    logging.getLogger('chestnutshift').setLevel(logging.ERROR)
    full = measure_full_size()
    full['base_b'] = measure_base_memory()
    measured = measure_all()
    write_slopes(measured, full, pathlib.Path(output))
    results = Results(measured, full)
    tables = {name: TABLES.get(name)(results) for name in TABLES}
    if not page:
        sys.stdout.write('\n\n'.join(tables.values()))
        return
    path = pathlib.Path(page)
    path.write_text(replace_tables(path.read_text(), tables))


if __name__ == '__main__':
    fire.Fire(measure)
