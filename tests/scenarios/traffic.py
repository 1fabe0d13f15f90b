"""Send callers' requests, and read the runs that upstreams recorded."""

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
    """One request; a slow reader pauses after each chunk of the answer."""

    method: str
    url: str
    headers: dict[str, str]
    body: bytes
    slow_reader: bool


def make_requests(  # noqa: WPS211 - the keys of a step
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
    """Return count requests to the VMs in turn, or one to every VM for `*`.

    Request ids are `request` and a number; key is the Idempotency-Key.
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
    """Send the request; return its answer, even an incomplete one.

    Fails if the answer contains the key of an account: stand-in upstreams
    echo every header that they receive, so the key was forwarded to one.
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
    """Return the runs that the upstream recorded."""
    url = f'{deployment.upstream_url(name)}/standin/runs'
    answer = await deployment.client.get(url)
    return answer.json()['runs']


async def all_runs(deployment: Deployment) -> list[dict[str, Any]]:
    """Return the runs that all upstreams recorded."""
    runs: list[dict[str, Any]] = []
    for upstream in deployment.demonstration.plan.upstreams:
        runs.extend(await upstream_runs(deployment, upstream['name']))
    return runs


def matches(text: str, pattern: str) -> bool:
    """Return whether the text matches; a final `*` makes the rest a prefix."""
    if pattern.endswith('*'):
        return text.startswith(pattern[:-1])
    return text == pattern


async def count_runs(deployment: Deployment, field: str, pattern: str) -> int:
    """Return the number of runs on all upstreams whose field matches."""
    counts = [
        run['count']
        for run in await all_runs(deployment)
        if matches(run[field].strip('"'), pattern)
    ]
    return sum(counts)
