"""Run the soak: `python -m tests.soak_edge --seed 1 --seeds 50`."""

import argparse
import pathlib
import signal
import sys
import tempfile

import trio

from tests.soak_edge.play import play

SECONDS = 20.0
VMS = 4


def main() -> int:
    """Play seeds one after the other; return 1 if a promise broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--seed', type=int, default=1)
    parser.add_argument('--seeds', type=int, default=1)
    parser.add_argument('--seconds', type=float, default=SECONDS)
    parser.add_argument('--vms', type=int, default=VMS)
    options = parser.parse_args()
    # A soak that is told to end takes its VMs with it.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed in range(options.seed, options.seed + options.seeds):
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
        outcome = trio.run(play, seed, options.seconds, options.vms, folder)
        sys.stdout.write(f'{outcome.describe()}\n')
        sys.stdout.flush()
        failed += bool(outcome.problems)
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(main())
