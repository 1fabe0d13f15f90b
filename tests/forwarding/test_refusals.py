"""Refusals are prompt and say truly whether the request ran."""

import json

import trio
from nose2.tools import params
from trio.testing import trio_test

from bench.one_vm import KEY
from chestnutshift.configuration.model import RetriesPreset
from tests.callers.clients import Answer, get
from tests.callers.serving import SHORT_TIMEOUTS
from tests.forwarding.world import (
    AUTHORIZED,
    ScriptedUpstream,
    answering,
    forwarding,
    reply,
)

SHEDDING = reply(
    b'{}',
    b'chestnutshift-ran: no',
    b'retry-after: 3',
    status=b'503 Busy',
)
CHUNK = b'%x\r\n%b\r\n' % (70_000, b'x' * 70_000)
LONG_BODY = b'x' * 70_000
REQUESTS_MAX = 64
LONG_REQUEST_HEAD = get('/listings/1', AUTHORIZED, 'content-length: 90000')


def _read_problem(answer: Answer) -> tuple[int, str, str]:
    document = json.loads(answer.body)
    assert answer.headers['chestnutshift-ran'] == document['ran']
    assert KEY not in answer.body.decode()
    return answer.status, document['code'], document['ran']


@trio_test
async def test_shed_is_retried_elsewhere():
    """A request that an upstream shed is retried at another one."""
    busy = answering(SHEDDING)
    free = answering(reply(b'ran'))
    retries = RetriesPreset(ratio=1, reserve=100)
    async with (
        forwarding(busy, free, retries=retries) as world,
        world.calling() as caller,
    ):
        # The upstream that is tried first is chosen at random.
        sent = 0
        while not busy.heads and sent < REQUESTS_MAX:
            sent += 1
            head = get('/listings/1', AUTHORIZED, 'content-length: 4')
            await caller.send(b'%bbody' % head)
            assert (await caller.answer()).body == b'ran'
    assert busy.heads
    assert len(free.heads) == sent
    assert all(head.endswith(b'body') for head in free.heads)


@trio_test
async def test_all_shed():
    """A request that no upstream ran is refused as not run."""
    busy = answering(SHEDDING)
    async with forwarding(busy) as world:
        answer = await world.get()
        status, _problem_code, ran = _read_problem(answer)
        assert (status, ran) == (503, 'no')
        assert int(answer.headers['retry-after']) >= 1
    assert len(busy.heads) == 1


@trio_test
async def test_shed_during_upload():
    """A partly sent body is not sent to another upstream."""

    async def script(upstream, stream) -> None:
        await upstream.next_head(stream)
        await stream.send_all(SHEDDING)
        await trio.sleep_forever()

    first, second = ScriptedUpstream(script), ScriptedUpstream(script)
    async with forwarding(first, second) as world, world.calling() as caller:
        await caller.send(b'%b%b' % (LONG_REQUEST_HEAD, LONG_BODY))
        answer = await caller.answer()
        assert _read_problem(answer) == (503, 'upstreams.shed', 'no')
        assert answer.headers['retry-after'] == '3'
    assert len(first.heads) + len(second.heads) == 1


# Guards against a time to come back that is lost for its notation.
@params((b'3', '3'), (b'2.3333333333333335', '3'), (b'1e1', '10'))
@trio_test
async def test_time_of_a_refusal(text: bytes, seconds: str):
    """Any notation of an upstream's Retry-After reaches the caller."""

    async def script(upstream, stream) -> None:
        while await upstream.next_head(stream):
            await stream.send_all(SHEDDING.replace(b': 3', b': %b' % text))

    async with forwarding(ScriptedUpstream(script)) as world:
        answer = await world.get()
        assert _read_problem(answer) == (503, 'upstreams.shed', 'no')
        assert answer.headers['retry-after'] == seconds


@trio_test
async def test_not_connected():
    """Without a connection to any upstream the refusal says not run."""
    async with forwarding() as world:
        world.add(1)
        answer = await world.get()
        assert _read_problem(answer)[::2] == (503, 'no')
        assert 'retry-after' in answer.headers


