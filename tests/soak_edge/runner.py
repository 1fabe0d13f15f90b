"""Run one seed: load with faults, then recovery, then the checks."""

import pathlib
import random
import time
from collections import Counter
from collections.abc import Sequence

import attrs
import httpx
import trio

from tests.links import LinkFault
from tests.soak_edge import planned_work, process_faults  # noqa: F401
from tests.soak_edge.callers import Callers
from tests.soak_edge.deployment import SoakDeployment, impairing
from tests.soak_edge.faults import (
    CUT_FAULTS,
    FAULTS,
    LOSSLESS,
    NOT_MENDED,
    draw_vms,
)
from tests.soak_edge.guarantees import (
    CutOff,
    find_broken_guarantees,
    find_broken_wishes,
    find_crash_repeats,
    find_dropped_requests,
    find_excess_repeats,
    find_exceeded_limits,
    find_lost_requests,
    find_older_refusals,
    find_unequal_service,
)
from tests.soak_edge.losses import (
    find_lost_beside_tables,
    find_lost_counts,
    find_unanswered,
    read_records,
)
from tests.soak_edge.vms import MEMORY_UNIT_B

CALLER_COUNT = 8
CALLERS_PER_VM = 3
# Longest time that a request held up by a cut lasts after it.
SETTLE_S = 3.0
# How long upstreams ask for pauses beside nothing else, and the pauses.
WISHES_S = 9.0
PAUSE_S = (1.5, 4.0)
# How long VMs are cut off beside nothing else.
CUT_OFF_S = 9.0
# Maximum number of faults at the same time.
CONCURRENT_FAULTS = 2
FAULT_INTERVAL_S = (0.1, 1.5)
START_TIMEOUT_S = 30.0
# From the end of all faults until every VM serves requests.
RECOVERY_TIMEOUT_S = 30.0
# Requests under way when the callers stop end within their deadline.
DRAIN_S = 4.5
MEASURE_S = 0.1
# How long a crashing request is repeated.
CRASHING_S = 9.0


@attrs.define
class Outcome:
    """Result of one seed; folder contains the VMs' logs."""

    seed: int
    folder: pathlib.Path
    problems: list[str] = attrs.field(factory=list)
    faults: Counter[str] = attrs.field(factory=Counter)
    statuses: Counter[str] = attrs.field(factory=Counter)
    runs: int = 0
    peak_mb: int = 0

    def describe(self) -> str:
        """Return the outcome as lines of text."""
        verdict = 'BROKEN' if self.problems else 'held'
        lines = [
            f'seed {self.seed}: {verdict}; answers {dict(self.statuses)}; '
            f'{self.runs} runs; peak {self.peak_mb} MB; '
            f'faults {dict(self.faults)}',
        ]
        if self.problems:
            lines += [f'  {problem}' for problem in self.problems]
            lines.append(f'  logs in {self.folder}')
        return '\n'.join(lines)


