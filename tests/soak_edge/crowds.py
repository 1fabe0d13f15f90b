"""Faults of the soak that callers cause: by the hundred, slow, or early."""

from collections.abc import Awaitable, Callable, Sequence
from contextlib import suppress

import trio

from tests.soak_edge.connections import (
    BROKEN,
    CALLERS_PORT,
    DEADLINE_MS,
    Connection,
    connected,
    staying,
)
from tests.soak_edge.deployment import SoakDeployment
from tests.soak_edge.faults import FAULT_DURATION_S, FAULTS
from tests.soak_edge.vms import SoakVm

CROWD = (100, 400)
UPLOAD = bytes(1_000_000)
STALLED_B = 900_000
UPLOAD_DEADLINE_MS = 12_000
SMALL_WINDOW_B = 32_768
# Callers, readiness, directory, metrics, and what VMs pass on to each other.
PORTS = (CALLERS_PORT, 8680, 8684, 7741, 7742)
BEGINNINGS = (b'', b'G', b'GET /a/1 HTTP/1.1\r\nhost: one.example\r\n', b'\0')
PIPELINES = (5, 30)
PIPELINED = (2, 40)
STAY_PROBABILITY = 0.5
SMALL_REQUESTS = (('/a/1', b''), ('/b/1', b'early'))
MS_PER_S = 1000


@FAULTS.register('stalled_uploads')
async def stall_uploads(deployment: SoakDeployment) -> None:
    """Have callers stop in an upload; then all leave, or go on."""
    goes_on = deployment.rng.random() < STAY_PROBABILITY
    stall_s = deployment.rng.uniform(*FAULT_DURATION_S)

    async def stall(connection: Connection) -> None:
        request, head = connection.draw('/u/1', UPLOAD, UPLOAD_DEADLINE_MS)
        is_stalled = False
        resumes = False
        try:
            # A VM may also not read as much.
            with trio.move_on_after(stall_s):
                await connection.stream.send_all(head + UPLOAD[:STALLED_B])
                is_stalled = True
                await trio.sleep_forever()
            resumes = is_stalled and goes_on
        finally:
            if not resumes:
                connection.record(request)
        if resumes:
            await connection.finish(
                request, UPLOAD[STALLED_B:], UPLOAD_DEADLINE_MS
            )

    await crowd(deployment, stall)


@FAULTS.register('slow_readers')
async def read_slowly(deployment: SoakDeployment) -> None:
    """Have callers not read large answers; then all leave, or read on."""
    goes_on = deployment.rng.random() < STAY_PROBABILITY
    pause_s = deployment.rng.uniform(*FAULT_DURATION_S)

    async def read(connection: Connection) -> None:
        request, head = connection.draw('/a/large')
        is_open = False
        try:
            await connection.stream.send_all(head)
            await trio.sleep(pause_s)
            is_open = goes_on
        finally:
            if not is_open:
                connection.record(request)
        if is_open:
            await connection.finish(request)

    await crowd(deployment, read, window_b=SMALL_WINDOW_B)


@FAULTS.register('idle_callers')
async def stay_idle(deployment: SoakDeployment) -> None:
    """Have callers connect to a port and send nothing, or half a head."""
    beginning = deployment.rng.choice(BEGINNINGS)
    stay_s = deployment.rng.uniform(*FAULT_DURATION_S)

    async def stay(connection: Connection) -> None:
        with suppress(*BROKEN):
            await connection.stream.send_all(beginning)
            await trio.sleep(stay_s)

    await crowd(deployment, stay, deployment.rng.choice(PORTS))


@FAULTS.register('pipelined')
async def send_early(deployment: SoakDeployment) -> None:
    """Have callers send many requests before they read an answer."""
    rng = deployment.rng

    async def send(connection: Connection) -> None:
        await send_ahead(
            connection,
            [
                (*rng.choice(SMALL_REQUESTS), DEADLINE_MS)
                for _ in range(rng.randint(*PIPELINED))
            ],
        )

    await crowd(deployment, send, count=rng.randint(*PIPELINES))


async def send_ahead(
    connection: Connection, drawn: Sequence[tuple[str, bytes, int]]
) -> bool:
    """Send requests at once; return whether the connection is kept.

    drawn are the path, body and deadline in ms of each.
    """
    requests, content = [], b''
    for path, body, deadline_ms in drawn:
        request, head = connection.draw(path, body, deadline_ms)
        requests.append(request)
        content += head + body
    is_kept = False
    with staying(connection.deployment):
        try:
            while requests:
                request = requests.pop(0)
                limit_ms = round(request.limit_s * MS_PER_S)
                is_kept = await connection.finish(request, content, limit_ms)
                content = b''
        finally:
            # They were sent with the first one, whatever became of it.
            for request in requests:
                connection.record(request)
    return is_kept


async def keep_using(deployment: SoakDeployment, vm: SoakVm) -> None:
    """Send on each connection to a VM until that ends, until cancelled."""
    while True:
        with suppress(trio.TooSlowError, *BROKEN):
            async with connected(deployment, vm) as connection:
                path, body = '/a/1', b''
                while await connection.exchange(path, body):
                    path, body = deployment.rng.choice(
                        (('/a/1', b''), ('/b/1', b'kept'))
                    )
        await trio.sleep(deployment.rng.uniform(0, 0.1))


async def crowd(
    deployment: SoakDeployment,
    act: Callable[[Connection], Awaitable[None]],
    port: int = CALLERS_PORT,
    *,
    count: int = 0,
    window_b: int = 0,
) -> None:
    """Have many callers act at one VM, each on its own connection."""
    vm = deployment.rng.choice(deployment.vms)

    async def call() -> None:
        with suppress(trio.TooSlowError, *BROKEN):
            async with connected(deployment, vm, port, window_b) as connection:
                await act(connection)

    async with trio.open_nursery() as nursery:
        for _ in range(count or deployment.rng.randint(*CROWD)):
            nursery.start_soon(call)
