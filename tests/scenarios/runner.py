"""A scenario that is being played: its world, answers and moments."""

import json
import pathlib
import tomllib
from collections.abc import Awaitable, Callable
from typing import Any

import attrs
import httpx
import trio

from chestnutshift.registry import Registry
from tests.scenarios.deployment import Deployment

Arguments = dict[str, Any]
RETRY_INTERVAL_S = 0.1
DIRECTORY = pathlib.Path(__file__).parent


@attrs.frozen
class Answer:
    """What a caller got; status 0 when no whole answer came."""

    status: int
    headers: httpx.Headers
    body: bytes
    ended_at: float
    error: str = ''

    @property
    def whole(self) -> bool:
        """Whether the answer came to its end."""
        return not self.error

    @property
    def document(self) -> dict[str, Any]:
        """The answer's JSON, empty if it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


@attrs.define
class ScenarioRun:
    """The world of a scenario, its nursery, and what it kept by name.

    Names that a scenario gives to request ids and Idempotency-Keys begin
    with its own name, as scenarios follow each other in one deployment.
    """

    deployment: Deployment
    nursery: trio.Nursery
    answers: dict[str, list[Answer]] = attrs.field(factory=dict)
    expected_counts: dict[str, int] = attrs.field(factory=dict)
    moments: dict[str, float] = attrs.field(factory=dict)

    async def wait_for_answers(self, name: str) -> list[Answer]:
        """Return the replies kept by the name, when all have come."""
        while len(self.answers[name]) < self.expected_counts[name]:
            await trio.sleep(RETRY_INTERVAL_S)
        return self.answers[name]


Step = Callable[..., Awaitable[None]]
STEPS: Registry[Step] = Registry('step of a scenario')


async def run_steps(scenario: ScenarioRun, steps: list[Arguments]) -> None:
    """Play the steps one after the other; a failure names its step."""
    for index, step in enumerate(steps):
        arguments = dict(step)
        name = arguments.pop('do')
        try:
            await STEPS.get(name)(scenario, **arguments)
        except AssertionError as failure:
            failure.add_note(f'step {index + 1}: {step}')
            raise


async def run_scenario(deployment: Deployment, name: str) -> None:
    """Play the scenario in the named file of this directory."""
    text = (DIRECTORY / f'{name}.toml').read_text()
    content = tomllib.loads(text)
    async with trio.open_nursery() as nursery:
        scenario = ScenarioRun(deployment, nursery)
        await run_steps(scenario, content['steps'])
        nursery.cancel_scope.cancel()
