"""A caller's body reaches the upstream completely in any framing."""

import json

import trio
from nose2.tools import params
from trio.testing import trio_test

from standins.upstream import UpstreamApp, UpstreamSettings, serve_upstream
from tests.callers.clients import Answer, get
from tests.forwarding.world import AUTHORIZED, World, forwarding

CHUNKED = 'transfer-encoding: chunked'
LENGTH = 'content-length: 5'


async def _post(world: World, framing: str, *pieces: bytes) -> Answer:
    """Return the answer to a POST whose body is sent in these pieces."""
    head = get('/listings/1', AUTHORIZED, framing, method='POST')
    async with world.calling() as caller:
        await caller.send(head + pieces[0])
        for piece in pieces[1:]:
            await trio.sleep(0.02)
            await caller.send(piece)
        return await caller.answer()


@params(
    (CHUNKED, 5, (b'5\r\nhello\r\n0\r\n\r\n',)),
    (CHUNKED, 5, (b'2\r\nhe\r\n', b'3\r\nllo\r\n', b'0\r\n\r\n')),
    (CHUNKED, 0, (b'0\r\n\r\n',)),
    (CHUNKED, 5, (b'5\r\nhello\r\n0\r\nx-trailer: 1\r\n\r\n',)),
    (
        f'{CHUNKED}\r\nconnection: x-hop\r\nx-hop: 1',
        2,
        (b'2\r\nab\r\n0\r\n\r\n',),
    ),
    (LENGTH, 5, (b'hello',)),
    (LENGTH, 5, (b'he', b'llo')),
    ('content-length: 0', 0, (b'',)),
)
def test_body(framing: str, length: int, pieces: tuple[bytes, ...]) -> None:
    """Chunked or with a length, in pieces or not, empty, with trailers."""
    _check_body(framing, length, pieces)


@trio_test
async def _check_body(
    framing: str,
    length: int,
    pieces: tuple[bytes, ...],
) -> None:
    async with trio.open_nursery() as nursery, forwarding() as world:
        app = UpstreamApp(UpstreamSettings('one', 'listings', '127.0.0.1', 0))
        world.add(await nursery.start(serve_upstream, app, trio.Event()))
        answer = await _post(world, framing, *pieces)
        assert answer.status == 200, answer.body
        echo = json.loads(answer.body)
        assert echo['body_length'] == length, echo
        nursery.cancel_scope.cancel()
