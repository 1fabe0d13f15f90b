"""Bodies that come in a great many tiny chunks."""

from collections import Counter
from unittest.mock import Mock

import h11
import trio
from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.callers.body_reader import BodyReader
from chestnutshift.conf import defaults
from chestnutshift.upstreams.chunk_pace import (
    BATCH_PAUSE_S,
    FREE_BATCHES,
    ChunkPace,
)
from chestnutshift.upstreams.connection import (
    ConnectionOptions,
    OutboundRequest,
    UpstreamAnswer,
    UpstreamConnection,
)
from tests.virtual_time import in_virtual_time

HEAD = b'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n'
CHUNK = b'1\r\nx\r\n'
LAST_CHUNK = b'0\r\n\r\n'
REQUEST = OutboundRequest(b'GET', b'/', [(b'host', b'h')])
TIMEOUT_S = 10.0


async def _begin(
    stream: trio.SocketStream,
) -> tuple[UpstreamConnection, UpstreamAnswer]:
    """Send a request; return the connection, and the head of the answer."""
    connection = UpstreamConnection(stream, ConnectionOptions())
    await connection.send_buffered(REQUEST, b'')
    return connection, await connection.receive_answer(b'GET')


async def _connected() -> tuple[trio.SocketStream, trio.SocketStream]:
    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listeners[0].socket.getsockname()[1]
    near = await trio.open_tcp_stream('127.0.0.1', port)
    far = await listeners[0].accept()
    await listeners[0].aclose()
    return near, far


# CONFIG: an answer in one-byte chunks without end kept the event loop busy with
# all that a read had brought, some 11,000 chunks; no other request got on.
@trio_test
async def test_one_step_takes_some_chunks() -> None:
    """A part has no more than the bound, whatever has arrived."""
    near, far = await _connected()
    async with near, far:
        await far.send_all(HEAD + CHUNK * 4000)
        _, answer = await _begin(near)
        parts = [answer.receive_nowait()]
        with trio.fail_after(TIMEOUT_S):
            while sum(len(part.content) for part in parts) < 4000:
                parts.append(await answer.receive())
        longest_b = max(len(part.content) for part in parts)
        assert longest_b == defaults.CHUNKS_AT_ONCE


# Guards against a sound answer in tiny chunks that is cut or never ends.
@params(1, 255, 256, 257, 512, 20_000)
@trio_test
async def test_whole_answer_in_tiny_chunks(count: int) -> None:
    """It is delivered whole, and the connection can be used again."""
    near, far = await _connected()
    async with near, far, trio.open_nursery() as nursery:
        nursery.start_soon(far.send_all, HEAD + CHUNK * count + LAST_CHUNK)
        connection, answer = await _begin(near)
        with trio.fail_after(TIMEOUT_S):
            part = answer.receive_nowait()
            content = part.content
            while not part.is_last:
                part = await answer.receive()
                content += part.content
        assert content == b'x' * count
        assert connection.reset_for_reuse()


# CONFIG: two or three such answers at a time left the event loop no time.
@in_virtual_time
async def test_endless_answers_take_turns() -> None:
    """All of them together parse a batch between two pauses."""
    batches = Counter()

    async def parse(number: int) -> None:
        pace = ChunkPace()
        for _ in range(FREE_BATCHES):
            await pace.wait()
        while True:
            await pace.wait()
            batches[number] += 1

    with trio.move_on_after(1):
        async with trio.open_nursery() as nursery:
            for number in range(3):
                nursery.start_soon(parse, number)
    assert 0 < batches.total() <= 1 / BATCH_PAUSE_S
    assert max(batches.values()) - min(batches.values()) <= 1


# CONFIG: a caller's body may come in the same way.
def test_body_of_a_request_in_tiny_chunks() -> None:
    """A message of it has no more chunks than the bound."""
    parser = h11.Connection(h11.SERVER)
    parser.receive_data(
        b'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n'
    )
    headers = parser.next_event().headers
    parser.receive_data(CHUNK * 1000 + LAST_CHUNK)
    body = BodyReader(Mock(), parser, list(headers))

    async def read() -> None:
        lengths_b = []
        while not body.is_read:
            message = await body.receive()
            lengths_b.append(len(message['body']))
        assert sum(lengths_b) == 1000
        assert max(lengths_b) == defaults.CHUNKS_AT_ONCE

    trio.run(read)
