"""Accepts connections in batches.

On a busy VM one turn of the event loop takes tens of milliseconds. Accepting
one connection a turn would leave new callers waiting for seconds.
"""

import errno
import logging
import socket

import trio

BACKLOG = 512
# Connections that are accepted before other tasks run.
BATCH_MAX = 64
# Pause while no descriptor or memory is left for another connection.
EXHAUSTED_PAUSE_S = 0.1
_EXHAUSTED = frozenset(
    (errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ENOBUFS)
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
        """Stop listening; connections that wait are reset."""
        self.socket.close()

    async def accept(self) -> list[trio.SocketStream]:
        """Wait for connections and return those that wait by then."""
        await trio.lowlevel.wait_readable(self.socket)
        accepted: list[trio.SocketStream] = []
        try:
            while len(accepted) < BATCH_MAX:
                accepted.append(self._accept_one())
        except BlockingIOError:
            return accepted
        except OSError as error:
            if error.errno in _EXHAUSTED and not accepted:
                logger.warning('no connection can be accepted: %s', error)
                await trio.sleep(EXHAUSTED_PAUSE_S)
        return accepted

    def _accept_one(self) -> trio.SocketStream:
        connection, _peer = self.socket.accept()
        connection.setblocking(False)
        return trio.SocketStream(trio.socket.from_stdlib_socket(connection))
