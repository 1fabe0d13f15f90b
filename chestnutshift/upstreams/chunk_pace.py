"""The processor time that answers in tiny chunks may take.

Parsing a chunk takes as long for one byte as for thousands. An upstream in
trouble may send them without end, and nothing else runs while they are parsed.
"""

import trio

# Batches of an answer that are parsed without a pause, so that one whose
# sender writes byte by byte is not held up.
FREE_BATCHES = 16
# Between two batches of all other answers in tiny chunks together.
BATCH_PAUSE_S = 0.01
_TURN = trio.Lock()


class ChunkPace:
    """Paces the batches of chunks of one answer, after those that are free."""

    def __init__(self) -> None:
        """Start before the first batch."""
        self._batches = 0

    async def wait(self) -> None:
        """Let other tasks run; wait for the turn if there were many batches."""
        self._batches += 1
        if self._batches <= FREE_BATCHES:
            await trio.lowlevel.checkpoint()
            return
        async with _TURN:
            await trio.sleep(BATCH_PAUSE_S)
