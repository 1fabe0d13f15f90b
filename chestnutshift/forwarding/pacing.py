"""Keep the bytes of crossings between two regions under their cap."""

from collections.abc import AsyncIterator, Awaitable, Callable

import trio

from chestnutshift.regions.caps import LinkCap

Pace = Callable[[int], Awaitable[None]]


async def unpaced(_size_b: int) -> None:
    """Let bytes go at once, for links that have no cap."""


def paced_by(cap: LinkCap | None) -> Pace:
    """Return what waits until the cap lets that many bytes go."""
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
    """Yield the chunks as the pace lets them go."""
    async for chunk in chunks:
        await pace(len(chunk))
        yield chunk
