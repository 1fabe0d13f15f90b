"""A manifest has a timeout with many decimals."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import world2

# The bound `config` of the settings.
CONFIG_S = 2.5
# 4/3 s, as most languages print it, and the same with fewer decimals.
TIMEOUT = '1.3333333333333333s'
SHORT_TIMEOUT = '1.3333s'
CHANGE_AT_S = 3.0
LENGTH_S = 18.0
GAP_S = 0.05


async def play(world):
    """Return whether the rule is broken."""
    zones = ('marmara-a', 'marmara-b')
    servers = [
        world2.Server(world, service, f'i-{service[:3]}{number}', zones[number])
        for service in ('old-svc', 'new-svc')
        for number in range(2)
    ]
    services = ['old-svc', 'new-svc']
    config = world2.make_config(
        services, [world2.make_route('search', 'old-svc')]
    )
    await world.start(servers, ['marmara-a', 'marmara-b', 'marmara-a'], config)
    world.record.say('the VMs are ready')
    began = world2.now()
    confirmed_at = None
    asked = []

    async def ask(number):
        vm = world.vms[number % len(world.vms)]
        asked.append(await world.ask(vm, f'/search/{number}'))

    tasks = []
    while world2.now() - began < LENGTH_S:
        if confirmed_at is None and world2.now() - began >= CHANGE_AT_S:
            timeout = TIMEOUT if world2.has_trouble() else SHORT_TIMEOUT
            route = world2.make_route('search', 'new-svc', timeout=timeout)
            world.store.put(
                'op', 'config', world2.make_config(services, [route], 9)
            )
            confirmed_at = world2.now()
            world.record.say(f'a manifest is confirmed, timeout {timeout}')
        tasks.append(asyncio.create_task(ask(len(tasks))))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)
    return judge(world, asked, confirmed_at)


def judge(world, asked, confirmed_at):
    """Return whether requests were run by the old service."""
    sent_at = {answer.request_id: answer.sent_at for answer in asked}
    late = collections.Counter(
        server.service
        for server in world.servers
        for arrival in server.arrivals
        if sent_at[arrival.request_id] > confirmed_at + CONFIG_S
    )
    statuses = collections.Counter(
        answer.status
        for answer in asked
        if answer.sent_at > confirmed_at + CONFIG_S
    )
    world.record.say(
        f'sent later than config after it: run by {dict(late)}, '
        f'answered {dict(statuses)}'
    )
    return late['old-svc'] > 0


world2.run(pathlib.Path(__file__).parent, play)
