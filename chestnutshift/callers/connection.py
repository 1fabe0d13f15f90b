"""A caller's connection: HTTP/1.1 with h11, requests answered in order.

One task reads ahead and detects a disconnect, one reads the requests, and
each pipelined request has a task of its own, so that it need not wait for the
work on those before it. An answer that can't be completed resets the
connection, so that no caller takes a truncated answer for a complete one.
"""

import contextlib
import logging
from collections.abc import Awaitable, Callable, Iterator

import trio

from chestnutshift.callers.closing import discard_rest, wait_until_delivered
from chestnutshift.callers.disconnect_monitor import DisconnectMonitor
from chestnutshift.callers.ends import ConnectionEnd, EndReason
from chestnutshift.callers.exchange import CallerExchange, Message
from chestnutshift.callers.limits import CallerLimits, StopState
from chestnutshift.callers.read_ahead import ReadAheadBuffer
from chestnutshift.callers.refusals import (
    INTERNAL_ERROR,
    format_refusal,
    refusal_messages,
)
from chestnutshift.callers.request_reader import RequestHead, RequestReader
from chestnutshift.callers.transport import CallerTransport
from chestnutshift.callers.unanswered import UnansweredExchanges
from chestnutshift.forwarding.problems import Problem, RefusalError
from chestnutshift.forwarding.requests import CallerDisconnectedError

Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Message, Receive, Send], Awaitable[None]]

# How long a connection over the limit may take to show its request's method.
FIRST_BYTES_S = 0.2

logger = logging.getLogger('chestnutshift.http')


_now = trio.current_time


@contextlib.contextmanager
def _reset_on_disconnect(
    transport: CallerTransport, end: ConnectionEnd
) -> Iterator[None]:
    """Reset the connection if the caller disconnects in the block."""
    try:
        yield
    except CallerDisconnectedError:
        end.reason = EndReason.CALLER_LEFT
        transport.reset()


