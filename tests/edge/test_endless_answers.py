"""Upstreams whose bytes do not end until the connection is closed."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from unittest.mock import patch

import attrs
import httpx
import trio
from trio.testing import trio_test

from chestnutshift.edge import attempts
from tests.callers.clients import get
from tests.edge.stand_ins import REQUEST_ID
from tests.edge.world import (
    RAW_UPSTREAM,
    SEARCH,
    World,
    running_edge_at,
    until,
)

HEAD = (
    b'HTTP/1.1 %b\r\nx-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-server-seal: s\r\n%b\r\n'
)
NOT_RUN = b'x-chestnutshift-not-executed: 1\r\n'
BLOCK = b'x' * 65_536
# The sample route's timeout is 1.5 s; an end in less is one by a bound.
BOUND_S = 1.0
# What the kernel's buffers of two connections may hold; 0.4 s bring more.
BUFFERS_MAX_B = 40_000_000


@attrs.define
class EndlessUpstream:
    """An upstream that answers each request with a head and endless bytes.

    Of requests, status and headers make the head, none is sent if status is
    empty; sent_b counts the bytes of the newest answer, closed the connections
    that ended.
    """

    status: bytes
    headers: bytes
    block: bytes
    sent_b: int = 0
    closed: int = 0

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            received = await stream.receive_some(65_536)
            named = REQUEST_ID.search(received)
            request_id = named[1] if named else b''
            head = HEAD % (self.status, request_id, self.headers)
            self.sent_b = 0
            try:
                if self.status:
                    await stream.send_all(head)
                while True:
                    await stream.send_all(self.block)
                    self.sent_b += len(self.block)
            except trio.BrokenResourceError:
                self.closed += 1


@asynccontextmanager
async def endless_world(
    status: bytes, headers: bytes, block: bytes
) -> AsyncIterator[tuple[World, EndlessUpstream]]:
    """Run a VM with one endless upstream."""
    endless = EndlessUpstream(status, headers, block)
    async with running_edge_at(endless.serve) as world:
        yield world, endless


# Interim heads without end kept a request and its upstream busy for ever.
@trio_test
async def test_endless_heads_are_given_up() -> None:
    """Interim heads, a head without end, and bytes that are none."""
    blocks = (
        b'HTTP/1.1 100 Continue\r\n\r\n' * 500,
        b'HTTP/1.1 200 OK\r\nx-y: %b' % BLOCK,
        BLOCK,
    )
    for block in blocks:
        async with endless_world(b'', b'', block) as (world, endless):
            with trio.fail_after(BOUND_S):
                answer = await world.ask()
            assert answer.status_code == 502
            await until(lambda endless=endless: endless.closed)


# A refusal with an endless body was passed on as the answer.
@trio_test
async def test_endless_refusal_is_given_up() -> None:
    """A refusal counts without the rest of its body."""
    async with endless_world(b'503 full', NOT_RUN, BLOCK) as (world, endless):
        with trio.fail_after(BOUND_S):
            answer = await world.ask()
        assert answer.status_code == 503
        assert answer.json()['ran'] == 'no'
        assert endless.closed


@trio_test
async def test_endless_body_without_a_length_is_cut() -> None:
    """Without a stated length, a body ends at a bound."""
    with patch.object(attempts, 'UNSIZED_MAX_B', 1_000_000):
        async with endless_world(b'200 OK', b'', BLOCK) as (world, endless):
            with trio.fail_after(BOUND_S):
                with suppress(httpx.TransportError):
                    await world.ask()
                await until(lambda: endless.closed)


@trio_test
async def test_endless_body_ends_with_its_caller() -> None:
    """It is streamed within bounds, until the caller leaves."""
    async with endless_world(b'200 OK', b'', BLOCK) as (world, endless):
        callers = world.state.settings.callers
        stream = await trio.open_tcp_stream(callers.address, callers.port)
        request = get(
            SEARCH,
            'x-chestnutshift-request-id: r-1',
            'authorization: Token k1',
        ).replace(b'host: test', b'host: one.example')
        await stream.send_all(request)
        # More than is buffered: the answer has begun.
        await until(lambda: endless.sent_b > attempts.ANSWER_BUFFER_B)
        # Others are served meanwhile.
        assert await world.call(world.state.settings.readiness, '/-/readyz')
        # The caller reads nothing: what it is sent stays in bounded buffers.
        await trio.sleep(0.4)
        assert endless.sent_b < BUFFERS_MAX_B
        await stream.aclose()
        with trio.fail_after(0.5):
            await until(lambda: endless.closed)


# An endless answer to a health check kept the processor busy.
@trio_test
async def test_endless_health_check() -> None:
    """A check reads the head and little of the body."""
    async with endless_world(b'200 OK', b'', BLOCK) as (world, endless):
        endless.status = b''
        await world.ask()
        endless.status = b'200 OK'
        upstream = world.state.directory.find(RAW_UPSTREAM)
        await until(lambda: upstream.condition.value == 'ready')
        await until(lambda: endless.closed >= 2)
        assert endless.sent_b < 20_000_000
