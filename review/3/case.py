"""An entry of another writer stands among the servers."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import BROKEN, HELD, HOST, TROUBLE, Scene, Server  # noqa: E402

CHANNELS_PER_VM = 4
WORK_S = 1.5
LOST_MAX = 3
RESTARTS, RESTART_S = 4, 1.0
# 3 s in nanoseconds, taken for milliseconds.
ODD_COLD_LEFT, PLAIN_COLD_LEFT = '3000000000ms', '3000ms'


async def exchange(scene, channel, request_id):
    """Send one request on an open channel; return the status or None."""
    reader, writer = channel
    scene.record.add(f'client sends {request_id}')
    try:
        writer.write((
            f'GET /a/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Chestnutshift-Request-Id: {request_id}\r\n'
            'X-Chestnutshift-Deadline-Ms: 4000\r\n\r\n'
        ).encode())
        await writer.drain()
        async with asyncio.timeout(6):
            status, _, _ = await standins.read_answer(reader)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        scene.record.add(f'client gets no answer to {request_id}: {error!r}')
        return None
    scene.record.add(f'client gets {status} to {request_id}')
    return status


def foreign_row():
    """Return an entry of another writer, with a service that isn't named."""
    return {
        'addr': '127.0.0.1:9', 'born': 1_782_362_216_345,
        'info': {'service': 'backup-agent', 'version': 'v1', 'zone': 'a1', 'slots': 1},
        'status': {
            'state': 'ready', 'seq': 1,
            'cold_left': ODD_COLD_LEFT if TROUBLE else PLAIN_COLD_LEFT,
        },
    }


async def run():
    async with Scene(FOLDER, ('a1', 'b1', 'c1')) as scene:
        server = Server(scene.record, 'i-1', 's1', 'a1', slots=32)
        await server.start()
        scene.store.write('servers', server.name, server.row())
        route = ('search', '/a/', 'safe', '4s', '2s', 2, 's1')
        scene.store.write('op', 'config', standins.manifest(12, [route], ['s1']))
        await scene.start_vms()
        channels = [
            await asyncio.open_connection(vm.address, 8686)
            for vm in scene.vms for _ in range(CHANNELS_PER_VM)
        ]
        for number, channel in enumerate(channels):
            if await exchange(scene, channel, f'first-{number}') != 200:
                raise standins.CannotRunError('a first request was not served')
        # From here on the machines are in touch: contact is 3 s.
        await asyncio.sleep(3.5)
        server.work_s = WORK_S
        pending = [
            asyncio.create_task(exchange(scene, channel, f'kept-{number}'))
            for number, channel in enumerate(channels)
        ]
        await asyncio.sleep(0.4)
        row = foreign_row()
        scene.store.write('servers', 'agent-7', row)
        scene.record.add(f'another writer writes servers/agent-7: {row}')
        statuses = await asyncio.gather(*pending)
        lost = [
            f'kept-{number}' for number, status in enumerate(statuses)
            if status is None and f'kept-{number}' in server.runs
        ]
        for _, writer in channels:
            writer.close()
        ends = 0
        for _ in range(RESTARTS):
            for vm in scene.vms:
                code = vm.process.poll()
                if code is not None:
                    ends += 1
                    scene.record.add(f'{vm.name} has ended by itself, exit code {code}; it is restarted')
                    vm.start()
            await asyncio.sleep(RESTART_S + 1)
        scene.record.add(f'VM processes that ended by themselves: {ends}')
        scene.record.add(f'LOST: passed on to a sound server, channel closed without an answer: {lost}')
        print(f'lost: {len(lost)}; ends of VM processes by themselves: {ends}')
        return BROKEN if len(lost) > LOST_MAX else HELD


standins.main(run)
