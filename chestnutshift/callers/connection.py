"""A caller's connection: HTTP/1.1 with h11, requests served in order.

One task reads ahead and detects a disconnect; the other serves requests. An
answer that can't be completed resets the connection, so that no caller takes
a truncated answer for a complete one.
"""

import contextlib
import logging
import secrets
from collections.abc import Awaitable, Callable, Iterator

import h11
import trio

from chestnutshift.callers import refusals
from chestnutshift.callers.disconnect_monitor import DisconnectMonitor
from chestnutshift.callers.exchange import CallerExchange, Message
from chestnutshift.callers.limits import CallerLimits, StopState
from chestnutshift.callers.read_ahead import ReadAheadBuffer
from chestnutshift.callers.transport import CallerTransport
from chestnutshift.forwarding.problems import Problem
from chestnutshift.forwarding.requests import (
    REQUEST_ID_B,
    CallerDisconnectedError,
    Headers,
)

Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
Application = Callable[[Message, Receive, Send], Awaitable[None]]

logger = logging.getLogger('chestnutshift.http')


@contextlib.contextmanager
def _reset_on_disconnect(transport: CallerTransport) -> Iterator[None]:
    """Reset the connection if the caller disconnects in the block."""
    try:
        yield
    except CallerDisconnectedError:
        transport.reset()


class CallerConnection:
    """Serves the requests of one connection, one after the other."""

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
        self.read_ahead = ReadAheadBuffer(transport.stream)
        self.h11 = h11.Connection(
            h11.SERVER,
            max_incomplete_event_size=limits.header_limit_b,
        )
        self._application = application
        self._stop = stop
        self._headers: Headers = []
        self._head_scope = trio.CancelScope()
        self._disconnect_monitor = DisconnectMonitor(
            transport,
            self.read_ahead,
            self.h11,
            half_close_is_disconnect=limits.half_close_is_disconnect,
        )

    @property
    def is_stopping(self) -> bool:
        """Whether this VM is stopping."""
        return self._stop.is_stopping

    def close_idle(self, at: float) -> None:
        """Close the connection at that time if it is idle then."""
        self._head_scope.deadline = min(self._head_scope.deadline, at)

    async def run(self) -> None:
        """Serve until either side closes; reset if cancelled."""
        await self._run(self._serve)

    async def run_refusal(self, problem: Problem) -> None:
        """Refuse the first request without reading it, and close."""
        await self._run(self._refuse_first, problem)

    async def write(self, content: bytes) -> None:
        """Send bytes; raises CallerDisconnectedError."""
        await self._disconnect_monitor.wait_for_probe()
        await self.transport.send(content)

    async def refuse(self, problem: Problem) -> None:
        """Send the problem without calling the application."""
        request_id = secrets.token_hex(REQUEST_ID_B)
        body = problem.body(request_id)
        headers = problem.headers(request_id)
        headers += [
            (b'content-length', b'%d' % len(body)),
            (b'connection', b'close'),
        ]
        response = h11.Response(status_code=problem.status, headers=headers)
        await self.write(
            self.h11.send(response)
            + self.h11.send(h11.Data(data=body))
            + self.h11.send(h11.EndOfMessage()),
        )

    async def _run(
        self,
        serve: Callable[..., Awaitable[None]],
        *args: Problem,
    ) -> None:
        is_clean_end = False
        try:
            self.transport.open()
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._disconnect_monitor.run)
                with _reset_on_disconnect(self.transport):
                    await serve(*args)
                nursery.cancel_scope.cancel()
            is_clean_end = True
        except OSError:
            logger.debug('caller disconnected before its connection was served')
        finally:
            if is_clean_end:
                self.transport.close()
            else:
                # A cancelled answer must not look complete to the caller.
                self.transport.reset()

    async def _refuse_first(self, problem: Problem) -> None:
        await self.refuse(problem)
        await self._close()

    async def _serve(self) -> None:
        request = await self._next_request()
        while request is not None:
            if not await self._answer(request):
                self.transport.reset()
                return
            request = None
            if self._can_reuse():
                self.h11.start_next_cycle()
                request = await self._next_request()
        await self._close()

    async def _close(self) -> None:
        """Close the sending side; keep reading so that the answer arrives."""
        await self.transport.send_end()
        with trio.move_on_after(self.limits.linger_s):
            await self.read_ahead.drain()

    def _can_reuse(self) -> bool:
        return (
            not self.is_stopping
            and self.h11.our_state is h11.DONE
            and self.h11.their_state is h11.DONE
        )

    async def _next_request(self) -> h11.Request | None:
        """Return the next request, None if the connection must close."""
        try:
            event = await self._next_head()
        except h11.RemoteProtocolError as error:
            await self.refuse(refusals.refuse_malformed(error))
            return None
        if not isinstance(event, h11.Request):
            if self.h11.trailing_data[0]:
                await self.refuse(refusals.SLOW_HEAD)
            return None
        # Iterating over h11's headers is slow, so they are copied once.
        self._headers = list(event.headers)
        limit_b = self.limits.header_limit_b
        problem = refusals.refuse_head(event, self._headers, limit_b)
        if problem is None:
            return event
        await self.refuse(problem)
        return None

    async def _next_head(self) -> h11.Event:
        """Return the next event; NEED_DATA after a timeout."""
        event = self.h11.next_event()
        if event is not h11.NEED_DATA:
            return event
        limits = self.limits
        idle_s = limits.stop_idle_s if self.is_stopping else limits.idle_s
        scope = trio.CancelScope(deadline=trio.current_time() + idle_s)
        self._head_scope = scope
        with scope:
            self.h11.receive_data(await self.read_ahead.take())
            scope.deadline = trio.current_time() + self.limits.header_timeout_s
            event = self.h11.next_event()
            while event is h11.NEED_DATA:
                self.h11.receive_data(await self.read_ahead.take())
                event = self.h11.next_event()
        return event

    async def _answer(self, request: h11.Request) -> bool:
        """Call the application; return whether its answer is complete."""
        exchange = CallerExchange(self, request, self._headers)
        self._disconnect_monitor.exchange = exchange
        try:
            with exchange.scope:
                await self._application(
                    exchange.asgi_scope(),
                    exchange.receive,
                    exchange.send,
                )
        except CallerDisconnectedError:
            return False
        except Exception:
            logger.exception('unhandled exception while serving a request')
            if exchange.is_started:
                return False
            await self.refuse(refusals.INTERNAL_ERROR)
            return True
        finally:
            self._disconnect_monitor.exchange = None
        return exchange.is_complete
