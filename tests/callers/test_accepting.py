"""Connections that wait while a VM is busy are accepted together."""

import errno
import socket
from contextlib import ExitStack, closing
from unittest.mock import patch

from trio.testing import trio_test

from chestnutshift.callers.accepting import BATCH_MAX, BatchListener

ADDRESS = '127.0.0.1'


def _connect(stack: ExitStack, listener: BatchListener) -> None:
    stack.enter_context(socket.create_connection(listener.socket.getsockname()))


# CONFIG: new connections of a busy VM waited for seconds, as it accepted one in
# each turn of its event loop.
@trio_test
async def test_waiting_connections_come_in_one_turn() -> None:
    """They are accepted up to a bound, and the rest with the next turn."""
    with closing(BatchListener(ADDRESS, 0)) as listener, ExitStack() as stack:
        for _ in range(BATCH_MAX + 5):
            _connect(stack, listener)
        for expected in (BATCH_MAX, 5):
            streams = await listener.accept()
            assert len(streams) == expected
            for stream in streams:
                await stream.aclose()


@trio_test
async def test_errors_do_not_end_the_listener() -> None:
    """It goes on after a caller that has gone, and without descriptors."""
    with closing(BatchListener(ADDRESS, 0)) as listener, ExitStack() as stack:
        _connect(stack, listener)
        for number in (errno.ECONNABORTED, errno.EMFILE):
            with patch.object(
                listener, '_accept_one', side_effect=OSError(number, '')
            ):
                assert await listener.accept() == []
        streams = await listener.accept()
        assert len(streams) == 1
        await streams[0].aclose()
