"""Run the steps of a scenario and keep the state that they share."""

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
    """An answer as its caller received it; status 0 if no headers came."""

    status: int
    headers: httpx.Headers
    body: bytes
    ended_at: float
    error: str = ''

    @property
    def whole(self) -> bool:
        """Whether the answer was received completely."""
        return not self.error

    @property
    def document(self) -> dict[str, Any]:
        """The answer's JSON document; empty if the body is not JSON."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}


@attrs.define
class ScenarioRun:
    """State of one scenario: its deployment, kept answers and moments.

    Scenarios run one after the other in one deployment, so each prefixes its
    request ids and Idempotency-Keys with its own name.
    """

    deployment: Deployment
    nursery: trio.Nursery
    answers: dict[str, list[Answer]] = attrs.field(factory=dict)
    expected_counts: dict[str, int] = attrs.field(factory=dict)
    moments: dict[str, float] = attrs.field(factory=dict)

    async def wait_for_answers(self, name: str) -> list[Answer]:
        """Wait for all answers that are kept under the name; return them."""
        while len(self.answers[name]) < self.expected_counts[name]:
            await trio.sleep(RETRY_INTERVAL_S)
        return self.answers[name]


Step = Callable[..., Awaitable[None]]
STEPS: Registry[Step] = Registry('step of a scenario')


async def run_steps(scenario: ScenarioRun, steps: list[Arguments]) -> None:
    """Run the steps in order; add the step as a note to a failed assertion."""
    for index, step in enumerate(steps):
        arguments = dict(step)
        name = arguments.pop('do')
        try:
            await STEPS.get(name)(scenario, **arguments)
        except AssertionError as failure:
            failure.add_note(f'step {index + 1}: {step}')
            raise


async def run_scenario(deployment: Deployment, name: str) -> None:
    """Run the scenario of the named TOML file in this directory."""
    text = (DIRECTORY / f'{name}.toml').read_text()
    content = tomllib.loads(text)
    async with trio.open_nursery() as nursery:
        scenario = ScenarioRun(deployment, nursery)
        await run_steps(scenario, content['steps'])
        nursery.cancel_scope.cancel()
