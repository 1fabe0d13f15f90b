"""Reads the heads of the requests on a caller's connection."""

import math

import attrs
import h11
import trio

from chestnutshift.callers import refusals
from chestnutshift.callers.limits import CallerLimits, StopState
from chestnutshift.callers.read_ahead import ReadAheadBuffer
from chestnutshift.callers.request_parser import RequestParser
from chestnutshift.forwarding.problems import RefusalError
from chestnutshift.forwarding.requests import Headers

# The states of a parser that has read a request behind which others may come.
# Offers to switch the protocol are ignored.
_READ_STATES = (h11.DONE, h11.MIGHT_SWITCH_PROTOCOL)


@attrs.frozen
class RequestHead:
    """The head of a request."""

    request: h11.Request
    headers: Headers


class RequestReader:
    """Reads one request after the other, each with a parser of its own.

    h11 parses a request only once the answer to the one before it is written.
    With a parser for each, requests can be read ahead of earlier answers.
    """

    def __init__(
        self,
        read_ahead: ReadAheadBuffer,
        limits: CallerLimits,
        stop: StopState,
    ) -> None:
        """Start with an empty parser."""
        self._read_ahead = read_ahead
        self._limits = limits
        self._stop = stop
        self._parser = RequestParser()
        self._scope = trio.CancelScope()
        self._is_between_requests = False
        self._is_busy = False
        self._has_ended = False
        # Whether a request has come.
        self.has_carried = False
        # Whether the connection is to be closed in favour of another.
        self.is_dropped = False
        # Whether no request arrived in time on an idle connection.
        self.is_timed_out = False
        self._idle_since = -math.inf

    @property
    def parser(self) -> RequestParser:
        """The parser of the request that is read or was read last."""
        return self._parser

    @property
    def idle_since(self) -> float:
        """Since when the connection has been idle; infinite if it is not."""
        if self._is_busy or not self._is_between_requests:
            return math.inf
        return math.inf if self._read_ahead.has_bytes else self._idle_since

    def drop(self) -> None:
        """End the idle wait now, and the connection once nothing has arrived.

        A request that arrives before that is served, as at an idle timeout.
        """
        self.is_dropped = True
        self._scope.deadline = -math.inf

    def close_idle(self, at: float) -> None:
        """Shorten a wait as the VM stops: until that time if idle."""
        is_idle = self._is_between_requests and not self._is_busy
        until = at if is_idle else self._stop.reads_until
        self._scope.deadline = min(self._scope.deadline, until)

    def end(self) -> None:
        """Read no further request."""
        self._has_ended = True
        self._scope.cancel()

    def set_busy(self, is_busy: bool, now: float) -> None:
        """Set whether requests are unanswered; it stops the idle timeout."""
        self._is_busy = is_busy
        self.has_carried = True
        self._idle_since = now
        if self._is_between_requests:
            self._scope.deadline = self._idle_deadline()

    def may_read_on(self, now: float) -> bool:
        """Return whether a request that the stop still serves has arrived."""
        if self._stop.is_late(now):
            return False
        has_trailing = bool(self._parser.trailing_data[0])
        return has_trailing or self._read_ahead.has_arrived

    def advance(self) -> bool:
        """Prepare to read the next request; return whether one may follow."""
        if self._parser.their_state not in _READ_STATES:
            return False
        content, has_ended = self._parser.trailing_data
        self._parser = RequestParser()
        if content:
            self._parser.receive_data(content)
        if has_ended:
            self._parser.receive_data(b'')
        return True

    async def next_head(self) -> RequestHead | None:
        """Return the next head, None after a timeout or the last request.

        Raises RefusalError if the head can't be served.
        """
        try:
            event = await self._next_event()
        except h11.RemoteProtocolError as error:
            raise RefusalError(refusals.refuse_malformed(error)) from error
        if not isinstance(event, h11.Request):
            if self._parser.trailing_data[0]:
                raise RefusalError(refusals.SLOW_HEAD)
            return None
        # Iterating over h11's headers is slow, so they are copied once.
        headers = list(event.headers)
        limit_b = self._limits.head_max_b
        problem = refusals.refuse_head(event, headers, limit_b)
        if problem is not None:
            raise RefusalError(problem)
        return RequestHead(event, headers)

    async def read_first_bytes(self) -> None:
        """Read the beginning of the first request, whatever it is."""
        self._parser.receive_data(await self._read_ahead.take())

    async def _next_event(self) -> h11.Event:
        """Return the next event; NEED_DATA after a timeout."""
        event = self._parser.next_event()
        if event is not h11.NEED_DATA:
            return event
        if not self._parser.trailing_data[0] and not await self._read_first():
            return event
        deadline = trio.current_time() + self._limits.waits.header_timeout_s
        with self._waiting_until(min(deadline, self._stop.reads_until)):
            event = self._parser.next_event()
            while event is h11.NEED_DATA:
                _check_length(self._parser, self._limits.head_max_b)
                self._parser.receive_data(await self._read_ahead.take())
                event = self._parser.next_event()
        return event

    async def _read_first(self) -> bool:
        """Read the first bytes of a request; return False after a timeout.

        Bytes that have arrived by the timeout are read: a busy VM is late. A
        timeout that has become longer meanwhile counts.
        """
        self._idle_since = trio.current_time()
        while not await self._is_read_in_time():
            is_over = self._has_ended or self._is_busy
            is_early = trio.current_time() < self._idle_deadline()
            if is_over or not (is_early or self._read_ahead.has_arrived):
                self.is_timed_out = not is_over
                return False
        return True

    async def _is_read_in_time(self) -> bool:
        deadline = self._idle_deadline()
        self._is_between_requests = True
        with self._waiting_until(deadline) as waiting:
            self._parser.receive_data(await self._read_ahead.take())
        self._is_between_requests = False
        return not waiting.cancelled_caught

    def _waiting_until(self, deadline: float) -> trio.CancelScope:
        """Return the scope of a wait that the deadline or `end` ends."""
        self._scope = trio.CancelScope(deadline=deadline)
        if self._has_ended:
            self._scope.cancel()
        return self._scope

    def _idle_deadline(self) -> float:
        if self._is_busy:
            return self._stop.reads_until
        if self.is_dropped:
            return -math.inf
        if self._stop.is_stopping:
            return self._idle_since + self._limits.stop_idle_s
        return self._idle_since + self._limits.waits.idle_s


def _check_length(parser: RequestParser, head_max_b: int) -> None:
    """Raise RefusalError if the part of a head that came is too long."""
    if len(parser.trailing_data[0]) > head_max_b:
        raise RefusalError(refusals.HEAD_TOO_LARGE)