@trio_test
async def test_deadline():
    """Deadlines are sent upstream, enforced, and close the connection."""

    async def script(upstream, stream) -> None:
        await upstream.next_head(stream)
        await upstream.next_head(stream)

    upstream = ScriptedUpstream(script)
    async with forwarding(upstream) as world:
        answer = await world.get('chestnutshift-deadline-ms: 1500')
        assert _read_problem(answer) == (
            504,
            'request.deadline_passed',
            'unknown',
        )
        with trio.fail_after(10):
            await upstream.closed.wait()
    sent = (
        upstream.heads[0].lower().partition(b'chestnutshift-deadline-ms: ')[2]
    )
    assert 0 < int(sent.partition(b'\r\n')[0]) <= 1500
    async with forwarding(upstream) as world:
        for text in ('x', '-1', 'inf'):
            answer = await world.get(f'chestnutshift-deadline-ms: {text}')
            assert _read_problem(answer) == (400, 'request.deadline', 'no')


# Guards against a caller that is refused for how it prints its deadline.
@params('1333.3333333333333', '1.3e3', '0000000000001333', '9' * 30)
@trio_test
async def test_notations_of_a_deadline(text: str):
    """Any number of milliseconds is a deadline."""

    async def script(upstream, stream) -> None:
        await upstream.next_head(stream)
        await stream.send_all(reply(b'body'))

    async with forwarding(ScriptedUpstream(script)) as world:
        answer = await world.get(f'chestnutshift-deadline-ms: {text}')
        assert answer.status == 200


@trio_test
async def test_caller_disconnects():
    """The connection to the upstream closes when the caller disconnects."""

    async def script(upstream, stream) -> None:
        await upstream.next_head(stream)
        await upstream.next_head(stream)

    upstream = ScriptedUpstream(script)
    async with forwarding(upstream) as world:
        async with world.calling() as caller:
            await caller.send(get('/listings/1', AUTHORIZED))
            while not upstream.heads:
                await trio.sleep(0.01)
        with trio.fail_after(10):
            await upstream.closed.wait()
        assert not any(world.state.local_upstreams.pool.in_flight.values())


@trio_test
async def test_body_limits():
    """Bodies over the limit are refused, by their length or while read."""

    async def script(upstream, stream) -> None:
        await upstream.next_head(stream)
        await upstream.next_head(stream)

    upstream = ScriptedUpstream(script)
    async with forwarding(upstream, body_limit_b=100_000) as world:
        async with world.calling() as caller:
            head = get('/listings/1', AUTHORIZED, 'content-length: 100001')
            await caller.send(head)
            refused_by_length = (413, 'request.body', 'no')
            assert _read_problem(await caller.answer()) == refused_by_length
        async with world.calling() as caller:
            chunked = 'transfer-encoding: chunked'
            await caller.send(get('/listings/1', AUTHORIZED, chunked))
            await caller.send(CHUNK)
            while not upstream.heads:
                await trio.sleep(0.01)
            await caller.send(CHUNK)
            refused_while_read = (413, 'request.body', 'unknown')
            assert _read_problem(await caller.answer()) == refused_while_read


@trio_test
async def test_slow_body():
    """A body that stops arriving gets 408; other callers are served."""
    upstream = answering(reply(b'ok'))
    async with forwarding(upstream, limits=SHORT_TIMEOUTS) as world:
        async with world.calling() as caller:
            await caller.send(LONG_REQUEST_HEAD)
            answer = await caller.answer()
            assert _read_problem(answer) == (408, 'request.slow_body', 'no')
    async with forwarding(upstream) as world, world.calling() as slow:
        await slow.send(LONG_REQUEST_HEAD)
        assert (await world.get()).body == b'ok'


@trio_test
async def test_malformed_body():
    """A body with malformed chunks gets 400."""
    async with forwarding(answering(reply(b'ok'))) as world:
        async with world.calling() as caller:
            chunked = 'transfer-encoding: chunked'
            await caller.send(get('/listings/1', AUTHORIZED, chunked))
            await caller.send(b'zz\r\n')
            answer = await caller.answer()
            assert _read_problem(answer) == (400, 'request.malformed', 'no')


@trio_test
async def test_shed_after_broken_attempt():
    """A shed retry doesn't prove that an earlier attempt did not run."""

    async def script(
        upstream: ScriptedUpstream,
        stream: trio.SocketStream,
    ) -> None:
        while True:
            await upstream.next_head(stream)
            if len(upstream.heads) == 1:
                return
            await stream.send_all(SHEDDING)

    broken = ScriptedUpstream(script)
    async with forwarding(broken, retries=RetriesPreset()) as world:
        answer = await world.get()
    _status, _problem_code, ran = _read_problem(answer)
    assert len(broken.heads) > 1
    assert ran == 'unknown'
