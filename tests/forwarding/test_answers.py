"""Callers get the complete answer to their own request, or an error."""

import trio
from trio.testing import trio_test

from tests.callers.clients import get
from tests.forwarding.world import (
    AUTHORIZED,
    ScriptedUpstream,
    answering,
    forwarding,
    reply,
)


async def _get_refusal(upstream: ScriptedUpstream) -> tuple[int, str]:
    async with forwarding(upstream) as world:
        answer = await world.get()
        return answer.status, answer.headers['chestnutshift-ran']


@trio_test
async def test_whole_answer():
    """Status, headers and body are forwarded; hop-by-hop headers are not."""
    content = reply(b'body', b'x-kept: 1', b'keep-alive: 9', status=b'203 A')
    upstream = answering(content)
    async with forwarding(upstream) as world:
        answer = await world.get('x-request-id: mine')
        assert (answer.status, answer.body) == (203, b'body')
        assert answer.headers['x-kept'] == '1'
        assert answer.headers['x-request-id'] == 'mine'
        assert 'keep-alive' not in answer.headers
        await world.get()
        assert upstream.connections == 1


@trio_test
async def test_truncated_answer_is_reset():
    """A truncated answer resets the caller's connection."""

    async def script(upstream, stream) -> None:
        await upstream.next_head(stream)
        await stream.send_all(reply(b'whole body')[:-4])

    async with forwarding(ScriptedUpstream(script)) as world:
        for version in (b'1.0', b'1.1'):
            async with world.calling() as caller:
                head = get('/listings/1', AUTHORIZED)
                await caller.send(head.replace(b'1.1', version))
                try:
                    content = await caller.read_end()
                except trio.BrokenResourceError:
                    continue
                raise AssertionError(f'ended as if complete: {content!r}')


# MIXED: an answer whose status is none of HTTP was passed on.
@trio_test
async def test_status_that_is_none_of_http():
    """The request may have run."""
    for status in (b'000 No', b'600 No', b'999 No'):
        upstream = answering(reply(b'body', status=status))
        assert await _get_refusal(upstream) == (502, 'unknown')


@trio_test
async def test_closed_without_answer():
    """An upstream that closes without an answer may have run the request."""

    async def script(upstream, stream) -> None:
        await upstream.next_head(stream)

    assert await _get_refusal(ScriptedUpstream(script)) == (502, 'unknown')


@trio_test
async def test_answer_without_length():
    """An answer without a length is refused: truncation would go unnoticed."""
    upstream = answering(b'HTTP/1.1 200 OK\r\n\r\nbody')
    assert await _get_refusal(upstream) == (502, 'unknown')


@trio_test
async def test_mismatched_request_id():
    """An answer with the id of another request is not forwarded."""
    upstream = answering(reply(b'body', b'x-request-id: another'))
    assert await _get_refusal(upstream) == (502, 'unknown')


@trio_test
async def test_late_answer():
    """An answer after the deadline is not taken for that of a later request."""
    refused = trio.Event()

    async def script(upstream, stream) -> None:
        head = await upstream.next_head(stream)
        if b'/late' in head:
            await refused.wait()
            await stream.send_all(reply(b'late'))
            head = await upstream.next_head(stream)
        while True:
            await stream.send_all(reply(b'own'))
            await upstream.next_head(stream)

    upstream = ScriptedUpstream(script)

    async with forwarding(upstream) as world:
        late = await world.get(
            'chestnutshift-deadline-ms: 1500', target='/listings/late'
        )
        assert late.status == 504
        assert late.headers['chestnutshift-ran'] == 'unknown'
        refused.set()
        assert (await world.get()).body == b'own'
        assert upstream.connections == 2


@trio_test
async def test_unsolicited_bytes():
    """A connection that delivers unsolicited bytes is not reused."""

    async def script(upstream, stream) -> None:
        await upstream.next_head(stream)
        await stream.send_all(reply(b'first'))
        await stream.send_all(reply(b'unasked'))
        await upstream.next_head(stream)

    upstream = ScriptedUpstream(script)
    async with forwarding(upstream) as world:
        assert (await world.get()).body == b'first'
        await trio.sleep(0.05)
        assert (await world.get()).body == b'first'
        assert upstream.connections == 2


@trio_test
async def test_answer_during_upload():
    """An answer during an upload reaches the caller immediately."""

    async def script(upstream, stream) -> None:
        await upstream.next_head(stream)
        await stream.send_all(reply(b'too much', status=b'413 Large'))
        await trio.sleep_forever()

    upstream = ScriptedUpstream(script)
    async with forwarding(upstream) as world, world.calling() as caller:
        head = get('/listings/1', AUTHORIZED, 'content-length: 9000000')
        await caller.send(b'%b%b' % (head, b'x' * 70_000))
        answer = await caller.answer()
        assert (answer.status, answer.body) == (413, b'too much')
        assert answer.headers['connection'] == 'close'


@trio_test
async def test_answers_without_body():
    """Answers without a body leave the connections reusable."""
    not_modified = b'HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n'
    async with forwarding(answering(not_modified)) as world:
        assert (await world.get()).status == 304
        async with world.calling() as caller:
            await caller.send(get('/listings/1', AUTHORIZED, method='HEAD'))
            answer = await caller.answer(b'HEAD')
            assert answer.headers['content-length'] == '9'
