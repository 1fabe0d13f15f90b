"""A download crashes each server that runs it, midway through its answer."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import BROKEN, HELD, TROUBLE, Scene, Server, call  # noqa: E402

SERVERS = 8
ANSWER_B, CRASH_B = 480_000, 320_000
DOWN_S = 2.0
CONTACT_S = 3.0
REPEATS, REPEAT_S = 24, 1.0
# Other requests at the same servers.
SUBMIT_S, SUBMIT_GAP_S = 0.3, 0.04
RETRIES_MAX = 3


class CrashingServer(Server):
    """Crashes midway through the answer to one request; is back after 2 s."""

    arrivals, crashes = [], []

    async def work(self, request_id, target, body, writer):
        self.run(request_id)
        content = b'm' * ANSWER_B
        whole = self.sealed(request_id, content)
        if target.startswith('/s/'):
            await asyncio.sleep(SUBMIT_S)
            writer.write(self.sealed(request_id))
            return
        if target == '/m/poison':
            self.arrivals.append(time.monotonic())
        if target == '/m/poison' and TROUBLE:
            writer.write(whole[:CRASH_B])
            await writer.drain()
            await asyncio.sleep(0.05)
            self.crash()
            raise ConnectionError('crashed')
        writer.write(whole)

    def crash(self):
        self.crashes.append(time.monotonic())
        self.record.add(f'server {self.name} crashes')
        self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.restart = asyncio.create_task(self._restart())

    async def _restart(self):
        await asyncio.sleep(DOWN_S)
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', self.port, limit=2**20)
        self.born = time.time_ns() // 1_000_000
        self.name_again()

    def name_again(self):
        self.seq = 0
        self.store.write('servers', self.name, self.row())
        self.record.add(f'server {self.name} is back')


async def submit(scene, statuses):
    """Send other requests, which are not idempotent, until cancelled."""
    async def one(number):
        vm = scene.vms[number % len(scene.vms)]
        headers = [
            ('X-Chestnutshift-Request-Id', f'log-{number}'),
            ('X-Chestnutshift-Deadline-Ms', '3000'),
        ]
        try:
            status, _, _ = await call(vm.address, 8686, 'POST', '/s/x', headers, b'found it', timeout_s=4)
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            status = 0
        statuses[status] = statuses.get(status, 0) + 1

    async with asyncio.TaskGroup() as clients:
        for number in range(round(REPEATS * REPEAT_S / SUBMIT_GAP_S)):
            clients.create_task(one(number))
            await asyncio.sleep(SUBMIT_GAP_S)


async def run():
    async with Scene(FOLDER, ('a1', 'b1', 'c1')) as scene:
        servers = [CrashingServer(scene.record, f'm-{n}', 'maps', ('a1', 'b1', 'c1')[n % 3], slots=9) for n in range(SERVERS)]
        for server in servers:
            server.store = scene.store
            await server.start()
            scene.store.write('servers', server.name, server.row())
        routes = [
            ('map-pack', '/m/', 'download', '3s', '924ms', 2, 'maps'),
            ('log-submit', '/s/', 'unsafe', '3s', '1119ms', 2, 'maps'),
        ]
        scene.store.write('op', 'config', standins.manifest(12, routes, ['maps']))
        await scene.start_vms()
        await asyncio.sleep(3.5)
        statuses = {}
        others = asyncio.create_task(submit(scene, statuses))
        for number in range(REPEATS):
            vm = scene.vms[number % 3]
            headers = [
                ('X-Chestnutshift-Request-Id', f'p-{number}'),
                ('X-Chestnutshift-Deadline-Ms', '2000'),
            ]
            scene.record.add(f'client sends p-{number} to {vm.name}')
            try:
                status, _, body = await call(vm.address, 8686, 'GET', '/m/poison', headers, timeout_s=3)
                scene.record.add(f'client gets {status}, {len(body)} bytes, to p-{number}')
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
                scene.record.add(f'client gets no whole answer to p-{number}: {error!r}')
            await asyncio.sleep(REPEAT_S)
        await others
        scene.record.add(f'answers to the other requests by status: {statuses}')
        arrivals, crashes = CrashingServer.arrivals, CrashingServer.crashes
        late = []
        if len(crashes) >= 3:
            late = [at for at in arrivals if at > crashes[2] + CONTACT_S]
        scene.record.add(f'{len(crashes)} servers crashed; BUDGET: arrivals later than contact after the third crash: {len(late)}')
        print(f'crashes: {len(crashes)}; arrivals later than contact after the third: {len(late)}; others: {statuses}')
        if not arrivals:
            raise standins.CannotRunError('nothing arrived')
        return BROKEN if len(late) > RETRIES_MAX else HELD


standins.main(run)
