"""Malformed, slow and disconnecting callers don't affect other callers.

Callers get complete answers, refusals or a reset connection.
"""

import json
import unittest

import attrs
import trio
from trio.testing import trio_test

from tests.callers.clients import Answer, Caller, calling, get
from tests.callers.serving import LIMITS, SHORT_TIMEOUTS, Port, echo, serving

logs = unittest.TestCase().assertLogs


def _problem(answer: Answer) -> tuple[int, str, str]:
    document = json.loads(answer.body)
    assert answer.headers['content-type'] == 'application/problem+json'
    assert answer.headers['chestnutshift-ran'] == document['ran']
    return answer.status, document['code'], document['ran']


async def _check_still_serves(port: Port) -> None:
    async with calling(port.number) as other:
        await other.send(get('/other'))
        assert (await other.answer()).body == b'GET /other '


async def _get_refusal(port: Port, content: bytes) -> tuple[int, str, str]:
    async with calling(port.number) as caller:
        await caller.send(content)
        problem = _problem(await caller.answer())
        assert await caller.read_end() == b''
    await _check_still_serves(port)
    return problem


@trio_test
async def test_malformed_head():
    """Malformed and oversized heads get a problem document each."""
    async with serving(echo) as port:
        assert await _get_refusal(port, b'no http\r\n\r\n') == (
            400,
            'request.malformed',
            'no',
        )
        large = get('/', f'x: {"y" * 5000}')
        too_large = (431, 'request.head', 'no')
        assert await _get_refusal(port, large) == too_large
        assert await _get_refusal(port, large[:-4]) == too_large


@trio_test
async def test_ambiguous_length():
    """Content-Length with Transfer-Encoding is refused, as it is ambiguous."""
    lengths = ('content-length: 4', 'transfer-encoding: chunked')
    async with serving(echo) as port:
        assert await _get_refusal(port, get('/', *lengths)) == (
            400,
            'request.malformed',
            'no',
        )


@trio_test
async def test_unsupported_protocol():
    """HTTP/2, websockets and CONNECT are refused with their own codes."""
    async with serving(echo) as port:
        preface = b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'
        assert await _get_refusal(port, preface) == (
            505,
            'request.http_version',
            'no',
        )
        socket = get('/', 'connection: upgrade', 'upgrade: websocket')
        assert await _get_refusal(port, socket) == (
            501,
            'request.websocket',
            'no',
        )
        tunnel = get('host:1', method='CONNECT')
        assert await _get_refusal(port, tunnel) == (501, 'request.method', 'no')


@trio_test
async def test_upgrade_ignored():
    """An offer to upgrade to HTTP/2 is answered in HTTP/1.1."""
    async with serving(echo) as port, calling(port.number) as caller:
        await caller.send(
            get('/', 'connection: upgrade, http2-settings', 'upgrade: h2c'),
        )
        assert (await caller.answer()).body == b'GET / '


@trio_test
async def test_slow_head():
    """A head that arrives too slowly gets 408; other callers are served."""
    async with serving(echo, SHORT_TIMEOUTS) as port:
        async with calling(port.number) as caller:
            await caller.send(b'GET / HT')
            problem = _problem(await caller.answer())
            assert problem == (408, 'request.slow_head', 'no')
    async with serving(echo) as port, calling(port.number) as slow:
        await slow.send(b'GET / HT')
        await _check_still_serves(port)


@trio_test
async def test_idle_timeout():
    """A connection without any request is closed without an answer."""
    limits = attrs.evolve(LIMITS, idle_s=0.2)
    async with serving(echo, limits) as port, calling(port.number) as caller:
        assert await caller.read_end() == b''


@trio_test
async def test_pipelining():
    """Pipelined requests are answered in order."""
    async with serving(echo) as port, calling(port.number) as caller:
        await caller.send(get('/slow') + get('/2') + get('/3', method='HEAD'))
        assert (await caller.answer()).body.endswith(b'GET /slow ')
        assert (await caller.answer()).body == b'GET /2 '
        assert (await caller.answer(b'HEAD')).body == b''
        await caller.send(get('/4'))
        assert (await caller.answer()).body == b'GET /4 '


@trio_test
async def test_half_closed():
    """A caller that closed its sending side still gets complete answers."""
    async with serving(echo) as port, calling(port.number) as caller:
        await caller.send(get('/slow') + get('/2'))
        await caller.stream.send_eof()
        assert (await caller.answer()).body.endswith(b'GET /slow ')
        assert (await caller.answer()).body == b'GET /2 '


