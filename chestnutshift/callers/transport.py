"""The byte stream to one caller, and how it ends."""

import errno
import socket
import struct

import trio

from chestnutshift.forwarding.requests import CallerGoneError
from chestnutshift.upstreams.connection import watch_path

# Closing with no linger time resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_DISCONNECT_ERRNOS = frozenset((errno.EPIPE, errno.ECONNRESET, errno.ETIMEDOUT))

CallerStream = trio.SocketStream | trio.SSLStream


class CallerTransport:
    """A stream to a caller, with or without TLS."""

    def __init__(self, stream: CallerStream) -> None:
        """Take over a stream that was just accepted."""
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
        """Address and port of the caller."""
        return self._peer

    @property
    def is_gone(self) -> bool:
        """Whether a caller that ended its side is gone altogether.

        TLS has no half-closed connections in practice.
        """
        if self._is_tls:
            return True
        failure = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        return failure in _DISCONNECT_ERRNOS

    def open(self) -> None:
        """Prepare the socket; raises OSError if the caller is gone."""
        watch_path(self._socket)
        self._peer = self._socket.getpeername()[:2]

    async def send(self, content: bytes) -> None:
        """Send bytes; raises CallerGoneError."""
        try:
            await self.stream.send_all(content)
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError('the caller closed') from error

    async def send_end(self) -> None:
        """End the sending side; raises CallerGoneError."""
        try:
            await self._send_end()
        except (trio.BrokenResourceError, trio.ClosedResourceError) as error:
            raise CallerGoneError('the caller closed') from error

    def close(self) -> None:
        """Release the socket."""
        self._socket.close()

    def reset(self) -> None:
        """Close so that the caller sees an error, never an end."""
        if self._socket.fileno() < 0:
            return
        self._socket.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            _RESET_ON_CLOSE,
        )
        self._socket.close()

    async def _send_end(self) -> None:
        if self._is_tls:
            await self.stream.aclose()
            return
        await self.stream.send_eof()
