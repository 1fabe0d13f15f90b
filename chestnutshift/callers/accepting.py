"""Accepts connections in batches.

On a busy VM one turn of the event loop takes tens of milliseconds. Accepting
one connection a turn would leave new callers waiting for seconds.
"""

import errno
import logging
import socket
from contextlib import suppress

import trio

from chestnutshift.callers.limits import BATCH_MAX

BACKLOG = 512
# Pause after an error that may last, such as a lack of descriptors or memory.
FAILED_PAUSE_S = 0.1
# Errors of the connection that was to be accepted, which is gone by then.
_CONNECTION_ERRNOS = frozenset(
    (
        errno.ECONNABORTED,
        errno.EHOSTDOWN,
        errno.EHOSTUNREACH,
        errno.EINTR,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENONET,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
        errno.EPROTO,
    )
)

logger = logging.getLogger('chestnutshift.http')


class BatchListener:
    """A listening TCP socket from which all waiting connections are taken."""

    def __init__(self, address: str, port: int) -> None:
        """Listen on a numeric address; raises OSError."""
        family = socket.AF_INET6 if ':' in address else socket.AF_INET
        self.socket = socket.create_server(
            (address, port), family=family, backlog=BACKLOG
        )
        self.socket.setblocking(False)

    def close(self) -> None:
        """Stop listening; connections that still wait are reset."""
        self.socket.close()

    async def accept(
        self, batch_max: int = BATCH_MAX
    ) -> list[trio.SocketStream]:
        """Wait for connections and return those that wait, up to batch_max.

        An error is logged; one that may last is followed by a pause.
        """
        accepted: list[trio.SocketStream] = []
        try:
            await trio.lowlevel.wait_readable(self.socket)
            while len(accepted) < batch_max:
                accepted.append(self._accept_one())
        except BlockingIOError:
            return accepted
        except OSError as error:
            if error.errno not in _CONNECTION_ERRNOS and not accepted:
                logger.warning('no connection can be accepted: %s', error)
                await trio.sleep(FAILED_PAUSE_S)
        return accepted

    def accept_nowait(
        self, batch_max: int = BATCH_MAX
    ) -> list[trio.SocketStream]:
        """Return connections that wait, up to batch_max or an error."""
        accepted: list[trio.SocketStream] = []
        with suppress(OSError):
            while len(accepted) < batch_max:
                accepted.append(self._accept_one())
        return accepted

    def _accept_one(self) -> trio.SocketStream:
        connection, _peer = self.socket.accept()
        connection.setblocking(False)
        return trio.SocketStream(trio.socket.from_stdlib_socket(connection))
