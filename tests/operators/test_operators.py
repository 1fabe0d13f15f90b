"""Tests of the operators' port: status, changes, drains and outages."""

from contextlib import asynccontextmanager

import trio
from trio.testing import trio_test

from chestnutshift.configuration import store
from chestnutshift.configuration.codec import to_document
from chestnutshift.keys import credentials
from chestnutshift.metrics.measures import Measures
from chestnutshift.operators.application import make_operators_application
from chestnutshift.storage.records import (
    Transaction,
    VmList,
    VmRecord,
    VmRole,
    Write,
)
from chestnutshift.vms.withdrawals import write_unwritten
from tests.single_vm import KEY, make_configuration, make_vm

SECRET = b'the secret of operators'
HEADERS = {'Authorization': f'Bearer {SECRET.decode()}'}


def upstream(name):
    """Return the record of an upstream of the service listings."""
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
async def serve_operators():
    """Yield a VM's state, its measures and a client of its operators' port."""
    configuration = make_configuration()
    state = make_vm(configuration)
    write = Write(store.TABLE, store.KEY, to_document(configuration))
    await state.platform.commit(Transaction('first', (), (write,)))
    records = (upstream('u1'), upstream('u2'))
    state.update_vm_list(VmList(0, records), trio.current_time())
    state.holder.listen(
        lambda newer: state.adopt(newer, trio.current_time()),
    )
    measures = Measures()
    application = make_operators_application(state, SECRET, measures)
    yield state, measures, application.test_client()


async def change(client, kind, number=0, **arguments):
    """Request a change; return the HTTP status and the document."""
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
async def test_request_without_secret():
    """A request without the secret is refused."""
    async with serve_operators() as (_state, _measures, client):
        answer = await client.get('/status')
        assert answer.status_code == 401


@trio_test
async def test_status():
    """Status shows the preset, shares, measures and drains."""
    async with serve_operators() as (_state, measures, client):
        measures.answered('listings', 'konya', 0.1)
        measures.refused('konya', 'queue.full', inside_rate=True)
        code, document = await change(client, 'start_drain', target='u1')
        assert code == 200, document
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
    """Drains of unknown targets and of all VMs or upstreams are refused."""
    async with serve_operators() as (state, _measures, client):
        for target, check in (('nothing', 'D001'), ('vm', 'D002')):
            code, document = await change(client, 'start_drain', target=target)
            assert code == 422
            assert check in document['detail']
        assert (await change(client, 'start_drain', target='u1'))[0] == 200
        code, document = await change(client, 'start_drain', target='u2')
        assert code == 422
        assert 'D003' in document['detail']
        assert state.holder.current.drains == {'u1'}


@trio_test
async def test_unlisted_target_blocks_no_change():
    """A drained upstream that is no longer listed does not block changes."""
    async with serve_operators() as (state, _measures, client):
        assert (await change(client, 'start_drain', target='u1'))[0] == 200
        state.update_vm_list(VmList(1, (upstream('u2'),)), trio.current_time())
        code, document = await change(
            client, 'choose_preset', preset='ordinary'
        )
        assert code == 200, document
        assert (await change(client, 'end_drain', target='u1'))[0] == 200


@trio_test
async def test_conflict():
    """A change based on an outdated configuration is refused."""
    async with serve_operators() as (_state, _measures, client):
        assert (await change(client, 'start_drain', target='u1'))[0] == 200
        code, document = await change(client, 'end_drain', 1, target='u1')
        assert code == 409
        assert document['code'] == 'configuration.conflict'


@trio_test
async def test_withdrawal_during_outage():
    """A key is withdrawn in an outage, and the withdrawal stored after it."""
    async with serve_operators() as (state, _measures, client):
        state.platform.outage = True
        code, document = await change(client, 'withdraw_key', key='test')
        assert code == 200, document
        assert document['accepted']
        digest = credentials.digest(KEY)
        assert digest in state.key_ring.withdrawals
        state.platform.outage = False
        assert await write_unwritten(state) == 1
        stored = await store.read_current(state.platform)
        assert stored.configuration.keys[digest].withdrawn
        assert await write_unwritten(state) == 0


@trio_test
async def test_withdrawal_with_a_lost_answer():
    """A key is withdrawn on this VM even if the answer was lost."""
    async with serve_operators() as (state, _measures, client):
        state.platform.lose_answers = 1
        code, document = await change(client, 'withdraw_key', key='test')
        assert code == 200, document
        assert credentials.digest(KEY) in state.key_ring.withdrawals
        assert await write_unwritten(state) == 0
        assert not state.key_ring.withdrawals.unwritten


@trio_test
async def test_change_and_status_during_outage():
    """Without the platform a change fails, but status is available."""
    async with serve_operators() as (state, _measures, client):
        state.platform.outage = True
        code, document = await change(client, 'start_drain', target='u1')
        assert (code, document['code']) == (503, 'platform.unavailable')
        answer = await client.get('/status', headers=HEADERS)
        assert answer.status_code == 200
