"""Bytes from a caller, read ahead to detect a disconnect at once."""

from collections import deque
from collections.abc import Callable

import trio

from chestnutshift.memory.budget import Kind, MemoryBudget

READ_AHEAD_B = 131_072


class ReadAheadBuffer:
    """A bounded buffer of the bytes received on one connection.

    While the memory budget is used up, it holds one chunk, and the caller's
    host is pushed back by TCP.
    """

    def __init__(
        self,
        stream: trio.abc.ReceiveStream,
        is_readable: Callable[[], bool],
        memory: MemoryBudget,
    ) -> None:
        """Read from the stream; pause above READ_AHEAD_B buffered bytes.

        is_readable tells whether unread bytes have arrived on it.
        """
        self._stream = stream
        self._is_readable = is_readable
        self._memory = memory
        # Bytes that were taken last, which are being parsed.
        self._taken_b = 0
        self._chunks: deque[bytes] = deque()
        self._buffered_b = 0
        self._is_broken = False
        self._ended = trio.Event()
        self._arrival = trio.lowlevel.ParkingLot()
        self._room = trio.lowlevel.ParkingLot()

    @property
    def is_broken(self) -> bool:
        """Whether the connection broke instead of ending normally."""
        return self._is_broken

    @property
    def has_ended(self) -> bool:
        """Whether the caller has closed its sending side or disconnected."""
        return self._ended.is_set()

    @property
    def has_bytes(self) -> bool:
        """Whether bytes wait to be taken."""
        return bool(self._chunks)

    @property
    def buffered_b(self) -> int:
        """Bytes that wait to be taken."""
        return self._buffered_b

    @property
    def is_full(self) -> bool:
        """Whether reading pauses until some of the bytes are taken."""
        if self._buffered_b and self._memory.is_full:
            return True
        return self._buffered_b > READ_AHEAD_B

    @property
    def has_arrived(self) -> bool:
        """Whether bytes wait here or in the kernel.

        The end of the stream counts until it is read.
        """
        if self._chunks:
            return True
        return not self.has_ended and self._is_readable()

    async def fill(self) -> None:
        """Read until the buffer is full or the caller's stream ends."""
        # No local variable may hold a chunk while the next one is awaited.
        while not self.is_full and not self.has_ended:
            self._add(await self._read())

    async def wait_for_room(self) -> None:
        """Wait until some of the bytes are taken."""
        await self._room.park()

    async def take(self) -> bytes:
        """Return the next bytes, empty after the end."""
        self.settle()
        while not self._chunks:
            if self.has_ended:
                return b''
            await self._arrival.park()
        chunk = self._chunks.popleft()
        self._buffered_b -= len(chunk)
        self._taken_b = len(chunk)
        self._room.unpark()
        return chunk

    async def drain(self, count: Callable[[int], None]) -> None:
        """Discard and count all bytes until the caller closes its side."""
        while chunk := await self.take():
            count(len(chunk))

    async def discard_arrived(self, count: Callable[[int], None]) -> None:
        """Discard and count unread bytes, up to READ_AHEAD_B.

        Nothing else may read.
        """
        left_b = READ_AHEAD_B
        while left_b > 0 and not self.has_ended and self._is_readable():
            chunk = await self._read()
            count(len(chunk))
            left_b = left_b - len(chunk) if chunk else 0

    def settle(self) -> None:
        """Note that nothing is left of the bytes that were taken last."""
        self._memory.add(Kind.READ_AHEAD, -self._taken_b)
        self._taken_b = 0

    def close(self) -> None:
        """Drop what is buffered."""
        self.settle()
        self._memory.add(Kind.READ_AHEAD, -self._buffered_b)
        self._chunks.clear()
        self._buffered_b = 0

    def _add(self, chunk: bytes) -> None:
        if not chunk:
            self._ended.set()
            self._arrival.unpark_all()
            return
        self._chunks.append(chunk)
        self._buffered_b += len(chunk)
        self._memory.add(Kind.READ_AHEAD, len(chunk))
        self._arrival.unpark()

    async def _read(self) -> bytes:
        try:
            return await self._stream.receive_some(self._memory.read_b())
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            self._is_broken = True
            return b''
