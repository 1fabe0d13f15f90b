"""End-to-end test of keyed requests and operators on real processes."""

import hashlib

import trio

from tests.scenarios.deployment import Deployment, run_deployment

BODY = b'floor plan ' * 20000


async def _first_entry_url(deployment: Deployment) -> str:
    vm = deployment.demonstration.plan.vms[-1]
    answer = await deployment.client.get(f'{vm["url"]}/steering/entries')
    assert answer.headers['cache-control'].startswith('max-age=')
    return answer.json()['entries'][0]['url']


async def _check_keyed(deployment: Deployment, url: str) -> None:
    key = deployment.keys['konya-tahil']
    answer = await deployment.client.post(
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


async def _check_refused(deployment: Deployment, url: str) -> None:
    unkeyed = await deployment.client.get(f'{url}/listings/1')
    assert unkeyed.status_code == 401
    assert unkeyed.json()['code'] == 'keys.missing'
    assert unkeyed.json()['ran'] == 'no'
    wrong = await deployment.client.get(
        f'{url}/listings/1',
        headers={'Authorization': 'Bearer not-a-key-of-anyone'},
    )
    assert wrong.json()['code'] == 'keys.unknown'
    unknown = await deployment.client.get(f'{url}/nowhere')
    assert unknown.status_code == 404


async def _check_operators(deployment: Deployment) -> None:
    vm = deployment.demonstration.plan.vms[0]['name']
    code, output = await deployment.run_operator(vm, 'preset', 'choose', 'peak')
    assert code == 0, output
    assert 'in force on 12 of 12' in output
    code, output = await deployment.run_operator(
        vm, 'key', 'withdraw', 'van-ambar'
    )
    assert code == 0, output
    headers = {'Authorization': f'Bearer {deployment.keys["van-ambar"]}'}
    for other in deployment.demonstration.plan.vms:
        refused = await deployment.client.get(
            f'{other["url"]}/listings/1',
            headers=headers,
        )
        assert refused.json()['code'] == 'keys.withdrawn'
    code, output = await deployment.run_operator(
        vm, 'timeline', '--number', '2001'
    )
    assert code == 0, output
    assert 'not heard' not in output


async def _run() -> None:
    async with run_deployment('anadolu') as deployment:
        url = await _first_entry_url(deployment)
        await _check_keyed(deployment, url)
        await _check_refused(deployment, url)
        await _check_operators(deployment)


def test_whole_path():
    """Look-up, keyed request, refusals, preset and key changes work."""
    trio.run(_run)
