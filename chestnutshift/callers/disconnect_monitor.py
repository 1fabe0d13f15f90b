"""Notice that a caller is gone, and cancel what runs for it."""

import h11
import trio

from chestnutshift.callers.exchange import CONTINUE, CallerExchange
from chestnutshift.callers.read_ahead import ReadAheadBuffer
from chestnutshift.callers.transport import CallerTransport
from chestnutshift.forwarding.requests import CallerGoneError

HALF_CLOSED_POLL_S = 0.1


class DisconnectMonitor:
    """Read ahead on one connection, and tell a half-closed from a gone end.

    `exchange` is what runs on the connection, None between requests.
    """

    def __init__(
        self,
        transport: CallerTransport,
        read_ahead: ReadAheadBuffer,
        connection: h11.Connection,
        *,
        is_end_gone: bool = False,
    ) -> None:
        """Watch the connection that these belong to."""
        self._is_end_gone = is_end_gone
        self.exchange: CallerExchange | None = None
        self._transport = transport
        self._read_ahead = read_ahead
        self._h11 = connection
        self._probe_sent: trio.Event | None = None

    async def run(self) -> None:
        """Read; after the end, cancel what runs once the caller is gone."""
        await self._read_ahead.run()
        while True:
            if self.exchange is not None and not self._is_end_gone:
                await self._probe(self.exchange)
            if self.exchange is not None and self._is_disconnected():
                self.exchange.abandon()
            await trio.sleep(HALF_CLOSED_POLL_S)

    async def wait_for_probe(self) -> None:
        """Return when no interim answer is just being sent."""
        if self._probe_sent is not None:
            await self._probe_sent.wait()

    async def _probe(self, exchange: CallerExchange) -> None:
        """Send an interim answer to a caller that ended its side.

        The host of a caller that closed resets the connection on the next
        bytes; these harm no caller that waits for its answer.
        """
        if not exchange.can_probe or self._probe_sent is not None:
            return
        self._probe_sent = trio.Event()
        try:
            await self._transport.send(self._h11.send(CONTINUE))
        except CallerGoneError:
            exchange.abandon()
        finally:
            self._probe_sent.set()

    def _is_disconnected(self) -> bool:
        if self._is_end_gone or self._read_ahead.is_broken:
            return True
        return self._transport.is_gone