@trio_test
async def test_half_closed_probe():
    """A half-closed caller that waits gets an interim answer as a probe."""
    proceed = trio.Event()

    async def wait_then_echo(scope, receive, send) -> None:
        await proceed.wait()
        await echo(scope, receive, send)

    async with serving(wait_then_echo) as port, calling(port.number) as caller:
        await caller.send(get('/late'))
        await caller.stream.send_eof()
        await trio.sleep(0.3)
        proceed.set()
        answer = await caller.answer()
        assert answer.interim == (100,)
        assert answer.body == b'GET /late '


@trio_test
async def test_http_1_0():
    """An HTTP/1.0 request is answered and its connection closed."""
    async with serving(echo) as port, calling(port.number) as caller:
        await caller.send(b'GET /old HTTP/1.0\r\n\r\n')
        content = await caller.read_end()
        assert content.endswith(b'\r\n\r\nGET /old ')
        assert b'transfer-encoding' not in content.lower()


@trio_test
async def test_expect_continue():
    """100 Continue is sent only when the application reads the body."""
    head = get('/', 'content-length: 4', 'expect: 100-continue')

    async def refuse(_scope, _receive, send) -> None:
        start = {'type': 'http.response.start', 'status': 401}
        await send({**start, 'headers': [(b'content-length', b'0')]})
        await send({'type': 'http.response.body'})

    async with serving(echo) as port, calling(port.number) as caller:
        await caller.send(head)
        interim = await caller.stream.receive_some(1000)
        assert interim.startswith(b'HTTP/1.1 100')
        await caller.send(b'body')
        assert (await caller.answer()).body == b'GET / body'
    async with serving(refuse) as port, calling(port.number) as caller:
        await caller.send(head)
        answer = await caller.answer()
        assert (answer.status, answer.interim) == (401, ())
        assert answer.headers['connection'] == 'close'


@trio_test
async def test_disconnect_cancels():
    """The request of a caller that closes or resets is cancelled."""
    cancelled = trio.Event()
    running = trio.Event()

    async def wait(_scope, _receive, _send) -> None:
        running.set()
        try:
            await trio.sleep_forever()
        finally:
            cancelled.set()

    for abort in (False, True):
        async with serving(wait) as port:
            async with calling(port.number) as caller:
                await caller.send(get('/'))
                await running.wait()
                if abort:
                    _reset(caller)
            with trio.fail_after(10):
                await cancelled.wait()
        cancelled = trio.Event()
        running = trio.Event()


def _reset(caller: Caller) -> None:
    caller.stream.setsockopt(1, 13, b'\x01\0\0\0\0\0\0\0')


@trio_test
async def test_truncated_answer_is_reset():
    """A truncated answer resets the connection, also in HTTP/1.0.

    There the end of the connection would otherwise end the answer.
    """

    async def truncate(_scope, _receive, send) -> None:
        start = {'type': 'http.response.start', 'status': 200}
        await send({**start, 'headers': []})
        part = {'type': 'http.response.body', 'body': b'part'}
        await send({**part, 'more_body': True})

    async with serving(truncate) as port:
        for version in (b'1.0', b'1.1'):
            async with calling(port.number) as caller:
                await caller.send(b'GET / HTTP/%b\r\nhost: a\r\n\r\n' % version)
                try:
                    content = await caller.read_end()
                except trio.BrokenResourceError:
                    continue
                raise AssertionError(f'closed as if complete: {content!r}')


@trio_test
async def test_internal_error():
    """An exception in the application gets a 500 that may have run."""

    async def fail(_scope, _receive, _send) -> None:
        raise ValueError('fault')

    with logs('chestnutshift.http'):
        async with serving(fail) as port, calling(port.number) as caller:
            await caller.send(get('/'))
            problem = _problem(await caller.answer())
            assert problem == (500, 'request.fault', 'unknown')


@trio_test
async def test_caller_stops_reading():
    """A caller that stops reading blocks neither other callers nor a stop."""

    async def send_endlessly(scope, receive, send) -> None:
        if scope['path'] != '/flood':
            await echo(scope, receive, send)
            return
        start = {'type': 'http.response.start', 'status': 200}
        await send({**start, 'headers': []})
        part = {'type': 'http.response.body', 'body': b'x' * 100_000}
        while True:
            await send({**part, 'more_body': True})

    limits = attrs.evolve(LIMITS, grace_s=0.3)
    async with (
        serving(send_endlessly, limits) as port,
        calling(port.number) as caller,
    ):
        await caller.send(get('/flood'))
        await _check_still_serves(port)
        port.stopping.set()
        with trio.fail_after(10):
            await port.stopped.wait()
