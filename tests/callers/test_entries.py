"""Look-ups are answered on the callers' port."""

import json

from trio.testing import trio_test

from tests.callers.clients import get
from tests.forwarding.world import forwarding


@trio_test
async def test_entries():
    """A look-up needs no key, and its answer has a cache lifetime."""
    async with forwarding() as world, world.calling() as caller:
        await caller.send(get('/steering/entries?block=10.0.0.0/24'))
        answer = await caller.answer()
        document = json.loads(answer.body)
        assert document['entries'][0]['vm'] == 'vm'
        lifetime_s = int(document['lifetime_s'])
        assert answer.headers['cache-control'] == f'max-age={lifetime_s}'
        await caller.send(get('/steering/entries', method='HEAD'))
        assert (await caller.answer(b'HEAD')).status == 200


@trio_test
async def test_malformed_question():
    """Malformed look-ups and wrong methods are refused."""
    async with forwarding() as world, world.calling() as caller:
        await caller.send(get('/steering/entries?block=nonsense'))
        answer = await caller.answer()
        assert answer.status == 400
        assert answer.headers['content-type'] == 'application/problem+json'
        await caller.send(get('/steering/entries', method='DELETE'))
        assert (await caller.answer()).status == 405
