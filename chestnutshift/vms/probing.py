"""Probes of the upstreams' health and load endpoints."""

import random

import httpx
import trio

from chestnutshift.upstreams.directory import Upstream
from chestnutshift.upstreams.health import LeavingNotice, NoticeSource
from chestnutshift.upstreams.probes import ProbePlan
from chestnutshift.vms.state import VmState

PROBE_TIMEOUT_S = 1.0
PLAN_PERIOD_S = 0.1


async def run_probes(state: VmState, rng: random.Random) -> None:
    """Probe the upstreams of this VM's failure domain; forever."""
    plan = ProbePlan(state.local_upstreams.health, rng)
    domain = state.settings.vm.failure_domain
    async with (
        httpx.AsyncClient(
            verify=False,
            trust_env=False,
            timeout=PROBE_TIMEOUT_S,
        ) as client,
        trio.open_nursery() as nursery,
    ):
        while True:
            names = [
                upstream.name
                for upstream in state.local_upstreams.directory
                if upstream.record.failure_domain == domain
            ]
            for name in plan.due(names, trio.current_time()):
                upstream = state.local_upstreams.directory.get(name)
                nursery.start_soon(_probe, state, plan, client, upstream)
            await trio.sleep(PLAN_PERIOD_S)


async def _probe(
    state: VmState,
    plan: ProbePlan,
    client: httpx.AsyncClient,
    upstream: Upstream,
) -> None:
    requested_at = trio.current_time()
    try:
        health = (await _get_document(client, upstream, '/health')) or {}
        load = (await _get_document(client, upstream, '/load')) or {}
    except (httpx.HTTPError, ValueError):
        health, load = {}, {}
    finally:
        plan.record_end(upstream.name, trio.current_time())
    _record_health(state, upstream.name, health)
    slots = load.get('slots')
    if slots and state.local_upstreams.pool is not None:
        utilization = (load.get('in_flight', 0) + load.get('queued', 0)) / slots
        state.local_upstreams.pool.record_load(
            upstream.name, utilization, requested_at
        )


async def _get_document(
    client: httpx.AsyncClient,
    upstream: Upstream,
    path: str,
) -> dict:
    answer = await client.get(f'http://{upstream.record.address}{path}')
    document = answer.json()
    return document if isinstance(document, dict) else {}


def _record_health(state: VmState, name: str, health: dict) -> None:
    if not health or state.local_upstreams.pool is None:
        return
    now = trio.current_time()
    table = state.local_upstreams.health
    process = str(health.get('process', ''))
    if health.get('leaving'):
        notice = LeavingNotice(name, NoticeSource.HEALTH, process)
        change = table.record_leaving(notice, now)
    else:
        change = table.record_process(name, process, now)
    state.local_upstreams.pool.log_transitions([change])
