"""Accepts a limited number of callers' connections until the VM stops."""

import logging
import math
import ssl
from collections.abc import Callable
from contextlib import closing

import attrs
import trio

from chestnutshift.callers.accepting import (
    BACKLOG,
    FAILED_PAUSE_S,
    BatchListener,
)
from chestnutshift.callers.connection import Application, CallerConnection
from chestnutshift.callers.ends import ReportEnd, ignore_end
from chestnutshift.callers.limits import CallerLimits, StopState
from chestnutshift.callers.refusals import TOO_MANY_CONNECTIONS
from chestnutshift.callers.transport import CallerStream, CallerTransport
from chestnutshift.memory.budget import Kind
from chestnutshift.memory.sizes import CONNECTION_B

# A connection that has been idle for less is not closed in favour of a new
# one: its first or next request may be under way.
IDLE_MIN_S = 1.0
# Idle connections are looked for once in this time, as that goes over all.
SEARCH_PERIOD_S = 0.1
# Part of the time for the last answers in which requests are read.
LAST_READING_RATIO = 0.8

Listener = BatchListener | trio.SSLListener
# Told of an unexpected exception that ended a connection.
ReportFault = Callable[[Exception], None]

logger = logging.getLogger('chestnutshift.http')


def log_fault(error: Exception) -> None:
    """Log a fault of the program, with the place it comes from."""
    logger.error('a fault ended a connection', exc_info=error)


