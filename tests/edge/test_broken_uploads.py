"""Answers that are none, and answers that break off."""

import copy
import socket
from contextlib import AbstractAsyncContextManager, suppress

import attrs
import h11
import trio
from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.steering.upstreams import Condition
from chestnutshift.upstreams.connection import RESET_ON_CLOSE
from tests.callers.clients import Answer, Caller, calling
from tests.edge.stand_ins import REQUEST_ID
from tests.edge.world import BOOK, SEARCH, World, running_edge_at, until
from tests.platform.samples import ROUTE_TABLE
from tests.processes.world import raw_head

READ_B = 65_536
UPLOAD_B = 2_600_000
CHUNK_B = 65_536
# More than a VM buffers of an answer, so that it is streamed to the caller.
STREAMED_B = 6_000_000
HTTP_BAD_GATEWAY = 502
HTTP_GATEWAY_TIMEOUT = 504
SEAL = 'x-chestnutshift-server-seal'
_HEAD = (
    b'HTTP/1.%d %b\r\nx-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-server-seal: s\r\n%b\r\n'
)
_CHECK = b'HTTP/1.1 %b\r\ncontent-length: 0\r\n\r\n'


async def _reset(stream: trio.SocketStream) -> None:
    stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    stream.socket.close()
    raise trio.BrokenResourceError


@attrs.define
class RawUpstream:
    """An upstream that writes its answers itself.

    It answers as soon as it has read a head, with the body, and resets the
    connection after reset_s, None for never; it reads on until then if reads.
    check has the status with which it answers health checks.
    """

    status: bytes = b'200 OK'
    headers: bytes = b''
    body: bytes = b''
    minor: int = 1
    reset_s: float | None = None
    reads: bool = False
    check: bytes = b'200 OK'

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while received := await stream.receive_some(READ_B):
                    await self._answer(stream, received)

    async def _answer(self, stream: trio.SocketStream, received: bytes) -> None:
        named = REQUEST_ID.search(received)
        if named is None and received.startswith(b'GET '):
            await stream.send_all(_CHECK % self.check)
        if named is None:
            return
        head = _HEAD % (self.minor, self.status, named[1], self.headers)
        await stream.send_all(head + self.body)
        if self.reset_s is None:
            return
        with trio.move_on_after(self.reset_s):
            while self.reads:
                await stream.receive_some(READ_B)
            await trio.sleep_forever()
        await _reset(stream)


def _running(upstream: RawUpstream) -> AbstractAsyncContextManager[World]:
    """Run a VM that takes uploads for one service only."""
    routes = copy.deepcopy(ROUTE_TABLE['routes'])
    book = routes['rows'][1]
    book[routes['cols'].index('split')] = None
    book[routes['cols'].index('service')] = 's1'
    book[routes['cols'].index('home_regions')] = []
    limits = {'max_body_bytes': 2 * UPLOAD_B}
    return running_edge_at(upstream.serve, routes=routes, limits=limits)


def _upload(minor: int = 1, *, is_chunked: bool = False) -> bytes:
    framing = ('content-length', str(UPLOAD_B))
    if is_chunked:
        framing = ('transfer-encoding', 'chunked')
    return raw_head('POST', BOOK, framing).replace(
        b'HTTP/1.1', b'HTTP/1.%d' % minor, 1
    )


async def _until_proven(world: World) -> None:
    """Wait until a health check has proven the upstream again."""
    known = next(iter(world.state.directory))
    await until(lambda: known.condition is Condition.READY)


async def _send_body(caller: Caller, is_chunked: bool) -> None:
    """Send the body slowly, until the VM reads no more."""
    with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
        for _ in range(UPLOAD_B // CHUNK_B):
            chunk = b'd' * CHUNK_B
            if is_chunked:
                chunk = b'%x\r\n%b\r\n' % (CHUNK_B, chunk)
            await caller.send(chunk)
            await trio.sleep(0.005)


async def _answer_to_upload(
    world: World, minor: int = 1, *, is_chunked: bool = False
) -> Answer | None:
    """Return the complete answer to an upload, None for none."""
    async with calling(world.state.settings.callers.port) as caller:
        await caller.send(_upload(minor, is_chunked=is_chunked))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_send_body, caller, is_chunked)
            try:
                answer = await caller.answer(b'POST')
            except (trio.BrokenResourceError, h11.RemoteProtocolError):
                answer = None
            nursery.cancel_scope.cancel()
    return answer


