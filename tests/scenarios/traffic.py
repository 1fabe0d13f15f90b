"""Requests of callers, and what the stand-in upstreams say of them."""

import itertools
from typing import Any

import attrs
import httpx
import trio

from tests.scenarios.play import Reply
from tests.scenarios.world import World

EVERY_VM = '*'
SLOW_PAUSE_S = 0.05


@attrs.frozen
class Request:
    """One request; a slow reader takes a chunk and pauses."""

    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    slow_reader: bool


def make_requests(  # noqa: WPS211 - the entries of a step
    world: World,
    *,
    vms: list[str],
    path: str,
    request: str,
    method: str = 'GET',
    account: str = '',
    key: str = '',
    headers: dict[str, str] | None = None,
    body: str = '',
    count: int = 1,
    slow_reader: bool = False,
) -> list[Request]:
    """Return count requests, at each VM in turn, or at every VM for `*`.

    Their ids are the request's name and a number; key is an Idempotency-Key.
    """
    every = [vm['name'] for vm in world.demonstration.plan.vms]
    chosen = every if vms == [EVERY_VM] else vms
    common = dict(headers or {})
    if account:
        common['Authorization'] = f'Bearer {world.keys[account]}'
    if key:
        common['Idempotency-Key'] = key
    turns = itertools.cycle(chosen)
    total = len(every) if vms == [EVERY_VM] else count
    return [
        Request(
            method,
            f'{world.vm_url(next(turns))}{path}',
            {**common, 'X-Request-Id': f'{request}-{number}'},
            body.encode(),
            slow_reader,
        )
        for number in range(total)
    ]


async def send(world: World, request: Request) -> Reply:
    """Send the request; an answer that breaks off is kept as such.

    An answer that holds a key of any account fails the scenario, as the
    stand-in upstreams answer with every header they got.
    """
    body = bytearray()
    headers, status, error = httpx.Headers(), 0, ''
    try:
        async with world.client.stream(
            request.method,
            request.url,
            headers=request.headers,
            content=request.body,
        ) as answer:
            headers, status = answer.headers, answer.status_code
            async for chunk in answer.aiter_raw():
                body += chunk
                if request.slow_reader:
                    await trio.sleep(SLOW_PAUSE_S)
    except httpx.HTTPError as failure:
        error = repr(failure)
    for key in world.keys.values():
        assert key.encode() not in body, 'an upstream saw a key'
    return Reply(status, headers, bytes(body), trio.current_time(), error)


async def upstream_runs(world: World, name: str) -> list[dict[str, Any]]:
    """Return what the upstream says it ran."""
    url = f'{world.upstream_url(name)}/standin/runs'
    answer = await world.client.get(url)
    return answer.json()['runs']


async def all_runs(world: World) -> list[dict[str, Any]]:
    """Return what all upstreams say they ran."""
    found: list[dict[str, Any]] = []
    for upstream in world.demonstration.plan.upstreams:
        found.extend(await upstream_runs(world, upstream['name']))
    return found


def matches(text: str, pattern: str) -> bool:
    """Return whether the text is the pattern, or begins so before its `*`."""
    if pattern.endswith('*'):
        return text.startswith(pattern[:-1])
    return text == pattern


async def count_runs(world: World, field: str, pattern: str) -> int:
    """Return how many runs over all upstreams match in the field."""
    counts = [
        run['count']
        for run in await all_runs(world)
        if matches(run[field].strip('"'), pattern)
    ]
    return sum(counts)