class CallersListener:
    """Serves an ASGI application to callers on any number of listeners."""

    def __init__(
        self,
        application: Application,
        limits: CallerLimits,
        report_fault: ReportFault = log_fault,
        report_end: ReportEnd = ignore_end,
    ) -> None:
        """Serve the application within the limits.

        A fault that a connection raises ends that connection alone.
        """
        self._report_end = report_end
        # Idle connections as last searched for, the first to close at the end.
        self._idle: list[CallerConnection] = []
        self._search_at = -math.inf
        self._application = application
        self._report_fault = report_fault
        self._limits = limits
        self._stop = StopState()
        self._open: set[CallerConnection] = set()
        self._refused_count = 0

    @property
    def open_count(self) -> int:
        """The number of connections being served."""
        return len(self._open)

    async def serve(
        self,
        listeners: list[Listener],
        stopping: trio.Event,
    ) -> None:
        """Serve until stopping is set, then finish requests in flight.

        Those that are in progress after grace_s seconds are ended, and
        connections that are open last_answers_s after that are reset.
        """
        async with trio.open_nursery() as ending:
            async with trio.open_nursery() as connections:
                await self._accept_until(stopping, listeners, connections)
                self.begin_stop(trio.current_time())
                ending.start_soon(self._end, connections.cancel_scope)
            ending.cancel_scope.cancel()

    def set_grace(self, grace_s: float, last_answers_s: float) -> None:
        """Set the times of a stop that is about to begin, see CallerLimits."""
        self._limits = attrs.evolve(
            self._limits, grace_s=grace_s, last_answers_s=last_answers_s
        )

    def begin_stop(self, now: float) -> None:
        """Close busy connections after their answer, idle ones soon."""
        if self._stop.is_stopping:
            return
        self._stop.is_stopping = True
        for connection in self._open:
            connection.reader.close_idle(now + self._limits.stop_idle_s)

    async def _accept_until(
        self,
        stopping: trio.Event,
        listeners: list[Listener],
        connections: trio.Nursery,
    ) -> None:
        async with trio.open_nursery() as acceptors:
            for listener in listeners:
                acceptors.start_soon(self._accept, listener, connections)
            await stopping.wait()
            acceptors.cancel_scope.cancel()

    async def _end(self, connections: trio.CancelScope) -> None:
        """End the requests in progress, then the connections.

        Two timers could be due at once when the event loop is late; so the
        second begins after the first.
        """
        await trio.sleep(self._limits.grace_s)
        last_answers_s = self._limits.last_answers_s
        reading_s = last_answers_s * LAST_READING_RATIO
        self._stop.reads_until = trio.current_time() + reading_s
        for connection in self._open:
            connection.unanswered.end_work()
            connection.reader.close_idle(self._stop.reads_until)
        await trio.sleep(last_answers_s)
        connections.cancel()

    async def _accept(
        self, listener: Listener, connections: trio.Nursery
    ) -> None:
        """Serve the connections of a listener until cancelled; close it."""
        if isinstance(listener, trio.SSLListener):
            await trio.serve_listeners(
                self._serve_stream, [listener], handler_nursery=connections
            )
            return
        with closing(listener):
            try:
                while True:
                    streams = await self._accept_some(listener)
                    self._start(streams, connections)
            finally:
                with trio.CancelScope(shield=True):
                    await self._accept_rest(listener, connections)

    async def _accept_rest(
        self, listener: BatchListener, connections: trio.Nursery
    ) -> None:
        """Accept the connections that wait: closing would reset them.

        Their number is bounded, as new ones may come as fast.
        """
        for _ in range(BACKLOG):
            streams = listener.accept_nowait(self._limits.batch_max)
            if not streams:
                return
            self._start(streams, connections)
            await trio.lowlevel.checkpoint()

    def _start(
        self, streams: list[trio.SocketStream], connections: trio.Nursery
    ) -> None:
        for stream in streams:
            connections.start_soon(self._serve_stream, stream)

    async def _accept_some(
        self, listener: BatchListener
    ) -> list[trio.SocketStream]:
        """Accept connections; a fault must not end those that are open."""
        try:
            return await listener.accept(self._limits.batch_max)
        except Exception as error:
            self._report_fault(error)
            await trio.sleep(FAILED_PAUSE_S)
        return []

    async def _serve_stream(self, stream: CallerStream) -> None:
        try:
            await self._serve_or_refuse(stream)
        except Exception as error:
            # The connection has been reset.
            self._report_fault(error)

    async def _serve_or_refuse(self, stream: CallerStream) -> None:
        connection = CallerConnection(
            CallerTransport(stream),
            self._application,
            self._limits,
            self._stop,
        )
        if not self._make_room(trio.current_time()):
            await self._refuse(connection)
            return
        self._open.add(connection)
        memory = self._limits.memory
        memory.add(Kind.CONNECTION, CONNECTION_B)
        try:
            await connection.run()
        finally:
            memory.add(Kind.CONNECTION, -CONNECTION_B)
            self._open.discard(connection)
            self._report_end(connection.end)

    def _make_room(self, now: float) -> bool:
        """Return whether a new connection can be served.

        At the limit the one that has been idle longest is closed; first those
        that have carried no request, as these may be a flood.
        """
        if len(self._open) < self._limits.connections_max:
            return True
        chosen = self._find_idle(now)
        if chosen is None:
            return False
        self._open.discard(chosen)
        chosen.reader.drop()
        return True

    def _find_idle(self, now: float) -> CallerConnection | None:
        """Return the open connection to be closed first, None without one."""
        if now >= self._search_at:
            self._search_at = now + SEARCH_PERIOD_S
            idle = (found for found in self._open if _is_idle(found, now))
            self._idle = sorted(idle, key=_idle_order, reverse=True)
        while self._idle:
            found = self._idle.pop()
            if found in self._open and _may_close(found, now):
                return found
        return None

    async def _refuse(self, connection: CallerConnection) -> None:
        if self._refused_count >= self._limits.refused_max:
            connection.transport.reset()
            return
        self._refused_count += 1
        try:
            await connection.run_refusal(TOO_MANY_CONNECTIONS)
        finally:
            self._refused_count -= 1


def _is_idle(connection: CallerConnection, now: float) -> bool:
    return now - connection.reader.idle_since >= IDLE_MIN_S


def _may_close(connection: CallerConnection, now: float) -> bool:
    """Return whether an idle connection may be closed in favour of another.

    A VM that is behind reads a request long after it has arrived.
    """
    return _is_idle(connection, now) and not connection.read_ahead.has_arrived


def _idle_order(connection: CallerConnection) -> tuple[bool, float]:
    reader = connection.reader
    return reader.has_carried, reader.idle_since


async def open_listeners(
    address: str,
    port: int,
    certificate_file: str = '',
    key_file: str = '',
) -> list[Listener]:
    """Listen on an address, with TLS if certificate_file is set."""
    if not certificate_file:
        return [BatchListener(address, port)]
    listeners = await trio.open_tcp_listeners(
        port,
        host=address,
        backlog=BACKLOG,
    )
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(certificate_file, key_file)
    context.set_alpn_protocols(['http/1.1'])
    return [
        trio.SSLListener(listener, context, https_compatible=True)
        for listener in listeners
    ]
