"""One request and its answer on a caller's connection, as ASGI messages."""

import time
from email.utils import formatdate
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import h11
import trio

from chestnutshift.callers.exceptions import (
    MalformedBodyError,
    SlowBodyError,
)
from chestnutshift.forwarding.requests import CallerDisconnectedError, Headers

if TYPE_CHECKING:
    from chestnutshift.callers.connection import CallerConnection

Message = dict[str, Any]

BODILESS_STATUSES = frozenset((204, 304))
CONTINUE = h11.InformationalResponse(status_code=100, headers=[])
_CLOSE = (b'connection', b'close')
_REASON_PHRASES = {
    status.value: status.phrase.encode() for status in HTTPStatus
}


class _DateHeader:
    """The Date header, formatted at most once a second."""

    def __init__(self) -> None:
        self._second = 0
        self._header = (b'date', b'')

    def at(self, wall_s: float) -> tuple[bytes, bytes]:
        """Return the header for the wall time, in seconds."""
        if int(wall_s) != self._second:
            self._second = int(wall_s)
            text = formatdate(self._second, usegmt=True)
            self._header = (b'date', text.encode())
        return self._header


_DATE = _DateHeader()


class CallerExchange:
    """Reads the body of one request and writes its answer."""

    def __init__(
        self,
        connection: 'CallerConnection',
        request: h11.Request,
        headers: Headers,
    ) -> None:
        """Serve a request whose head has been read."""
        self.scope = trio.CancelScope()
        self._is_abandoned = False
        self._connection = connection
        self._h11 = connection.h11
        self._request = request
        self._headers = headers
        self._pending = b''
        self._answer_has_body = True
        # The end of a request without a body is read now. A body is read on
        # demand, so that a caller that is refused need not send it.
        self._is_read = not _request_has_body(headers) and self._read_end()
        self._is_delivered = False
        self._is_started = False
        self._is_complete = False

    @property
    def is_read(self) -> bool:
        """Whether the request has been read to its end."""
        return self._is_read

    @property
    def is_started(self) -> bool:
        """Whether the answer has begun."""
        return self._is_started

    @property
    def is_complete(self) -> bool:
        """Whether the complete answer has been sent."""
        return self._is_complete

    @property
    def can_probe(self) -> bool:
        """Whether an interim answer may be sent now."""
        if not self._is_read or self._is_started:
            return False
        return self._request.http_version == b'1.1'

    def abandon(self) -> None:
        """Cancel the request of a caller that has disconnected.

        Shielded work continues; anything it sends is discarded.
        """
        self._is_abandoned = True
        self.scope.cancel()

    def asgi_scope(self) -> Message:
        """Return the ASGI scope of the request."""
        request = self._request
        path, _, query = request.target.partition(b'?')
        return {
            'type': 'http',
            'asgi': {'version': '3.0', 'spec_version': '2.3'},
            'http_version': request.http_version.decode(),
            'method': request.method.decode(),
            'scheme': self._connection.transport.scheme,
            'path': unquote(path.decode('ascii')),
            'raw_path': path,
            'query_string': query,
            'root_path': '',
            'headers': self._headers,
            'client': self._connection.transport.peer,
            'server': None,
            'extensions': {},
            'state': {},
        }

    async def receive(self) -> Message:
        """Return the next ASGI message, with all of the body that arrived.

        Raises CallerDisconnectedError, SlowBodyError and MalformedBodyError.
        After the body it blocks instead of returning `http.disconnect`, as a
        disconnect cancels the scope.
        """
        if self._is_delivered:
            await trio.sleep_forever()
        body = b'' if self._is_read else self._read_arrived()
        while not body and not self._is_read:
            await self._read_more()
            body = self._read_arrived()
        self._is_delivered = self._is_read
        more = not self._is_read
        return {'type': 'http.request', 'body': body, 'more_body': more}

    async def send(self, message: Message) -> None:
        """Write a part of the answer; cancel the scope on a disconnect."""
        if message['type'] == 'http.response.start':
            self._start(message['status'], list(message.get('headers', ())))
            return
        body = message.get('body', b'')
        if not self._answer_has_body:
            body = b''
        if body:
            self._pending += self._h11.send(h11.Data(data=body))
        is_last = not message.get('more_body', False)
        if is_last:
            self._pending += self._h11.send(h11.EndOfMessage())
        await self._flush()
        self._is_complete = is_last and not self._is_abandoned

    def _start(self, status: int, headers: Headers) -> None:
        self._is_started = True
        self._answer_has_body = (
            self._request.method != b'HEAD' and status not in BODILESS_STATUSES
        )
        if not any(name.lower() == b'date' for name, _ in headers):
            headers.append(_DATE.at(time.time()))
        if self._connection.is_stopping or not self._is_read:
            headers.append(_CLOSE)
        self._pending = self._h11.send(
            h11.Response(
                status_code=status,
                headers=headers,
                reason=_REASON_PHRASES.get(status, b''),
            ),
        )

    async def _flush(self) -> None:
        pending = self._pending
        self._pending = b''
        if not pending or self._is_abandoned:
            return
        try:
            await self._connection.write(pending)
        except CallerDisconnectedError:
            self.abandon()

    def _read_arrived(self) -> bytes:
        chunks = []
        while True:
            event = self._next_event()
            if event is h11.NEED_DATA:
                break
            if not isinstance(event, h11.Data):
                # Trailers are dropped: they may contain the caller's key.
                self._is_read = True
                break
            chunks.append(event.data)
        return b''.join(chunks)

    def _read_end(self) -> bool:
        return isinstance(self._next_event(), h11.EndOfMessage)

    def _next_event(self) -> h11.Event:
        try:
            return self._h11.next_event()
        except h11.RemoteProtocolError as error:
            if self._connection.read_ahead.has_ended:
                raise CallerDisconnectedError(
                    'the caller disconnected before its request was complete',
                ) from error
            raise MalformedBodyError(str(error)) from error

    async def _read_more(self) -> None:
        if self._h11.they_are_waiting_for_100_continue:
            await self._connection.write(self._h11.send(CONTINUE))
        timeout_s = self._connection.limits.body_timeout_s
        with trio.move_on_after(timeout_s) as timeout:
            chunk = await self._connection.read_ahead.take()
        if timeout.cancelled_caught:
            raise SlowBodyError(
                f'no byte of the body arrived for {timeout_s} s'
            )
        self._h11.receive_data(chunk)


def _request_has_body(headers: Headers) -> bool:
    return any(
        name in {b'content-length', b'transfer-encoding'} for name, _ in headers
    )
