"""A short run of the soak with a fixed seed, and seeds that once failed."""

import pathlib
import tempfile

from trio.testing import trio_test

from tests.soak_edge.play import play

SEED = 1
SECONDS = 6.0
VMS = 3


@trio_test
async def test_short_soak() -> None:
    """Real processes, faults from outside: no promise breaks."""
    with tempfile.TemporaryDirectory() as folder:
        outcome = await play(SEED, SECONDS, VMS, pathlib.Path(folder))
    assert not outcome.problems, outcome.describe()
    assert outcome.statuses['200']
