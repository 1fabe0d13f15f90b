"""Compare this forwarder with a naive one and with direct requests.

Run as `python -m bench.forwarder`. The upstream and the forwarders run in
processes of their own, the callers in this one. The cases alternate within a
run.
"""

import argparse
import functools
import statistics
import subprocess  # noqa: S404
import sys
import time
from collections.abc import Awaitable, Callable

import httpx
import trio
from hypercorn.config import Config
from hypercorn.trio import serve
from quart import Response, request
from quart_trio import QuartTrio

from bench.one_vm import HOST, KEY, list_upstreams, start_vm
from chestnutshift.vms.serving import serve_callers

PORTS = {'direct': 18701, 'naive': 18702, 'ours': 18703}
ANSWER_B = 1000
ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%b' % (
    ANSWER_B,
    b'x' * ANSWER_B,
)
REQUEST_FORMAT = (
    b'GET %b HTTP/1.1\r\nhost: bench\r\naccept: */*\r\n'
    b'user-agent: bench\r\nauthorization: Bearer %b\r\n\r\n'
)
FORWARDED_REQUEST = REQUEST_FORMAT % (b'/listings/1', KEY.encode())
LOOKUP_REQUEST = REQUEST_FORMAT % (b'/steering/entries', KEY.encode())
READ_B = 65536
CONNECT_ATTEMPTS = 100


async def run_upstream() -> None:
    """Answer every request with the same bytes."""

    async def answer(stream: trio.SocketStream) -> None:
        while data := await stream.receive_some(READ_B):
            await stream.send_all(ANSWER * data.count(b'\r\n\r\n'))

    await trio.serve_tcp(answer, PORTS['direct'], host=HOST)


async def run_naive() -> None:
    """Forward with Quart and HTTPX in the simplest way."""
    app = QuartTrio('naive')
    client = httpx.AsyncClient(trust_env=False)
    url = f'http://{HOST}:{PORTS["direct"]}'

    @app.get('/<path:path>')
    async def forward(path: str) -> Response:
        headers = {
            name: text
            for name, text in request.headers.items()
            if name.lower() not in {'host', 'authorization'}
        }
        answer = await client.get(f'{url}/{path}', headers=headers)
        return Response(answer.content, answer.status_code)

    config = Config()
    config.bind = [f'{HOST}:{PORTS["naive"]}']
    await serve(app, config)


async def run_vm() -> None:
    """Run the callers' port of one VM."""
    async with trio.open_nursery() as nursery:
        upstreams = list_upstreams([PORTS['direct']])
        state = await start_vm(nursery, PORTS['ours'], upstreams)
        await serve_callers(state, trio.Event())


async def call(port: int, payload: bytes, until: float) -> list[float]:
    """Repeat a request on one connection; return the latencies in s."""
    stream = await trio.open_tcp_stream(HOST, port)
    stream.setsockopt(6, 1, 1)
    latencies = []
    async with stream:
        while time.perf_counter() < until:
            started_at = time.perf_counter()
            await stream.send_all(payload)
            remaining_b = await _read_head(stream)
            while remaining_b > 0:
                remaining_b -= len(await stream.receive_some(READ_B))
            latencies.append(time.perf_counter() - started_at)
    return latencies


async def _read_head(stream: trio.SocketStream) -> int:
    """Read past the head; return the bytes of the body still to come."""
    head = b''
    while b'\r\n\r\n' not in head:
        data = await stream.receive_some(READ_B)
        if not data:
            raise ConnectionError(head)
        head += data
    head, _, body = head.partition(b'\r\n\r\n')
    if not head.startswith(b'HTTP/1.1 200'):
        raise ConnectionError(head, body)
    length = head.lower().partition(b'content-length: ')[2]
    return int(length.partition(b'\r\n')[0]) - len(body)


async def measure(case: str, callers: int, seconds: float) -> list[float]:
    """Return the latencies of one case in s."""
    port = PORTS['ours' if case == 'look-up' else case]
    payload = LOOKUP_REQUEST if case == 'look-up' else FORWARDED_REQUEST
    until = time.perf_counter() + seconds
    latencies: list[float] = []

    async def caller() -> None:
        latencies.extend(await call(port, payload, until))

    async with trio.open_nursery() as nursery:
        for _ in range(callers):
            nursery.start_soon(caller)
    return latencies


async def _wait_ready(port: int) -> None:
    for _ in range(CONNECT_ATTEMPTS):
        try:
            return await (await trio.open_tcp_stream(HOST, port)).aclose()
        except OSError:
            await trio.sleep(0.1)
    raise TimeoutError(port)


async def compare(rounds: int, seconds: float, cases: tuple[str, ...]) -> None:
    """Print requests/s (median over rounds), p50 and p99 of each case."""
    for port in PORTS.values():
        await _wait_ready(port)
    for callers in (1, 8):
        rates: dict[str, list[float]] = {case: [] for case in cases}
        pooled: dict[str, list[float]] = {case: [] for case in cases}
        for round_number in range(rounds + 1):
            for case in cases:
                latencies = await measure(case, callers, seconds)
                if round_number:  # The first round warms up.
                    rates[case].append(len(latencies) / seconds)
                    pooled[case] += latencies
        for case in cases:
            percentiles = statistics.quantiles(pooled[case], n=100)
            print(
                f'{case:8} callers={callers}'
                f' {statistics.median(rates[case]):8.0f}/s'
                f' p50={percentiles[49] * 1e3:.2f} ms'
                f' p99={percentiles[98] * 1e3:.2f} ms',
            )


ROLES: dict[str, Callable[[], Awaitable[None]]] = {
    'direct': run_upstream,
    'naive': run_naive,
    'ours': run_vm,
}


def main() -> None:
    """Run one role, or start all roles and compare the cases."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--role', choices=ROLES)
    parser.add_argument('--rounds', type=int, default=5)
    parser.add_argument('--seconds', type=float, default=1.0)
    parser.add_argument('--cases', default='direct,naive,ours,look-up')
    options = parser.parse_args()
    if options.role:
        trio.run(ROLES[options.role])
        return
    command = [sys.executable, '-m', 'bench.forwarder', '--role']
    children = [subprocess.Popen([*command, role]) for role in ROLES]
    try:
        trio.run(
            functools.partial(
                compare,
                options.rounds,
                options.seconds,
                tuple(options.cases.split(',')),
            ),
        )
    finally:
        for child in children:
            child.kill()


if __name__ == '__main__':
    main()
