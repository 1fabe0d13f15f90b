"""Unsafe requests at servers that shed, and send some refusals again late."""

import asyncio
import pathlib
import random
import sys
from collections import Counter

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import BROKEN, HELD, TROUBLE, Scene, Server, call  # noqa: E402

# srv_grey "shed all" on all servers of a service; garble "extra late" on 0.6
# of them, for 0.03 of their answers.
SHED_X = 0.25
EXTRA_SHARE, EXTRA_X = 0.6, 0.03
# Each round is shorter than the longest dose of either disruption (5.0 s);
# they may come more than once a day.
ROUND_S, PAUSE_S, ROUNDS_MAX = 4.8, 3.0, 6
SERVER_COUNT = 5
RATE = 400
SEED = 7
NOT_EXECUTED = ('X-Chestnutshift-Not-Executed', '1')
PROMISES = {408, 421, 429, 503}


class SheddingServer(Server):
    """Sheds a part of its requests; some refusals come a second time.

    The second copy is late: it comes where the next answer on that channel is
    due, and bears the id of the request that was refused.
    """

    shed_x = extra_x = 0.0
    rng = random.Random(SEED)

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self._extra = {}

    async def serve(self, method, target, headers, reader, writer):
        extra = self._extra.pop(writer, b'')
        if extra:
            writer.write(extra)
            await writer.drain()
        request_id = headers.get('x-chestnutshift-request-id', '')
        if not request_id or self.rng.random() >= self.shed_x:
            await super().serve(method, target, headers, reader, writer)
            return
        await standins.read_body(reader, headers.items())
        refusal = standins.answer_bytes(503, b'', [
            ('X-Chestnutshift-Request-Id', request_id), NOT_EXECUTED,
            self.load(),
        ], 'Service Unavailable')
        writer.write(refusal)
        self.record.add(f'server {self.name} refuses {request_id}: not executed')
        if self.rng.random() < self.extra_x:
            self._extra[writer] = refusal
            self.record.add(f'server {self.name} will send the refusal of {request_id} again')


async def send_one(scene, number, answers):
    vm = scene.vms[number % len(scene.vms)]
    request_id = f'r{number:04d}'
    headers = [
        ('X-Chestnutshift-Request-Id', request_id),
        ('X-Chestnutshift-Deadline-Ms', '4000'),
        ('X-Chestnutshift-Affinity-Key', str(number % 20)),
    ]
    scene.record.add(f'client sends {request_id}')
    try:
        status, _, _ = await call(vm.address, 8686, 'POST', '/b/x', headers, b'x' * 200)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        scene.record.add(f'client gets no answer to {request_id}: {error!r}')
        return
    answers[request_id] = status
    scene.record.add(f'client gets {status} to {request_id}')


async def send_round(scene, round_number, answers):
    first = round(round_number * RATE * ROUND_S)
    started_at = asyncio.get_running_loop().time()
    async with asyncio.TaskGroup() as clients:
        for number in range(first, first + round(RATE * ROUND_S)):
            clients.create_task(send_one(scene, number, answers))
            due_at = started_at + (number - first + 1) / RATE
            await asyncio.sleep(max(0, due_at - asyncio.get_running_loop().time()))


def set_faults(scene, servers, *, is_on):
    for server in servers:
        server.shed_x = SHED_X if is_on else 0
    for server in servers[: round(SERVER_COUNT * EXTRA_SHARE)]:
        server.extra_x = EXTRA_X if is_on else 0
    if is_on:
        scene.record.add('servers begin to shed and to repeat refusals')


async def run():
    async with Scene(FOLDER, ('a1', 'b1', 'c1')) as scene:
        zones = ('a1', 'b1', 'c1')
        servers = [
            SheddingServer(scene.record, f'i-{n}', 's1', zones[n % 3], work_s=0.02)
            for n in range(SERVER_COUNT)
        ]
        for server in servers:
            await server.start()
            scene.store.write('servers', server.name, server.row())
        route = ('book', '/b/', 'unsafe', '3s', '800ms', 3, 's1')
        scene.store.write('op', 'config', standins.manifest(12, [route], ['s1']))
        await scene.start_vms()
        await asyncio.sleep(2)
        answers = {}
        runs, twice = Counter(), []
        for round_number in range(ROUNDS_MAX):
            set_faults(scene, servers, is_on=TROUBLE)
            await send_round(scene, round_number, answers)
            set_faults(scene, servers, is_on=False)
            runs = Counter(request for server in servers for request in server.runs)
            twice = sorted(request for request, count in runs.items() if count > 1)
            if twice:
                break
            await asyncio.sleep(PAUSE_S)
        refused = sorted(
            request for request, status in answers.items()
            if status in PROMISES and runs[request]
        )
        scene.record.add(f'answers by status: {dict(Counter(answers.values()))}')
        scene.record.add(f'TWICE: unsafe requests that ran more than once: {twice}')
        scene.record.add(f'REFUSED: answered with a promise, and run: {refused}')
        print(f'ran twice: {len(twice)}; refused and run: {len(refused)}')
        if not runs:
            raise standins.CannotRunError('no request was served')
        return BROKEN if twice else HELD


standins.main(run)
