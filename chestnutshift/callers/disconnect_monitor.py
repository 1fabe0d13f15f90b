"""Detects that a caller has disconnected and cancels its request."""

from collections.abc import Sequence

import trio

from chestnutshift.callers.body_reader import CONTINUE
from chestnutshift.callers.exchange import CallerExchange
from chestnutshift.callers.read_ahead import ReadAheadBuffer
from chestnutshift.callers.transport import CallerTransport
from chestnutshift.forwarding.requests import CallerDisconnectedError

# Period of the checks whether a caller has left whose bytes are not read on.
POLL_S = 0.1


class DisconnectMonitor:
    """Reads ahead on a connection; distinguishes half-close and disconnect.

    unanswered are the requests being served, the oldest first.
    """

    def __init__(
        self,
        transport: CallerTransport,
        read_ahead: ReadAheadBuffer,
        unanswered: Sequence[CallerExchange],
        *,
        half_close_is_disconnect: bool = False,
    ) -> None:
        """Monitor the connection that the arguments belong to."""
        self._half_close_is_disconnect = half_close_is_disconnect
        self._transport = transport
        self._read_ahead = read_ahead
        self._unanswered = unanswered
        self._probe_sent: trio.Event | None = None
        self._reading = trio.CancelScope()

    @property
    def has_caller_left(self) -> bool:
        """Whether the caller has disconnected, as far as is known here.

        It also tells of an end that has arrived and is not read yet, as a VM
        that is behind reads it long after the requests before it.
        """
        if self._read_ahead.has_ended:
            return self._is_disconnected()
        if self._half_close_is_disconnect:
            return self._transport.has_end_arrived
        return self._transport.has_reset_arrived

    async def run(self) -> None:
        """Read to the end, and cancel the requests on a disconnect."""
        with self._reading:
            await self._read_to_end()
        while True:
            if self._unanswered and not self._half_close_is_disconnect:
                await self._probe(self._unanswered[0])
            self._abandon_if_left()
            await trio.sleep(POLL_S)

    async def wait_for_probe(self) -> None:
        """Wait until an interim answer that is being sent is written."""
        if self._probe_sent is not None and not self._probe_sent.is_set():
            await self._probe_sent.wait()

    def stop_reading(self) -> None:
        """Leave unread what arrives from now on."""
        self._reading.cancel()

    async def _read_to_end(self) -> None:
        """Read ahead; watch for a departure behind bytes that wait."""
        read_ahead = self._read_ahead
        while not read_ahead.has_ended:
            await read_ahead.fill()
            while read_ahead.is_full:
                self._abandon_if_left()
                with trio.move_on_after(POLL_S):
                    await read_ahead.wait_for_room()

    def _abandon_if_left(self) -> None:
        if not self.has_caller_left:
            return
        for exchange in self._unanswered:
            exchange.abandon()

    async def _probe(self, exchange: CallerExchange) -> None:
        """Send a 100 Continue to a caller that closed its sending side.

        If the caller closed its socket, its host replies to these bytes with
        a reset. A caller that still waits for its answer ignores them.
        """
        if not exchange.can_probe or self._probe_sent is not None:
            return
        self._probe_sent = trio.Event()
        try:
            await self._transport.send(exchange.parser.send(CONTINUE))
        except CallerDisconnectedError:
            exchange.abandon()
        finally:
            self._probe_sent.set()

    def _is_disconnected(self) -> bool:
        if self._half_close_is_disconnect or self._read_ahead.is_broken:
            return True
        return self._transport.is_disconnected
