"""Tell an orderly end of a connection from that of a process that crashed.

It matters for answers without a length, which end with their connection. An
upstream that is there reads the rest of the request, or leaves it unread. The
process of one that crashed is gone: what is sent to it is answered with a
reset, though its kernel may have closed the connection as if it had ended
orderly. The kernel reports a reset once, and the task that sends may be told.
"""

import os
import select
import socket
from collections.abc import Callable

import attrs
import trio

# An answer has ended well if the connection is not reset for this long after
# the upstream ended its side and something was sent to it.
RESET_S = 0.25
# While nothing can be sent, the proof is given up after this long.
UNPROVEN_END_MAX_S = 2.0
TICK_S = 0.02


@attrs.define
class SendProgress:
    """What is known of sending on one connection; times are trio's, in seconds.

    written_at is when a send last succeeded, is_streamed whether the request is
    sent in parts, is_sending whether one is under way, and failure how one has
    failed.
    """

    written_at: float
    is_streamed: bool = False
    is_sending: bool = False
    failure: Exception | None = None

    def proves_end(
        self, ended_at: float, now: float, *, is_request_sent: bool
    ) -> bool:
        """Return whether a reset after an end at ended_at would have come.

        After a request that was sent at once, nothing is left to be reset.
        """
        if not self.is_streamed or now - ended_at >= UNPROVEN_END_MAX_S:
            return True
        if is_request_sent:
            return now - self.written_at >= RESET_S
        # A send that does not return is one that the upstream does not read.
        has_tried = self.is_sending or self.written_at > ended_at
        return has_tried and now - max(self.written_at, ended_at) >= RESET_S


def has_reset_arrived(sock: trio.socket.SocketType) -> bool:
    """Return whether the other side has reset the connection.

    It is reported to the task that reads or sends next, all the same.
    """
    poll = select.poll()
    # Errors are reported whatever is asked for.
    poll.register(sock, 0)
    return any(found & select.POLLERR for _, found in poll.poll(0))


async def find_reset(
    progress: SendProgress,
    sock: trio.socket.SocketType,
    is_request_sent: Callable[[], bool],
) -> Exception | None:
    """Wait for a reset after the upstream's end; return it as an exception.

    Returns None if the end was an orderly one.
    """
    ended_at = trio.current_time()
    now = ended_at
    while progress.failure is None and not progress.proves_end(
        ended_at, now, is_request_sent=is_request_sent()
    ):
        await trio.sleep(TICK_S)
        now = trio.current_time()
    if progress.failure is not None:
        return progress.failure
    error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
    return OSError(error, os.strerror(error)) if error else None
