"""The rate of the bytes of crossings stays under the cap."""

from collections.abc import AsyncIterator

import trio
from trio.testing import MockClock

from chestnutshift.forwarding.pacing import pace_chunks, paced_by
from chestnutshift.regions.caps import CapShare, LinkCap

SHARE_B = 100_000
CHUNK_B = 5_000
CHUNKS = 60


async def _chunks() -> AsyncIterator[bytes]:
    for _ in range(CHUNKS):
        yield bytes(CHUNK_B)


async def _time_chunks_s(*, capped: bool) -> float:
    """Return how long all chunks take, in seconds."""
    started_at = trio.current_time()
    cap = LinkCap(CapShare(1, SHARE_B), started_at) if capped else None
    received = [chunk async for chunk in pace_chunks(_chunks(), paced_by(cap))]
    assert len(received) == CHUNKS
    return trio.current_time() - started_at


async def _measure_s(capped: bool) -> float:
    return await _time_chunks_s(capped=capped)


def _run_virtual(*, capped: bool) -> float:
    return trio.run(_measure_s, capped, clock=MockClock(autojump_threshold=0))


def test_body_is_paced():
    """Bytes for three seconds at the cap take at least 0.9 of that time."""
    assert _run_virtual(capped=True) >= 0.9 * CHUNKS * CHUNK_B / SHARE_B


def test_no_cap_no_wait():
    """Bytes within a region are not delayed."""
    assert _run_virtual(capped=False) == 0
