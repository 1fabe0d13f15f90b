"""The byte stream to one caller: sending, closing and resetting."""

import errno
import fcntl
import select
import socket
import struct
import termios

import trio

from chestnutshift.forwarding.requests import CallerDisconnectedError
from chestnutshift.upstreams.connection import enable_tcp_keepalive

# SO_LINGER with a time of 0 s: closing the socket resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# A caller that acknowledges nothing for this long is gone. Bytes that it leaves
# unread count as unacknowledged to the kernel, so it may pause as long.
UNACKNOWLEDGED_MS = 30_000
_INT = struct.pack('i', 0)
_DISCONNECT_ERRNOS = frozenset((errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT))

CallerStream = trio.SocketStream | trio.SSLStream


class CallerTransport:
    """A stream to a caller, with or without TLS."""

    def __init__(self, stream: CallerStream) -> None:
        """Use a stream that was just accepted."""
        self.stream = stream
        self._is_tls = isinstance(stream, trio.SSLStream)
        transport = stream.transport_stream if self._is_tls else stream
        self._socket = transport.socket
        self._peer = ('', 0)

    @property
    def scheme(self) -> str:
        """The scheme of the URLs that this stream serves."""
        return 'https' if self._is_tls else 'http'

    @property
    def peer(self) -> tuple[str, int]:
        """The address and port of the caller."""
        return self._peer

    @property
    def is_disconnected(self) -> bool:
        """Whether a caller that closed its sending side has disconnected.

        Callers don't half-close TLS connections in practice.
        """
        if self._is_tls:
            return True
        failure = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return failure in _DISCONNECT_ERRNOS

    @property
    def is_closed(self) -> bool:
        """Whether the socket is closed here."""
        return self._socket.fileno() < 0

    @property
    def has_end_arrived(self) -> bool:
        """Whether the caller's end of the stream, or a reset, has arrived.

        Bytes before the end may still be unread.
        """
        return self._has_arrived(select.POLLRDHUP)

    @property
    def has_reset_arrived(self) -> bool:
        """Whether the caller has reset the connection."""
        return self._has_arrived(0)

    def is_readable(self) -> bool:
        """Return whether unread bytes, or the end, have arrived."""
        return self._has_arrived(select.POLLIN)

    def is_acknowledged(self) -> bool:
        """Return whether the caller's host has all bytes that were sent."""
        if self._is_tls:
            return False
        try:
            unsent = fcntl.ioctl(self._socket.fileno(), termios.TIOCOUTQ, _INT)
        except OSError:
            return False
        return unsent == _INT

    def open(self) -> None:
        """Prepare the socket; raise OSError if the caller disconnected."""
        enable_tcp_keepalive(self._socket, UNACKNOWLEDGED_MS)
        self._peer = self._socket.getpeername()[:2]

    async def send(self, content: bytes) -> None:
        """Send bytes; raises CallerDisconnectedError."""
        try:
            await self.stream.send_all(content)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnectedError('the caller disconnected') from error

    async def send_end(self) -> None:
        """Close the sending side; raises CallerDisconnectedError."""
        try:
            await self._send_end()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerDisconnectedError('the caller disconnected') from error

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def reset(self) -> None:
        """Reset the connection, so that the caller gets an error."""
        if self.is_closed:
            return
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
        self._socket.close()

    def _has_arrived(self, events: int) -> bool:
        """Return whether one of the events, or a reset, has arrived."""
        if self.is_closed:
            return True
        poll = select.poll()
        poll.register(self._socket, events)
        return bool(poll.poll(0))

    async def _send_end(self) -> None:
        if self._is_tls:
            await self.stream.aclose()
            return
        await self.stream.send_eof()
