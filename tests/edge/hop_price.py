"""Measure a request over the hop beside one that is sent directly.

Run as `python -m tests.edge.hop_price`; prints median times and bytes.
"""

import logging
import statistics
import sys
from typing import Any

import trio

from chestnutshift.upstreams.connection import UpstreamConnection
from tests.edge.linked_fleet import LinkedFleet, LinkedVm, running_fleet

REQUESTS = 300
MILLISECONDS_PER_S = 1000


async def _median_ms(fleet: LinkedFleet, vm: LinkedVm) -> float:
    times = []
    for _ in range(REQUESTS):
        started_at = trio.current_time()
        await fleet.ask(vm)
        times.append(trio.current_time() - started_at)
    return statistics.median(times) * MILLISECONDS_PER_S


async def _measure() -> None:
    sent_b: list[int] = []
    send = UpstreamConnection.send_buffered

    async def count(connection: Any, request: Any, body: bytes) -> None:
        """Send, and count the bytes of the request."""
        before = connection.sent_b
        await send(connection, request, body)
        sent_b.append(connection.sent_b - before)

    UpstreamConnection.send_buffered = count
    async with running_fleet(vm_count=2) as fleet:
        cut, direct = fleet.vms
        await fleet.cut_off(cut)
        sent_b.clear()
        direct_ms = await _median_ms(fleet, direct)
        direct_b = statistics.median(sent_b)
        sent_b.clear()
        passed_on_ms = await _median_ms(fleet, cut)
        to_peer_b = max(sent_b)
    sys.stdout.write(
        f'direct: {direct_ms:.2f} ms, {direct_b:.0f} B to the upstream\n'
        f'passed on: {passed_on_ms:.2f} ms, {to_peer_b} B to the peer\n'
    )


if __name__ == '__main__':
    logging.disable(logging.CRITICAL)
    trio.run(_measure)