# MIXED: an answer whose status is none of HTTP was passed on as the upstream's.
@params(
    b'000 No', b'0 No', b'20 No', b'099 No', b'600 No', b'999 No', b'1000 No',
    b'2000 OK', b'-20 OK', b'2x0 OK', b' 200 OK', b'\xd9\xa2\xd9\xa0 x',
)  # fmt: skip
@trio_test
async def test_status_that_is_none_of_http(status: bytes) -> None:
    """The caller learns that the request may have run, and no more."""
    upstream = RawUpstream(status, b'content-length: 4\r\n', b'body')
    async with _running(upstream) as world:
        answers = []
        for method, path in (('GET', SEARCH), ('POST', BOOK)):
            head = raw_head(method, path, ('content-length', '0'))
            async with calling(world.state.settings.callers.port) as caller:
                await caller.send(head)
                answers.append(await caller.answer())
            await _until_proven(world)
        answers.append(await _answer_to_upload(world))
        for answer in answers:
            assert answer.status == HTTP_BAD_GATEWAY
            assert SEAL not in answer.headers
            assert answer.body != b'body'


# MIXED: an interim answer is none, however long the final one takes.
@trio_test
async def test_interim_answer_alone() -> None:
    """The deadline ends the request."""
    upstream = RawUpstream(b'199 Soon', b'content-length: 4\r\n', b'body')
    async with _running(upstream) as world:
        async with calling(world.state.settings.callers.port) as caller:
            await caller.send(raw_head('GET', SEARCH))
            answer = await caller.answer()
    assert answer.status in {HTTP_BAD_GATEWAY, HTTP_GATEWAY_TIMEOUT}
    assert SEAL not in answer.headers


# MIXED: a health check of such a status would prove an upstream.
@params(b'000 No', b'600 No', b'999 No')
@trio_test
async def test_health_check_without_a_status(status: bytes) -> None:
    """It proves nothing."""
    upstream = RawUpstream(b'600 No', reset_s=0, check=status)
    async with _running(upstream) as world:
        known = next(iter(world.state.directory))
        await _answer_to_upload(world)
        await until(lambda: known.condition is Condition.UNPROVEN)
        await trio.sleep(1)
        assert known.condition is Condition.UNPROVEN


# MIXED: a part of an early answer without a length, whose connection was reset
# while the upload was still written, looked like a whole answer.
@params(
    (0, False), (0, True), (0.02, False), (0.02, True), (0.3, False),
    (0.3, True),
)  # fmt: skip
@trio_test
async def test_early_answer_that_is_reset(reset_s: float, reads: bool) -> None:
    """No caller gets it, in whatever version and framing."""
    for minor in (0, 1):
        upstream = RawUpstream(
            body=b'p' * 4000, minor=minor, reset_s=reset_s, reads=reads
        )
        async with _running(upstream) as world:
            for is_chunked in (False, True):
                answer = await _answer_to_upload(world, is_chunked=is_chunked)
                assert answer is None or answer.status == HTTP_BAD_GATEWAY
                await _until_proven(world)
            answer = await _answer_to_upload(world, minor=0)
            assert answer is None or answer.status == HTTP_BAD_GATEWAY


# MIXED: to a caller of HTTP/1.0 the end of the connection is the end of an
# answer; one that breaks off midway must end in a reset.
@params(0, 1)
@trio_test
async def test_streamed_answer_that_is_reset(minor: int) -> None:
    """The caller sees that it is not whole."""
    upstream = RawUpstream(body=b'p' * STREAMED_B, reset_s=0.1)
    async with _running(upstream) as world:
        async with calling(world.state.settings.callers.port) as caller:
            head = raw_head('GET', SEARCH)
            await caller.send(head.replace(b'HTTP/1.1', b'HTTP/1.%d' % minor))
            content = b''
            try:
                content = await caller.read_end()
            except trio.BrokenResourceError:
                return
        assert content.startswith(b'HTTP/1.1 50')


# MIXED: resets in the head, and between the head and the body.
@params(b'200 OK\r\nx-a', b'200 OK')
@trio_test
async def test_reset_before_the_body(status: bytes) -> None:
    """Neither is an answer."""
    upstream = RawUpstream(status, reset_s=0.05)
    async with _running(upstream) as world:
        async with calling(world.state.settings.callers.port) as caller:
            await caller.send(raw_head('GET', SEARCH))
            assert (await caller.answer()).status == HTTP_BAD_GATEWAY
        await _until_proven(world)
        answer = await _answer_to_upload(world)
        assert answer is None or answer.status == HTTP_BAD_GATEWAY


# MIXED: HEAD, 204 and 304 have no body, with a length or without.
@params(('HEAD', b'200 OK'), ('GET', b'204 No'), ('GET', b'304 No'))
@trio_test
async def test_answers_that_have_no_body(method: str, status: bytes) -> None:
    """They are whole with their head, and their connection goes on."""
    upstream = RawUpstream(status)
    async with _running(upstream) as world:
        async with calling(world.state.settings.callers.port) as caller:
            for _ in range(2):
                await caller.send(raw_head(method, SEARCH))
                answer = await caller.answer(method.encode())
                assert answer.status == int(status[:3])
                assert not answer.body
                assert SEAL in answer.headers
