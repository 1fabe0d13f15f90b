"""Measure a table of the target size in this process."""

import json
import os
import time
import zlib

from bench.capacity import clients, probes, targets
from bench.capacity.lookup_slopes import (
    make_directory,
    time_answer,
    time_locate,
)
from bench.capacity.start import measure_start
from chestnutshift.lookup.deltas import BlockChange, Delta
from chestnutshift.lookup.prefixes import Family, Prefix
from chestnutshift.lookup.table import ClientTable, load_table

COMPRESSION = 1
DELTAS = 100


def measure_full_table() -> dict[str, float]:
    """Return counts, bytes and seconds by name."""
    resident_before = probes.resident_bytes()
    started = time.process_time()
    table = clients.make_table(targets.BLOCKS)
    build_s = time.process_time() - started
    resident_built = probes.resident_bytes() - resident_before
    peak = probes.peak_resident_bytes() - resident_before
    packed = table.dump()
    measured = {
        'blocks': len(table),
        'build_s': build_s,
        'resident_b': resident_built,
        'peak_b': peak,
        'packed_b': len(packed),
        'compressed_b': len(zlib.compress(packed, COMPRESSION)),
        'load_s': probes.cpu_seconds(lambda: load_table(packed), repeats=3),
        'locate_s': time_locate(table),
        'answer_s': time_answer(make_directory(targets.VMS_PER_DOMAIN, table)),
        'change_s': _time_change(table),
        'start_s': measure_start(packed),
    }
    measured['load_average'] = os.getloadavg()[0]
    measured['allocated_b'] = probes.allocated_bytes(
        lambda: load_table(packed),
    )
    return measured


def _time_change(table: ClientTable) -> float:
    deltas = [
        Delta(
            number,
            number + 1,
            (BlockChange(Prefix(Family.V4, 24, number * 2), 1),),
        )
        for number in range(table.number, table.number + DELTAS)
    ]
    started = time.process_time()
    for delta in deltas:
        table.apply(delta)
    return (time.process_time() - started) / DELTAS


if __name__ == '__main__':
    print(json.dumps(measure_full_table()))  # noqa: T201
