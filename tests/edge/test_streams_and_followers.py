"""Requests that are sent behind a long answer on one connection."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import attrs
import trio
from trio.testing import trio_test

from chestnutshift.edge.attempts import ANSWER_BUFFER_B
from tests.callers.clients import calling, get
from tests.edge.stand_ins import REQUEST_ID
from tests.edge.world import World, running_edge_at, until

LENGTH_B = ANSWER_BUFFER_B + 200_000
SENT_B = ANSWER_BUFFER_B + 100_000
DOWNLOAD = '/a/download'
FOLLOWERS = ('/a/2', '/a/3', '/a/4')
HEAD = (
    b'HTTP/1.1 200 OK\r\nx-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-server-seal: s\r\ncontent-length: %d\r\n\r\n%b'
)


@attrs.define
class DownloadUpstream:
    """An upstream that breaks a download off when the test says so.

    received are the targets of requests, in order.
    """

    received: list[bytes] = attrs.field(factory=list)
    breaks: trio.Event = attrs.field(factory=trio.Event)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            while received := await stream.receive_some(65_536):
                self.received.append(received.split(b' ')[1])
                request_id = REQUEST_ID.search(received)[1]
                if DOWNLOAD.encode() not in received:
                    await stream.send_all(HEAD % (request_id, 4, b'body'))
                    continue
                begun = b'd' * SENT_B
                await stream.send_all(HEAD % (request_id, LENGTH_B, begun))
                await self.breaks.wait()
                return


@asynccontextmanager
async def _download_world() -> AsyncIterator[tuple[World, DownloadUpstream]]:
    upstream = DownloadUpstream()
    async with running_edge_at(upstream.serve) as world:
        yield world, upstream


def _request(target: str) -> bytes:
    return get(
        target,
        f'x-chestnutshift-request-id: r{target.replace("/", "-")}',
        'authorization: Token k1',
    ).replace(b'host: test', b'host: one.example')


# LOST: requests behind a download were sent on, and lost with it when its
# upstream crashed midway.
@trio_test
async def test_requests_sent_with_a_download() -> None:
    """They are answered, and the download that breaks off is refused."""
    async with _download_world() as (world, upstream):
        async with calling(world.state.settings.callers.port) as caller:
            await caller.send(b''.join(map(_request, (DOWNLOAD, *FOLLOWERS))))
            await until(lambda: len(upstream.received) > len(FOLLOWERS))
            upstream.breaks.set()
            assert (await caller.answer()).status == 502
            for _ in FOLLOWERS:
                assert (await caller.answer()).body == b'body'


@trio_test
async def test_requests_sent_amid_a_download() -> None:
    """They are not sent on while it lasts, so none is lost with it."""
    async with _download_world() as (world, upstream):
        async with calling(world.state.settings.callers.port) as caller:
            await caller.send(_request(DOWNLOAD))
            begun = await caller.stream.receive_some(1)
            assert begun == b'H'
            await caller.send(b''.join(map(_request, FOLLOWERS)))
            await trio.sleep(0.2)
            assert upstream.received == [DOWNLOAD.encode()]
