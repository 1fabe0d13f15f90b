"""One request and its answer on a caller's connection, as ASGI messages."""

import time
from collections.abc import Sequence
from email.utils import formatdate
from functools import partial
from http import HTTPStatus
from typing import TYPE_CHECKING, Any
from urllib.parse import unquote

import h11
import trio

from chestnutshift.callers.answer_length import AnswerLength
from chestnutshift.callers.body_reader import BodyReader
from chestnutshift.callers.request_parser import RequestParser
from chestnutshift.callers.unanswered import UnansweredExchanges
from chestnutshift.forwarding.requests import CallerDisconnectedError, Headers

if TYPE_CHECKING:
    from chestnutshift.callers.connection import CallerConnection
    from chestnutshift.callers.request_reader import RequestHead

Message = dict[str, Any]

# The name of the ASGI extension that waits until all earlier requests of the
# connection are answered. If an earlier answer closes the connection, callers
# send the requests behind it again, so one that must not run twice waits.
TURN_EXTENSION = 'chestnutshift.turn'
# The name of the ASGI extension that tells whether the caller has left. The
# request is cancelled then too, but later at a VM that is behind.
DEPARTURE_EXTENSION = 'chestnutshift.departure'
# The name of the ASGI extension that waits until no earlier answer of the
# connection is or may be streamed. If one breaks off, the connection is reset,
# and the requests behind it are lost: they must not have been sent on.
STREAM_EXTENSION = 'chestnutshift.stream'
# The name of the ASGI extension that sets whether the answer may be too long
# to buffer, so that it is streamed. Requests behind it wait for its end.
LONG_EXTENSION = 'chestnutshift.long'
# The name of the ASGI extension that tells whether later requests of the
# connection are being served, so that a stream that breaks off loses them.
FOLLOWED_EXTENSION = 'chestnutshift.followed'
# The name of the ASGI extension that waits until the answer is written. Its
# application then knows that nothing of it is held any more.
WRITTEN_EXTENSION = 'chestnutshift.written'
# The name of the ASGI extension that tells whether bytes of the answer were
# handed to the connection. Until then another answer can take its place.
BEGUN_EXTENSION = 'chestnutshift.begun'
# The name of the ASGI extension that discards what has arrived of a body that
# nobody reads any more. If that is all, the connection can go on.
DISCARD_EXTENSION = 'chestnutshift.discard'
# The name of the ASGI extension that sets the cancel scope of the work on the
# request. It is cancelled as the VM ends what is in progress; the application
# then refuses the request. Without one the connection is reset.
WORK_EXTENSION = 'chestnutshift.work'

BODILESS_STATUSES = frozenset((204, 304))
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
    """Reads the body of one request and writes its answer in its turn.

    done is set once the answer is complete, or has failed. has_begun tells
    whether bytes of the answer were handed to the connection.
    """

    def __init__(
        self,
        connection: 'CallerConnection',
        parser: RequestParser,
        head: 'RequestHead',
        previous: trio.Event | None,
        unanswered: UnansweredExchanges,
    ) -> None:
        """Serve a request whose head has been read.

        previous is set once the request before it is done, None if it is.
        unanswered has the requests of the connection.
        """
        self._unanswered = unanswered
        self.scope = trio.CancelScope()
        self.done = trio.Event()
        self.has_begun = False
        self.length = AnswerLength()
        # The scope of the application's work, if it has set one.
        self.work: trio.CancelScope | None = None
        self._previous = previous
        self._is_abandoned = False
        self._connection = connection
        # The parser of the request also formats its answer.
        self.parser = parser
        self._request = head.request
        self._headers = head.headers
        # Parts of the answer that wait for its turn.
        self._held: list[Message] = []
        self._pending = b''
        self._answer_has_body = True
        self._body = BodyReader(connection, parser, head.headers)
        self._is_streaming = False
        self._is_complete = False

    @property
    def is_read(self) -> bool:
        """Whether the request has been read to its end."""
        return self._body.is_read

    @property
    def is_streaming(self) -> bool:
        """Whether the answer has begun, and its end is not known yet."""
        return self._is_streaming

    @property
    def is_complete(self) -> bool:
        """Whether the complete answer has been sent."""
        return self._is_complete

    @property
    def can_probe(self) -> bool:
        """Whether an interim answer may be sent now."""
        if not self.is_read or self.has_begun:
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
            'extensions': {
                TURN_EXTENSION: self.wait_for_turn,
                DEPARTURE_EXTENSION: self.has_caller_left,
                STREAM_EXTENSION: partial(
                    self._unanswered.wait_for_streams, self
                ),
                FOLLOWED_EXTENSION: partial(self._unanswered.is_followed, self),
                WRITTEN_EXTENSION: self.write_held,
                BEGUN_EXTENSION: lambda: self.has_begun,
                DISCARD_EXTENSION: self._body.discard_arrived,
                WORK_EXTENSION: partial(setattr, self, 'work'),
                LONG_EXTENSION: self.length.set,
            },
            'state': {},
        }

    async def receive(self) -> Message:
        """Return the next ASGI message, see BodyReader.receive."""
        return await self._body.receive()

    async def send(self, message: Message) -> None:
        """Write a part of the answer; cancel the scope on a disconnect.

        The head is written with the first part of the body. A complete answer
        whose turn has not come is held for write_held.
        """
        if message['type'] == 'http.response.start':
            if not self.has_begun:
                # It replaces an answer of which nothing was sent.
                self._held.clear()
            self._held.append(message)
            self._is_streaming = True
            return
        self._held.append(message)
        self._is_streaming = message.get('more_body', False)
        if self._previous is None or self._is_streaming:
            await self.write_held()

    async def write_held(self, substitute: Sequence[Message] = ()) -> None:
        """Wait for the turn, and write the parts held or their substitute."""
        await self.wait_for_turn()
        await self._connection.disconnect_monitor.wait_for_probe()
        # From here to the first byte nothing may be cancelled: what the parser
        # has formatted can't be replaced.
        await trio.lowlevel.checkpoint_if_cancelled()
        self._held = list(substitute) or self._held
        while self._held:
            await self._write(self._held.pop(0))

    def has_caller_left(self) -> bool:
        """Return whether the caller has disconnected."""
        return self._connection.disconnect_monitor.has_caller_left

    async def wait_for_turn(self) -> None:
        """Wait until all earlier requests of the connection are answered."""
        if self._previous is not None:
            await self._previous.wait()
            self._previous = None

    async def _write(self, message: Message) -> None:
        if message['type'] == 'http.response.start':
            self._start(message['status'], list(message.get('headers', ())))
            return
        body = message.get('body', b'')
        if not self._answer_has_body:
            body = b''
        if body:
            self._pending += self.parser.send(h11.Data(data=body))
        is_last = not message.get('more_body', False)
        if is_last:
            self._pending += self.parser.send(h11.EndOfMessage())
        await self._flush()
        self._is_complete = is_last and not self._is_abandoned

    def _start(self, status: int, headers: Headers) -> None:
        self._answer_has_body = (
            self._request.method != b'HEAD' and status not in BODILESS_STATUSES
        )
        if not any(name.lower() == b'date' for name, _ in headers):
            headers.append(_DATE.at(time.time()))
        if self._connection.close_after(self) or not self.is_read:
            headers.append(_CLOSE)
        self._pending = self.parser.send(
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
        self.has_begun = True
        try:
            await self._connection.write(pending)
        except CallerDisconnectedError:
            self.abandon()
