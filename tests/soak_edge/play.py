"""Play one seed: load and faults, then peace, then the checks."""

import pathlib
import random
from collections import Counter

import attrs
import trio

from tests.soak_edge.callers import Callers
from tests.soak_edge.faults import FAULTS
from tests.soak_edge.promises import broken_promises
from tests.soak_edge.world import SoakWorld

CALLERS = 8
# Faults that may be under way at the same time.
FAULT_SERIES = 2
FAULT_PAUSE_S = (0.1, 1.5)
START_S = 30.0
# From the end of the faults until every VM serves.
RECOVERY_S = 30.0
# Requests under way when the callers stop end within their deadline.
QUIET_S = 4.5


@attrs.define
class Outcome:
    """What a seed gave; folder holds the VMs' logs."""

    seed: int
    folder: pathlib.Path
    problems: list[str] = attrs.field(factory=list)
    faults: Counter[str] = attrs.field(factory=Counter)
    statuses: Counter[str] = attrs.field(factory=Counter)
    runs: int = 0

    def describe(self) -> str:
        """Return the outcome as lines of text."""
        verdict = 'BROKEN' if self.problems else 'held'
        lines = [
            f'seed {self.seed}: {verdict}; answers {dict(self.statuses)}; '
            f'{self.runs} runs; faults {dict(self.faults)}',
        ]
        if self.problems:
            lines += [f'  {problem}' for problem in self.problems]
            lines.append(f'  logs in {self.folder}')
        return '\n'.join(lines)


async def play(
    seed: int,
    seconds: float,
    vms: int,
    folder: pathlib.Path,
) -> Outcome:
    """Play one seed for that many seconds of faults."""
    world = SoakWorld(random.Random(seed), folder)
    outcome = Outcome(seed, folder)
    callers = Callers(world)
    try:
        async with trio.open_nursery() as nursery:
            await world.build(vms, nursery)
            await _until_served(
                world, callers, START_S, outcome, 'at the start'
            )
            await _break(world, callers, seconds, outcome)
            await world.heal()
            await _until_served(
                world, callers, RECOVERY_S, outcome, 'after the faults'
            )
            await trio.sleep(QUIET_S)
            nursery.cancel_scope.cancel()
    finally:
        await world.end()
    outcome.problems += broken_promises(world.sent, world.runs, world.accounts)
    outcome.statuses.update(str(one.status) for one in world.sent)
    outcome.runs = len(world.runs)
    return outcome


async def _break(
    world: SoakWorld,
    callers: Callers,
    seconds: float,
    outcome: Outcome,
) -> None:
    """Send requests and inject faults until the time is over."""
    with trio.move_on_after(seconds):
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(callers.run)
            for _ in range(FAULT_SERIES):
                nursery.start_soon(_inject, world, outcome)


async def _inject(world: SoakWorld, outcome: Outcome) -> None:
    while True:
        await trio.sleep(world.rng.uniform(*FAULT_PAUSE_S))
        name = world.rng.choice(list(FAULTS))
        outcome.faults[name] += 1
        await FAULTS.get(name)(world)


async def _until_served(
    world: SoakWorld,
    callers: Callers,
    patience_s: float,
    outcome: Outcome,
    when: str,
) -> None:
    """Wait until every VM serves, or note those that do not."""
    waiting = {vm.name for vm in world.vms}

    async def wait_for(name: str, url: str) -> None:
        await callers.served_by(url)
        waiting.discard(name)

    with trio.move_on_after(patience_s):
        async with trio.open_nursery() as nursery:
            for vm in world.vms:
                nursery.start_soon(wait_for, vm.name, vm.callers)
    if waiting:
        outcome.problems.append(
            f'{", ".join(sorted(waiting))} served nothing {when} '
            f'for {patience_s:.0f} s',
        )
