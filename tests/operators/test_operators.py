"""The operators' port: status, drains that are refused, and conflicts."""

from contextlib import asynccontextmanager

import trio
from trio.testing import trio_test

from chestnutshift.configuration import store
from chestnutshift.configuration.codec import to_document
from chestnutshift.keys import credentials
from chestnutshift.metrics.measures import Measures
from chestnutshift.operators.application import make_operators
from chestnutshift.storage.records import (
    Transaction,
    VmList,
    VmRecord,
    VmRole,
    Write,
)
from chestnutshift.vms.withdrawals import write_down
from tests.assembled import KEY, make_configuration, make_vm

SECRET = b'the secret of operators'
HEADERS = {'Authorization': f'Bearer {SECRET.decode()}'}


def upstream(name):
    """Return the record of an upstream of listings."""
    return VmRecord(
        name,
        VmRole.UPSTREAM,
        'domain',
        'region',
        '127.0.0.1:9',
        service='listings',
        slots=4,
    )


@asynccontextmanager
async def operating():
    """Give a state, its measures and a client of its operators' port."""
    configuration = make_configuration()
    state = make_vm(configuration)
    write = Write(store.TABLE, store.KEY, to_document(configuration))
    await state.platform.commit(Transaction('first', (), (write,)))
    records = (upstream('u1'), upstream('u2'))
    state.take_list(VmList(0, records), trio.current_time())
    state.holder.listen(
        lambda newer: state.adopt(newer, trio.current_time()),
    )
    measures = Measures()
    application = make_operators(state, SECRET, measures)
    yield state, measures, application.test_client()


async def change(client, kind, number=0, **arguments):
    """Ask for a change; return the HTTP status and the document."""
    answer = await client.post(
        '/changes',
        json={
            'kind': kind,
            'arguments': arguments,
            'expected_number': number,
        },
        headers=HEADERS,
    )
    return answer.status_code, await answer.get_json()


@trio_test
async def test_stranger():
    """Nothing is shown without the secret."""
    async with operating() as (_state, _measures, client):
        answer = await client.get('/status')
        assert answer.status_code == 401


@trio_test
async def test_status():
    """Status shows the preset, shares, measures and drains."""
    async with operating() as (_state, measures, client):
        measures.answered('listings', 'konya', 0.1)
        measures.refused('konya', 'queue.full', inside_rate=True)
        code, told = await change(client, 'start_drain', target='u1')
        assert code == 200, told
        answer = await client.get('/status', headers=HEADERS)
        status = await answer.get_json()
    assert status['preset'] == 'ordinary'
    assert [share['account'] for share in status['shares']] == ['konya']
    assert status['measures']['worst_account']['share'] == 1 / 2
    assert status['measures']['refusals'] == {'queue.full': 1}
    drain = status['drains'][0]
    assert (drain['target'], drain['finished']) == ('u1', True)


@trio_test
async def test_drains_are_checked():
    """A drain of nothing, and one of everything, change nothing."""
    async with operating() as (state, _measures, client):
        for target, check in (('nothing', 'D001'), ('vm', 'D002')):
            code, told = await change(client, 'start_drain', target=target)
            assert code == 422
            assert check in told['detail']
        assert (await change(client, 'start_drain', target='u1'))[0] == 200
        code, told = await change(client, 'start_drain', target='u2')
        assert code == 422
        assert 'D003' in told['detail']
        assert state.holder.current.drains == {'u1'}


@trio_test
async def test_vanished_target_blocks_nothing():
    """A drained upstream that is gone from the list hinders no change."""
    async with operating() as (state, _measures, client):
        assert (await change(client, 'start_drain', target='u1'))[0] == 200
        state.take_list(VmList(1, (upstream('u2'),)), trio.current_time())
        code, told = await change(client, 'choose_preset', preset='ordinary')
        assert code == 200, told
        assert (await change(client, 'end_drain', target='u1'))[0] == 200


@trio_test
async def test_conflict():
    """A change to a configuration that was replaced is refused."""
    async with operating() as (_state, _measures, client):
        assert (await change(client, 'start_drain', target='u1'))[0] == 200
        code, told = await change(client, 'end_drain', 1, target='u1')
        assert code == 409
        assert told['code'] == 'configuration.conflict'


@trio_test
async def test_withdrawal_during_outage():
    """A withdrawal needs no platform, and is written down after."""
    async with operating() as (state, _measures, client):
        state.platform.outage = True
        code, told = await change(client, 'withdraw_key', key='test')
        assert code == 200, told
        assert told['accepted']
        digest = credentials.digest(KEY)
        assert digest in state.key_ring.withdrawals
        state.platform.outage = False
        assert await write_down(state) == 1
        stored = await store.read_current(state.platform)
        assert stored.configuration.keys[digest].withdrawn
        assert await write_down(state) == 0


@trio_test
async def test_withdrawal_with_a_lost_answer():
    """The key ends here, whether the platform has the withdrawal or not."""
    async with operating() as (state, _measures, client):
        state.platform.lose_answers = 1
        code, told = await change(client, 'withdraw_key', key='test')
        assert code == 200, told
        assert credentials.digest(KEY) in state.key_ring.withdrawals
        assert await write_down(state) == 0
        assert not state.key_ring.withdrawals.unwritten


@trio_test
async def test_platform_down():
    """Without the platform a change is refused and status still shown."""
    async with operating() as (state, _measures, client):
        state.platform.outage = True
        code, told = await change(client, 'start_drain', target='u1')
        assert (code, told['code']) == (503, 'platform.unavailable')
        answer = await client.get('/status', headers=HEADERS)
        assert answer.status_code == 200
