"""What is read and awaited as a connection closes, so its answers arrive."""

from collections.abc import Callable
from contextlib import suppress

import h11
import trio

from chestnutshift.callers.read_ahead import ReadAheadBuffer
from chestnutshift.callers.request_parser import RequestParser
from chestnutshift.callers.transport import CallerTransport

# Period of the checks whether the caller's host has the last answer.
POLL_S = 0.01


async def discard_rest(
    parser: RequestParser,
    read_ahead: ReadAheadBuffer,
    count: Callable[[int], None],
) -> None:
    """Discard and count the rest of the last request, nothing behind it.

    It is all that comes if the request can't be parsed, as its end is unknown.
    """
    with suppress(h11.RemoteProtocolError):
        while parser.their_state is h11.SEND_BODY:
            if parser.next_event() is h11.NEED_DATA:
                chunk = await read_ahead.take()
                count(len(chunk))
                parser.receive_data(chunk)
    if parser.their_state in {h11.IDLE, h11.ERROR}:
        await read_ahead.drain(count)


async def wait_until_delivered(transport: CallerTransport) -> None:
    """Wait until the caller's host has all bytes, or the caller has left."""
    while not (transport.is_acknowledged() or transport.has_reset_arrived):
        await trio.sleep(POLL_S)
