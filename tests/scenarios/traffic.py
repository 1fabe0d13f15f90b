"""Requests of callers, and what the stand-in upstreams say of them."""

import itertools
from typing import Any

import attrs
import httpx
import trio

from tests.scenarios.deployment import Deployment
from tests.scenarios.runner import Answer

EVERY_VM = '*'
SLOW_READER_PAUSE_S = 0.05


@attrs.frozen
class Request:
    """One request; a slow reader takes a chunk and pauses."""

    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    slow_reader: bool


def make_requests(  # noqa: WPS211 - the entries of a step
    deployment: Deployment,
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
    all_names = [vm['name'] for vm in deployment.demonstration.plan.vms]
    chosen_names = all_names if vms == [EVERY_VM] else vms
    common_headers = dict(headers or {})
    if account:
        common_headers['Authorization'] = f'Bearer {deployment.keys[account]}'
    if key:
        common_headers['Idempotency-Key'] = key
    vm_names = itertools.cycle(chosen_names)
    total = len(all_names) if vms == [EVERY_VM] else count
    return [
        Request(
            method,
            f'{deployment.vm_url(next(vm_names))}{path}',
            {**common_headers, 'X-Request-Id': f'{request}-{number}'},
            body.encode(),
            slow_reader,
        )
        for number in range(total)
    ]


async def send(deployment: Deployment, request: Request) -> Answer:
    """Send the request; an answer that breaks off is kept as such.

    An answer that holds a key of any account fails the scenario, as the
    stand-in upstreams answer with every header they got.
    """
    body = bytearray()
    headers, status, error = httpx.Headers(), 0, ''
    try:
        async with deployment.client.stream(
            request.method,
            request.url,
            headers=request.headers,
            content=request.body,
        ) as answer:
            headers, status = answer.headers, answer.status_code
            async for chunk in answer.aiter_raw():
                body += chunk
                if request.slow_reader:
                    await trio.sleep(SLOW_READER_PAUSE_S)
    except httpx.HTTPError as failure:
        error = repr(failure)
    for key in deployment.keys.values():
        assert key.encode() not in body, 'an upstream saw a key'
    return Answer(status, headers, bytes(body), trio.current_time(), error)


async def upstream_runs(
    deployment: Deployment, name: str
) -> list[dict[str, Any]]:
    """Return what the upstream says it ran."""
    url = f'{deployment.upstream_url(name)}/standin/runs'
    answer = await deployment.client.get(url)
    return answer.json()['runs']


async def all_runs(deployment: Deployment) -> list[dict[str, Any]]:
    """Return what all upstreams say they ran."""
    runs: list[dict[str, Any]] = []
    for upstream in deployment.demonstration.plan.upstreams:
        runs.extend(await upstream_runs(deployment, upstream['name']))
    return runs


def matches(text: str, pattern: str) -> bool:
    """Return whether the text is the pattern, or begins so before its `*`."""
    if pattern.endswith('*'):
        return text.startswith(pattern[:-1])
    return text == pattern


async def count_runs(deployment: Deployment, field: str, pattern: str) -> int:
    """Return how many runs over all upstreams match in the field."""
    counts = [
        run['count']
        for run in await all_runs(deployment)
        if matches(run[field].strip('"'), pattern)
    ]
    return sum(counts)
