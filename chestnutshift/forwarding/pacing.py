"""Rate limiting of the bytes of crossings between two regions."""

from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from chestnutshift.regions.caps import LinkCap

Pace = Callable[[int], Awaitable[None]]


async def unpaced(_size_b: int) -> None:
    """Return at once, for links without a cap."""


def paced_by(cap: LinkCap | None) -> Pace:
    """Return a function that waits until the cap allows that many bytes."""
    if cap is None:
        return unpaced

    async def pace(size_b: int) -> None:
        if not size_b:
            return
        start_at = cap.reserve_bytes(size_b, trio.current_time())
        if start_at > trio.current_time():
            await trio.sleep_until(start_at)
        cap.record_bytes(size_b, trio.current_time())

    return pace


async def pace_chunks(
    chunks: AsyncIterator[bytes],
    pace: Pace,
) -> AsyncIterator[bytes]:
    """Yield each chunk when the pace allows its bytes."""
    async for chunk in chunks:
        await pace(len(chunk))
        yield chunk
