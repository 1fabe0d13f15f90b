"""Requests that arrive behind the last answer of their connection."""

import unittest
from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import patch

import attrs
import trio
from nose2.tools import params
from trio.testing import trio_test

from chestnutshift.callers.read_ahead import ReadAheadBuffer
from chestnutshift.callers.transport import CallerTransport
from tests.callers.arrivals import LATE, send_late
from tests.callers.clients import Caller, calling, get
from tests.callers.serving import LIMITS, echo, serving

raises = unittest.TestCase().assertRaises

PIPELINED = attrs.evolve(LIMITS, pipelined_max=3)
HTTP_UNAVAILABLE = 503
# So long that a request without an end of its connection counts as lost.
SOON_S = 0.2
LONG_B = 4_000_000
SIZED = get('/1', 'content-length: 8', method='POST')
CHUNKED = get('/1', 'transfer-encoding: chunked', method='POST')


async def _refuse(_scope, _receive, send) -> None:
    """Refuse a request whose body is not read."""
    head = {'type': 'http.response.start', 'status': HTTP_UNAVAILABLE}
    await send({**head, 'headers': [(b'content-length', b'2')]})
    await send({'type': 'http.response.body', 'body': b'no'})


@contextmanager
def _reading() -> Iterator[list[bytes]]:
    """Yield what the VM reads in the block."""
    chunks: list[bytes] = []
    read = ReadAheadBuffer._read

    async def record(buffer: ReadAheadBuffer) -> bytes:
        chunks.append(await read(buffer))
        return chunks[-1]

    with patch.object(ReadAheadBuffer, '_read', record):
        yield chunks


async def _is_reset(caller: Caller) -> bool:
    """Return whether the caller's host learns soon that nobody reads on."""
    await trio.sleep(SOON_S)
    try:
        await caller.send(get('/3'))
    except trio.BrokenResourceError:
        return True
    return False


# LOST: requests behind a refusal whose request's body was not read were read
# for 2 s and got no answer; nothing told their caller that they had not run.
@params(
    (SIZED, b'body', b'rest'),
    (CHUNKED, b'4\r\nbody\r\n', b'4\r\nrest\r\n0\r\n\r\n'),
)
def test_request_behind_a_refusal(
    head: bytes, part: bytes, rest: bytes
) -> None:
    """The body's rest is read; what comes behind it gets a reset."""
    trio.run(_send_behind_refusal, head, part, rest)


async def _send_behind_refusal(head: bytes, part: bytes, rest: bytes) -> None:
    with _reading() as chunks:
        async with (
            serving(_refuse, PIPELINED) as port,
            calling(port.number) as caller,
        ):
            await caller.send(head + part)
            answer = await caller.answer()
            assert answer.status == HTTP_UNAVAILABLE
            assert answer.headers['connection'] == 'close'
            await trio.sleep(SOON_S)
            await caller.send(rest)
            await trio.sleep(0.1)
            await caller.send(get(LATE))
            assert await _is_reset(caller)
    assert b''.join(chunks) == head + part + rest


# LOST: a request that came while the last answer was written was read, and its
# connection ended long after it without an answer to it.
@trio_test
async def test_request_beside_the_last_answer() -> None:
    """It is not read; the answer is whole, and then there is a reset."""
    with _reading() as chunks:
        async with (
            serving(echo, PIPELINED) as port,
            calling(port.number) as caller,
        ):
            await caller.send(get('/1'))
            await caller.answer()
            port.listener.begin_stop(trio.current_time())
            await caller.send(get('/slow'))
            await trio.sleep(0.1)
            send_late(caller)
            answer = await caller.answer()
            assert answer.body.endswith(b'GET /slow ')
            assert answer.headers['connection'] == 'close'
            assert await _is_reset(caller)
    assert b''.join(chunks) == get('/1') + get('/slow')


@trio_test
async def test_answer_is_whole_before_a_reset() -> None:
    """A caller that reads after the reset finds the whole answer."""
    async with serving(_refuse, PIPELINED) as port:
        async with calling(port.number) as caller:
            await caller.send(b'%bbodyrest' % SIZED)
            await trio.sleep(0.1)
            send_late(caller)
            await trio.sleep(SOON_S)
            assert (await caller.answer()).body == b'no'


@trio_test
async def test_long_body_is_read_to_its_end() -> None:
    """A refused caller that sends all of it first gets its answer."""
    head = get('/1', f'content-length: {LONG_B}', method='POST')
    async with serving(_refuse, PIPELINED) as port:
        async with calling(port.number) as caller:
            await caller.send(head + bytes(LONG_B))
            assert (await caller.answer()).body == b'no'


@trio_test
async def test_unacknowledged_answer() -> None:
    """No request resets it before the caller's host has it."""
    unacknowledged = patch.object(
        CallerTransport, 'is_acknowledged', return_value=False
    )
    async with serving(_refuse, PIPELINED) as port:
        async with calling(port.number) as caller:
            with unacknowledged:
                await caller.send(b'%bbodyrest' % SIZED + get(LATE))
                assert (await caller.answer()).body == b'no'
                send_late(caller)
                assert not await _is_reset(caller)
            assert await _is_reset(caller)


# An answer that was still under way after the linger must not be reset.
@trio_test
async def test_unacknowledged_after_the_linger() -> None:
    """What has arrived by then is read, as its close would reset."""
    limits = attrs.evolve(PIPELINED, linger_s=0.1)
    unacknowledged = patch.object(
        CallerTransport, 'is_acknowledged', return_value=False
    )
    with unacknowledged, _reading() as chunks:
        async with (
            serving(_refuse, limits) as port,
            calling(port.number) as caller,
        ):
            await caller.send(b'%bbodyrest' % SIZED)
            await trio.sleep(0.05)
            send_late(caller)
            await trio.sleep(SOON_S)
            assert (await caller.answer()).body == b'no'
            assert await caller.read_end() == b''
    assert b''.join(chunks).endswith(get(LATE))