async def run_seed(
    seed: int,
    duration_s: float,
    vm_count: int,
    folder: pathlib.Path,
    faults: Sequence[str] = (),
) -> Outcome:
    """Run one seed, with load and faults for duration_s.

    faults are the names of those to inject, all that are mended by default.

    Odd seeds cut VMs off from upstreams, even ones send a crashing request. If
    all faults are lossless, they do not: then every request must be answered.
    """
    is_lossless = bool(faults) and LOSSLESS.issuperset(faults)
    deployment = SoakDeployment(
        random.Random(seed),
        folder,
        has_own_links=bool(seed % 2),
        has_staying_callers=is_lossless,
    )
    outcome = Outcome(seed, folder)
    callers = Callers(deployment)
    try:
        async with trio.open_nursery() as nursery:
            await deployment.start(vm_count, nursery)
            nursery.start_soon(_measure, deployment)
            await _wait_until_served(
                deployment, callers, START_TIMEOUT_S, outcome, 'at the start'
            )
            await _run_load_and_faults(
                deployment, callers, duration_s, outcome, faults
            )
            await deployment.end_faults()
            await _wait_until_served(
                deployment,
                callers,
                RECOVERY_TIMEOUT_S,
                outcome,
                'after the faults',
            )
            if not is_lossless:
                await _run_last_fault(deployment, callers, outcome)
            await trio.sleep(DRAIN_S)
            if is_lossless:
                outcome.problems += await _find_lost_counts(deployment)
            nursery.cancel_scope.cancel()
    finally:
        deployment.stop()
    outcome.problems += find_broken_guarantees(
        deployment.sent_requests, deployment.runs, deployment.issued_keys
    )
    outcome.problems += find_exceeded_limits(
        deployment.runs, deployment.named_limits
    )
    outcome.problems += find_crash_repeats(
        deployment.crash_arrivals, deployment.crash_ends
    )
    arrivals = [
        arrival
        for upstream in deployment.upstreams.values()
        for arrival in upstream.arrivals
    ]
    outcome.problems += find_excess_repeats(arrivals, deployment.sent_requests)
    outcome.problems += find_older_refusals(
        deployment.sent_requests, deployment.issued_keys
    )
    records = read_records(deployment.upstreams.values())
    vm_events = {vm.callers_url: vm.events for vm in deployment.vms}
    outcome.problems += find_lost_requests(
        deployment.sent_requests, records.worked_until, vm_events
    )
    outcome.problems += find_dropped_requests(
        deployment.sent_requests, records.worked_until, vm_events
    )
    outcome.problems += find_lost_beside_tables(
        deployment.sent_requests,
        records,
        vm_events,
        deployment.tables.changes,
        deployment.impairments,
    )
    if is_lossless:
        outcome.problems += find_unanswered(deployment.sent_requests)
    for vm in deployment.vms:
        outcome.problems += [*vm.own_ends, *vm.excesses]
        faults = vm.faults()
        if faults:
            outcome.problems.append(
                f'{vm.name} logged {len(faults)} faults: {faults[0]}'
            )
    outcome.statuses.update(
        str(request.status) for request in deployment.sent_requests
    )
    outcome.runs = len(deployment.runs)
    most_b = max(vm.most_b for vm in deployment.vms)
    outcome.peak_mb = most_b // MEMORY_UNIT_B
    return outcome


async def _measure(deployment: SoakDeployment) -> None:
    """Record the memory of the VMs until cancelled."""
    while True:
        for vm in deployment.vms:
            vm.measure()
        await trio.sleep(MEASURE_S)


async def _run_load_and_faults(
    deployment: SoakDeployment,
    callers: Callers,
    duration_s: float,
    outcome: Outcome,
    faults: Sequence[str],
) -> None:
    """Send requests and inject faults until the time is over."""
    names = faults or [name for name in FAULTS if name not in NOT_MENDED]
    with trio.move_on_after(duration_s):
        async with trio.open_nursery() as nursery:
            for _ in range(CALLER_COUNT):
                nursery.start_soon(callers.run)
            for number in range(CONCURRENT_FAULTS):
                # Few are played beside each other all the time.
                chosen = names
                if len(names) <= CONCURRENT_FAULTS:
                    chosen = [names[number % len(names)]]
                nursery.start_soon(_inject, deployment, outcome, chosen)


async def _run_last_fault(
    deployment: SoakDeployment, callers: Callers, outcome: Outcome
) -> None:
    """Cut VMs off and disregard wishes, or crash, beside nothing else."""
    if deployment.has_own_links:
        cut = await _run_cut_off(deployment, callers)
        outcome.problems += find_unequal_service(deployment.sent_requests, cut)
        outcome.problems += await _run_wishes(deployment, callers)
        return
    # Every other of these seeds, midway through its answer.
    for upstream in deployment.upstreams.values():
        upstream.crashes_midway = outcome.seed % 4 == 0
    await _run_crashing_request(callers)