class CallerConnection:
    """Serves the requests of one connection and answers them in order."""

    def __init__(
        self,
        transport: CallerTransport,
        application: Application,
        limits: CallerLimits,
        stop: StopState,
    ) -> None:
        """Serve the transport with the ASGI application."""
        self.transport = transport
        self.limits = limits
        # Complete once `run` returns.
        self.end = ConnectionEnd()
        self.read_ahead = ReadAheadBuffer(
            transport.stream, transport.is_readable, limits.memory
        )
        self._application = application
        self._stop = stop
        self._reader = RequestReader(self.read_ahead, limits, stop)
        # The requests in progress, the oldest first.
        self.unanswered = UnansweredExchanges()
        self._answered = trio.lowlevel.ParkingLot()
        # Set once the newest answer announces the end of the connection.
        self._is_closing = False
        # The refusal of a request that can't be served, which is sent last.
        self._refused: Problem | None = None
        self._is_broken = False
        self.disconnect_monitor = DisconnectMonitor(
            transport,
            self.read_ahead,
            self.unanswered,
            half_close_is_disconnect=limits.half_close_is_disconnect,
        )

    @property
    def reader(self) -> RequestReader:
        """What reads the requests, and tells whether they have paused."""
        return self._reader

    def close_after(self, exchange: CallerExchange) -> bool:
        """Return whether the answer of the exchange is the last one.

        While this VM stops, or once the connection is to give way to another,
        it is the last one, unless requests behind it have arrived: their
        caller would get no answer to these.
        """
        if self.unanswered[-1] is not exchange or self._refused is not None:
            return False
        is_ending = self._stop.is_stopping or self._reader.is_dropped
        if is_ending and not self._reader.may_read_on(_now()):
            # The caller sends further requests elsewhere.
            self._is_closing = True
            self._reader.end()
            if exchange.is_read:
                self.disconnect_monitor.stop_reading()
        return self._is_closing

    async def run(self) -> None:
        """Serve until either side closes; reset if cancelled."""
        await self._run(self._serve)

    async def run_refusal(self, problem: Problem) -> None:
        """Refuse the first request without reading it, and close."""
        await self._run(self._refuse_first, problem)

    async def write(self, content: bytes) -> None:
        """Send bytes; raises CallerDisconnectedError."""
        await self.disconnect_monitor.wait_for_probe()
        await self.transport.send(content)

    async def _run(
        self,
        serve: Callable[..., Awaitable[None]],
        *args: Problem,
    ) -> None:
        is_clean_end = False
        try:
            with self.end.recording():
                await self._serve_monitored(serve, *args)
            is_clean_end = True
        except OSError:
            logger.debug('caller disconnected before its connection was served')
        finally:
            # Requests that were read and not served.
            trailing, _ = self._reader.parser.trailing_data
            self.end.count_discarded(len(trailing) + self.read_ahead.buffered_b)
            self.read_ahead.close()
            if is_clean_end:
                self.transport.close()
            else:
                # A cancelled answer must not look complete to the caller.
                self.transport.reset()

    async def _serve_monitored(
        self,
        serve: Callable[..., Awaitable[None]],
        *args: Problem,
    ) -> None:
        """Serve while the caller's departure is watched; raises OSError."""
        self.transport.open()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.disconnect_monitor.run)
            with _reset_on_disconnect(self.transport, self.end):
                await serve(*args)
            nursery.cancel_scope.cancel()

    async def _refuse_first(self, problem: Problem) -> None:
        with trio.move_on_after(FIRST_BYTES_S):
            await self._reader.read_first_bytes()
        self._refused = problem
        await self._close()

    async def _serve(self) -> None:
        async with trio.open_nursery() as nursery:
            try:
                await self._read_requests(nursery)
            except RefusalError as error:
                # Nothing may follow an answer that announced the end.
                self._refused = None if self._is_closing else error.problem
        if self._is_broken:
            has_left = self.disconnect_monitor.has_caller_left
            self.end.record_break(has_caller_left=has_left)
            self.transport.reset()
            return
        await self._close()

    def _close_idle(self) -> None:
        """Close the connection if it is idle and its answers have arrived.

        No other task runs since nothing had arrived on it. So a request that
        crosses the close is not read and gets a reset, which tells so.
        """
        if self._reader.is_timed_out and self.transport.is_acknowledged():
            self.transport.close()

    async def _close(self) -> None:
        """Refuse the last request if it can't be served, and close.

        Closing a socket with unread bytes resets the connection. So the rest
        of the last request is read, and the socket is closed once the answers
        have arrived; what comes behind that request gets the reset.
        """
        if self.transport.is_closed:
            return
        parser = self._reader.parser
        if self._refused is not None:
            self.end.reason = EndReason.REFUSED
            await self.write(format_refusal(self._refused, parser))
        is_read = self._refused is None and not parser.has_rest
        if is_read:
            self.disconnect_monitor.stop_reading()
        await self.transport.send_end()
        if self._reader.is_timed_out and self._reader.is_dropped:
            return
        with trio.move_on_after(self.limits.linger_s):
            if not is_read:
                await discard_rest(
                    parser, self.read_ahead, self.end.count_discarded
                )
                self.disconnect_monitor.stop_reading()
            await wait_until_delivered(self.transport)
        if not self.transport.is_acknowledged():
            self.disconnect_monitor.stop_reading()
            await self.read_ahead.discard_arrived(self.end.count_discarded)

    async def _read_requests(self, nursery: trio.Nursery) -> None:
        """Start the requests as they arrive, until the last one.

        Raises RefusalError if the last one can't be served.
        """
        while not (self.unanswered and self._stop.is_late(_now())):
            head = await self._reader.next_head()
            if head is None or self._is_closing:
                self._close_idle()
                return
            if self.disconnect_monitor.has_caller_left:
                self._is_broken = True
                nursery.cancel_scope.cancel()
                return
            exchange = self._add_exchange(head)
            if exchange.is_read:
                nursery.start_soon(self._answer, exchange, nursery)
            else:
                # Its body is on the connection before the next head.
                await exchange.wait_for_turn()
                await self._answer(exchange, nursery)
            while len(self.unanswered) >= self.limits.pipelined_max:
                await self._answered.park()
            if not self._reader.advance():
                return

    def _add_exchange(self, head: RequestHead) -> CallerExchange:
        previous = self.unanswered[-1].done if self.unanswered else None
        exchange = CallerExchange(
            self, self._reader.parser, head, previous, self.unanswered
        )
        self.unanswered.append(exchange)
        self._reader.set_busy(True, _now())
        return exchange

    async def _answer(
        self, exchange: CallerExchange, nursery: trio.Nursery
    ) -> None:
        """Serve one request; break the connection if it can't be answered."""
        is_answered = False
        try:
            is_answered = await self._call_application(exchange)
            self._is_broken = self._is_broken or not is_answered
        finally:
            self.end.lost_count += not is_answered
            self.unanswered.remove(exchange)
            exchange.done.set()
            exchange.length.set(is_long=False)
            self._answered.unpark_all()
        if self._is_broken:
            nursery.cancel_scope.cancel()
        elif not self.unanswered:
            self._reader.set_busy(False, _now())

    async def _call_application(self, exchange: CallerExchange) -> bool:
        """Call the application; return whether its answer is complete."""
        try:
            with exchange.scope:
                await self._application(
                    exchange.asgi_scope(),
                    exchange.receive,
                    exchange.send,
                )
                await exchange.wait_for_turn()
                if not exchange.is_streaming:
                    await exchange.write_held()
        except CallerDisconnectedError:
            return False
        except Exception:
            logger.exception('unhandled exception while serving a request')
            await exchange.wait_for_turn()
            # Requests behind it may have been passed on: they go on.
            if not exchange.has_begun:
                await exchange.write_held(refusal_messages(INTERNAL_ERROR))
        return exchange.is_complete
