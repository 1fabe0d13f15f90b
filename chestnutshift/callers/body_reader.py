"""Reads the body of one request."""

import sys
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import h11
import trio

from chestnutshift.callers.exceptions import (
    MalformedBodyError,
    SlowBodyError,
)
from chestnutshift.conf import defaults
from chestnutshift.forwarding.requests import CallerDisconnectedError, Headers

if TYPE_CHECKING:
    from chestnutshift.callers.connection import CallerConnection

CONTINUE = h11.InformationalResponse(status_code=100, headers=[])


class BodyReader:
    """Reads a body on demand, so that a refused caller need not send it."""

    def __init__(
        self,
        connection: 'CallerConnection',
        parser: h11.Connection,
        headers: Headers,
    ) -> None:
        """Read the end of the request at once if it has no body."""
        self._connection = connection
        self._parser = parser
        self._is_read = not _has_body(headers) and self._read_end()
        self._is_delivered = False
        # Whether chunks arrived that are not parsed yet.
        self._has_unparsed = False

    @property
    def is_read(self) -> bool:
        """Whether the request has been read to its end."""
        return self._is_read

    async def receive(self) -> dict[str, Any]:
        """Return the next ASGI message, with all of the body that arrived.

        Raises CallerDisconnectedError, SlowBodyError and MalformedBodyError.
        After the body it blocks instead of returning `http.disconnect`, as a
        disconnect cancels the scope.
        """
        if self._is_delivered:
            await trio.sleep_forever()
        if self._has_unparsed:
            # Thousands of tiny chunks may have arrived at once.
            await trio.lowlevel.checkpoint()
        body = b'' if self._is_read else self._read_arrived()
        while not body and not self._is_read:
            await self._read_more()
            body = self._read_arrived()
        self._is_delivered = self._is_read
        more = not self._is_read
        return {'type': 'http.request', 'body': body, 'more_body': more}

    def discard_arrived(self) -> None:
        """Discard what has arrived of a body that nobody reads."""
        if self._is_read:
            return
        with suppress(MalformedBodyError, CallerDisconnectedError):
            self._read_arrived(sys.maxsize)

    def _read_arrived(self, chunks_max: int = defaults.CHUNKS_AT_ONCE) -> bytes:
        chunks: list[bytes] = []
        self._has_unparsed = False
        while not (self._has_unparsed or self._is_read):
            event = self._next_event()
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.Data):
                chunks.append(event.data)
                self._has_unparsed = len(chunks) >= chunks_max
            else:
                # Trailers are dropped: they may contain the caller's key.
                self._is_read = True
        if not self._has_unparsed:
            self._connection.read_ahead.settle()
        return b''.join(chunks)

    def _read_end(self) -> bool:
        return isinstance(self._next_event(), h11.EndOfMessage)

    def _next_event(self) -> h11.Event:
        try:
            return self._parser.next_event()
        except h11.RemoteProtocolError as error:
            if self._connection.read_ahead.has_ended:
                raise CallerDisconnectedError(
                    'the caller disconnected before its request was complete',
                ) from error
            raise MalformedBodyError(str(error)) from error

    async def _read_more(self) -> None:
        if self._parser.they_are_waiting_for_100_continue:
            await self._connection.write(self._parser.send(CONTINUE))
        timeout_s = self._connection.limits.body_timeout_s
        with trio.move_on_after(timeout_s) as timeout:
            chunk = await self._connection.read_ahead.take()
        if timeout.cancelled_caught:
            raise SlowBodyError(
                f'no byte of the body arrived for {timeout_s} s'
            )
        self._parser.receive_data(chunk)


def _has_body(headers: Headers) -> bool:
    return any(
        name in {b'content-length', b'transfer-encoding'} for name, _ in headers
    )
