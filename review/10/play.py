"""Servers turn requests away for a time that has many decimals."""

import asyncio
import collections
import pathlib
import random
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import world2

# The rule's bound: between half a second after the refusal and its end.
FREE_S = 0.5
FREE = 2
# 25 / 3, as most languages print it.
RETRY_AFTER = '8.333333333333334'
SERVER_COUNT = 4
# The servers turn away this part of the requests, for so long.
SHED_SHARE = 0.55
REST_AT_S = 3.0
REST_S = 8.5
LENGTH_S = 14.0
GAP_S = 0.02


class RestingServer(world2.Server):
    """A server that may ask for rest.

    told has when it first asked each VM, by the VM's name.
    """

    is_resting = False

    def __init__(self, *args):
        """Begin without need of a rest."""
        super().__init__(*args)
        self.told = {}
        self._rng = random.Random(self.name)

    async def answer(self, arrival, writer):
        """Turn some of the requests away while it asks for rest."""
        vm = arrival.request_id.split('.')[0]
        if not self.is_resting or self._rng.random() >= SHED_SHARE:
            await super().answer(arrival, writer)
            return
        self.told.setdefault(vm, world2.now())
        headers = {
            'X-Chestnutshift-Request-Id': arrival.request_id,
            'X-Chestnutshift-Not-Executed': '1',
            'Retry-After': RETRY_AFTER,
            **self.facts(),
        }
        writer.write(world2.format_answer(503, headers))
        self.world.record.write(f'{self.name} turns {arrival.request_id} away')


async def play(world):
    """Return whether the rule is broken."""
    zones = ('marmara-a', 'marmara-b')
    servers = [
        RestingServer(world, 'listing-svc', f'i-l{number}', zones[number % 2])
        for number in range(SERVER_COUNT)
    ]
    config = world2.make_config(
        ['listing-svc'], [world2.make_route('search', 'listing-svc')]
    )
    await world.start(servers, ['marmara-a', 'marmara-b', 'marmara-a'], config)
    world.record.say('the VMs are ready')
    began = world2.now()
    tasks = []
    while world2.now() - began < LENGTH_S:
        since_s = world2.now() - began - REST_AT_S
        is_resting = world2.has_trouble() and 0 <= since_s < REST_S
        if is_resting is not servers[0].is_resting:
            world.record.say(f'the servers ask for rest: {is_resting}')
        for server in servers:
            server.is_resting = is_resting
        vm = world.vms[len(tasks) % len(world.vms)]
        tasks.append(asyncio.create_task(world.ask(vm, f'/search/{len(tasks)}')))
        await asyncio.sleep(GAP_S)
    await asyncio.gather(*tasks)
    return judge(world)


def judge(world):
    """Return whether a server got more than it may from one machine."""
    counts = collections.Counter()
    for server in world.servers:
        for arrival in server.arrivals:
            vm = arrival.request_id.split('.')[0]
            told_at = server.told.get(vm)
            if told_at is None:
                continue
            until = told_at + float(RETRY_AFTER)
            if told_at + FREE_S < arrival.at < until:
                counts[server.name, vm] += 1
    for (server, vm), count in sorted(counts.items()):
        world.record.say(f'{server} got {count} requests from {vm} in its rest')
    return any(count > FREE for count in counts.values())


world2.run(pathlib.Path(__file__).parent, play)
