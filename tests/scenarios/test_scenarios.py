"""Run each TOML file of this folder as one test in a shared deployment."""

import trio

from tests.scenarios import steps  # noqa: F401
from tests.scenarios.deployment import SharedDeployment
from tests.scenarios.runner import DIRECTORY, run_scenario

SHARED = SharedDeployment('anadolu')
SCENARIOS = sorted(DIRECTORY.glob('*.toml'))


def setUpModule() -> None:  # noqa: N802
    """Start the deployment."""
    SHARED.start()


def tearDownModule() -> None:  # noqa: N802
    """Stop the deployment."""
    SHARED.stop()


async def _run(name: str) -> None:
    async with SHARED.restored() as deployment:
        await run_scenario(deployment, name)


def _make_test(name: str):
    def test() -> None:
        trio.run(_run, name)

    test.__name__ = f'test_{name}'
    test.__qualname__ = test.__name__
    test.__doc__ = f'Run {name}.toml.'
    return test


globals().update(  # noqa: WPS421 - one test function for each file
    {f'test_{path.stem}': _make_test(path.stem) for path in SCENARIOS},
)
