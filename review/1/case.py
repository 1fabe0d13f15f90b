"""A server crashes while it answers uploads that it has not read yet."""

import asyncio
import pathlib
import subprocess
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import BROKEN, HELD, TROUBLE, Scene, call  # noqa: E402

SERVERS = 8
UPLOADS, UPLOAD_B = 96, 360_000
WHOLE_B = 20 * 1000
CRASH_AFTER_S = 0.5
# A crash may come more than once a day; the case stops after the first round
# in which the rule breaks.
ROUNDS_MAX, PAUSE_S = 4, 3.0
ZONES = ('a1', 'a1', 'b1', 'b1', 'c1', 'c1')


class ServerProcess:
    """One server in its own process."""

    def __init__(self, record, name):
        self.record, self.name = record, name
        self.process = subprocess.Popen(
            [sys.executable, str(FOLDER / 'server.py'), name],
            stdout=subprocess.PIPE, text=True,
        )
        self.port = int(self.process.stdout.readline().split()[1])

    def row(self):
        return {
            'addr': f'127.0.0.1:{self.port}', 'born': time.time_ns() // 1_000_000,
            'info': {'service': 'docs', 'version': 'v1', 'zone': 'a1', 'slots': 32},
            'status': {'state': 'ready', 'seq': 1, 'cold_left': '0ms'},
        }

    def kill(self):
        self.record.add(f'server {self.name} is killed')
        self.process.kill()

    def end(self):
        """End the process and record what it said."""
        self.process.kill()
        lines = self.process.communicate()[0].splitlines()
        self.record.add(f'server {self.name} said: {"; ".join(lines)}')
        return lines


async def upload(scene, number, request_id):
    """Upload a document; return status, seal and length of the answer."""
    vm = scene.vms[number % len(scene.vms)]
    headers = [
        ('X-Chestnutshift-Request-Id', request_id),
        ('X-Chestnutshift-Deadline-Ms', '5000'),
        ('X-Chestnutshift-Affinity-Key', str(number)),
    ]
    scene.record.add(f'client sends {request_id}, {UPLOAD_B} bytes')
    try:
        status, fields, body = await call(vm.address, 8686, 'POST', '/d/x', headers, b'd' * UPLOAD_B)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        scene.record.add(f'client gets no whole answer to {request_id}: {error!r}')
        return None
    is_sealed = 'x-chestnutshift-server-seal' in fields
    scene.record.add(f'client gets {status}, sealed: {is_sealed}, {len(body)} bytes, complete, to {request_id}')
    return request_id, status, is_sealed, len(body)


async def play_round(scene, number, server):
    """Send uploads, and kill a server meanwhile; return the answers."""
    uploads = [
        asyncio.create_task(upload(scene, k, f'doc-{number}-{k}'))
        for k in range(UPLOADS)
    ]
    await asyncio.sleep(CRASH_AFTER_S)
    if TROUBLE:
        server.kill()
    return [answer for answer in await asyncio.gather(*uploads) if answer]


def cut_short(answers):
    """Return the successes whose body isn't whole."""
    return [
        (request_id, length) for request_id, status, _, length in answers
        if status < 300 and length != WHOLE_B
    ]


async def run():
    async with Scene(FOLDER, ZONES) as scene:
        servers = [ServerProcess(scene.record, f'i-{n}') for n in range(SERVERS)]
        try:
            for server in servers:
                scene.store.write('servers', server.name, server.row())
            route = ('doc-upload', '/d/', 'upload', '5s', '1021ms', 1, 'docs')
            scene.store.write('op', 'config', standins.manifest(12, [route], ['docs']))
            await scene.start_vms()
            await asyncio.sleep(2)
            answers = []
            for number in range(ROUNDS_MAX):
                answers += await play_round(scene, number, servers[number])
                if cut_short(answers):
                    break
                await asyncio.sleep(PAUSE_S)
        finally:
            said = [line for server in servers for line in server.end()]
        ran = sum(line.startswith('runs') for line in said)
        mixed = cut_short(answers)
        whole = sum(status < 300 and length == WHOLE_B for _, status, _, length in answers)
        scene.record.add(f'{ran} ran; {whole} whole answers of {WHOLE_B} bytes')
        scene.record.add(f'MIXED: successes that are complete to the client, without the whole body: {mixed}')
        print(f'ran: {ran}; whole: {whole}; cut short, but complete to the client: {len(mixed)}')
        if not ran:
            raise standins.CannotRunError('no upload was served')
        return BROKEN if mixed else HELD


standins.main(run)
