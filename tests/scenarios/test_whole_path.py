"""A keyed request goes from one end to the other, by separate processes."""

import hashlib

import trio

from tests.scenarios.world import World, running

BODY = b'floor plan ' * 20000


async def _first_url(world: World) -> str:
    vm = world.demonstration.plan.vms[-1]
    answer = await world.client.get(f'{vm["url"]}/steering/entries')
    assert answer.headers['cache-control'].startswith('max-age=')
    return answer.json()['entries'][0]['url']


async def _check_keyed(world: World, url: str) -> None:
    key = world.keys['konya-tahil']
    answer = await world.client.post(
        f'{url}/documents/plan?copy=1',
        content=BODY,
        headers={'Authorization': f'Bearer {key}', 'X-Request-Id': 'plan-1'},
    )
    assert answer.status_code == 200, answer.text
    echo = answer.json()
    assert echo['service'] == 'documents'
    assert echo['body_sha256'] == hashlib.sha256(BODY).hexdigest()
    assert key not in answer.text
    headers = dict(echo['headers'])
    assert headers['chestnutshift-account'] == 'konya-tahil'
    assert answer.headers['x-request-id'] == 'plan-1'


async def _check_refused(world: World, url: str) -> None:
    unkeyed = await world.client.get(f'{url}/listings/1')
    assert unkeyed.status_code == 401
    assert unkeyed.json()['code'] == 'keys.missing'
    assert unkeyed.json()['ran'] == 'no'
    wrong = await world.client.get(
        f'{url}/listings/1',
        headers={'Authorization': 'Bearer not-a-key-of-anyone'},
    )
    assert wrong.json()['code'] == 'keys.unknown'
    unknown = await world.client.get(f'{url}/nowhere')
    assert unknown.status_code == 404


async def _check_operators(world: World) -> None:
    vm = world.demonstration.plan.vms[0]['name']
    code, told = await world.run_operator(vm, 'preset', 'choose', 'peak')
    assert code == 0, told
    assert 'in force on 12 of 12' in told
    code, told = await world.run_operator(vm, 'key', 'withdraw', 'van-ambar')
    assert code == 0, told
    headers = {'Authorization': f'Bearer {world.keys["van-ambar"]}'}
    for other in world.demonstration.plan.vms:
        refused = await world.client.get(
            f'{other["url"]}/listings/1',
            headers=headers,
        )
        assert refused.json()['code'] == 'keys.withdrawn'
    code, told = await world.run_operator(vm, 'timeline', '--number', '2001')
    assert code == 0, told
    assert 'not heard' not in told


async def _play() -> None:
    async with running('anadolu') as world:
        url = await _first_url(world)
        await _check_keyed(world, url)
        await _check_refused(world, url)
        await _check_operators(world)


def test_whole_path():
    """Look up, keyed request, refusals, preset and key changes."""
    trio.run(_play)