async def _find_lost_counts(deployment: SoakDeployment) -> list[str]:
    """Return lines for what VMs count and log as lost, while they run."""
    problems = []
    async with httpx.AsyncClient() as client:
        for vm in deployment.vms:
            answer = await client.get(vm.metrics_url)
            problems += find_lost_counts(vm.name, answer.text, vm.log_text)
    return problems


async def _run_cut_off(deployment: SoakDeployment, callers: Callers) -> CutOff:
    """Cut some VMs off from upstreams, while nothing else is disturbed."""
    vms = draw_vms(deployment, len(deployment.vms) - 1)
    fault = deployment.rng.choice(CUT_FAULTS)
    began_at = time.monotonic()
    deployment.cut_off(vms, fault)
    with impairing(deployment, vms), trio.move_on_after(CUT_OFF_S):
        async with trio.open_nursery() as nursery:
            for vm in deployment.vms * CALLERS_PER_VM:
                nursery.start_soon(callers.send_steadily, vm)
    ended_at = time.monotonic()
    deployment.cut_off(vms, LinkFault.NONE)
    urls = frozenset(vm.callers_url for vm in vms)
    return CutOff(urls, fault.value, began_at, ended_at)


async def _run_wishes(
    deployment: SoakDeployment, callers: Callers
) -> list[str]:
    """Have upstreams ask for pauses, and one leave; return what was broken.

    What the links held up in the cut before arrives first: a VM that has given
    such a request up never gets its answer.
    """
    await trio.sleep(SETTLE_S)
    leaving, *others = deployment.upstreams.values()
    began_at = time.monotonic()
    for upstream in deployment.upstreams.values():
        # As the header has it.
        upstream.pause_s = round(deployment.rng.uniform(*PAUSE_S), 1)
    leaving.is_leaving = True
    with trio.move_on_after(WISHES_S):
        async with trio.open_nursery() as nursery:
            for vm in deployment.vms * CALLERS_PER_VM:
                nursery.start_soon(callers.send_steadily, vm)
    problems = [
        problem
        for upstream in (leaving, *others)
        for problem in find_broken_wishes(
            [arrival for arrival in upstream.arrivals if arrival.at > began_at],
            [told for told in upstream.told if told.at > began_at],
        )
    ]
    for upstream in others:
        upstream.pause_s = 0
    return problems


async def _run_crashing_request(callers: Callers) -> None:
    """Repeat a crashing request beside others, while no VM is disturbed."""
    with trio.move_on_after(CRASHING_S):
        async with trio.open_nursery() as nursery:
            for _ in range(CALLER_COUNT):
                nursery.start_soon(callers.run)
            nursery.start_soon(callers.repeat_crashing)


async def _inject(
    deployment: SoakDeployment, outcome: Outcome, names: Sequence[str]
) -> None:
    while True:
        await trio.sleep(deployment.rng.uniform(*FAULT_INTERVAL_S))
        name = deployment.rng.choice(names)
        outcome.faults[name] += 1
        await FAULTS.get(name)(deployment)


async def _wait_until_served(
    deployment: SoakDeployment,
    callers: Callers,
    timeout_s: float,
    outcome: Outcome,
    when: str,
) -> None:
    """Wait until every VM serves; report those that do not in time."""
    waiting = {vm.name for vm in deployment.vms}

    async def wait_for(name: str, url: str) -> None:
        await callers.wait_until_served(url)
        waiting.discard(name)

    with trio.move_on_after(timeout_s):
        async with trio.open_nursery() as nursery:
            for vm in deployment.vms:
                nursery.start_soon(wait_for, vm.name, vm.callers_url)
    if waiting:
        outcome.problems.append(
            f'{", ".join(sorted(waiting))} served nothing {when} '
            f'for {timeout_s:.0f} s',
        )
