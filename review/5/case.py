"""A server crashes under downloads, with further requests behind them."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import BROKEN, HELD, HOST, TROUBLE, Scene, Server  # noqa: E402

# srv_crash: 0.14 of the servers, here one of eight.
DOWNLOAD_SERVERS, SEARCH_SERVERS = 4, 4
DOWNLOAD_B, PARTS, PART_S = 480_000, 12, 0.06
CHANNELS, BEHIND = 16, 3
LOST_MAX = 3


class DownloadServer(Server):
    """Sends its answers in parts, as they are made."""

    def __init__(self, *args, **options):
        super().__init__(*args, **options)
        self.has_crashed = False

    async def work(self, request_id, target, body, writer):
        self.running += 1
        try:
            self.run(request_id)
            content = b'm' * DOWNLOAD_B
            whole = self.sealed(request_id, content)
            head_b = len(whole) - len(content)
            writer.write(whole[:head_b])
            size_b = DOWNLOAD_B // PARTS
            for start in range(head_b, len(whole), size_b):
                await asyncio.sleep(PART_S)
                writer.write(whole[start:start + size_b])
                await writer.drain()
        finally:
            self.running -= 1

    def crash(self):
        """End as a killed process does: all channels are reset."""
        self.record.add(f'server {self.name} crashes')
        self.has_crashed = True
        self._server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()


async def read_one(reader):
    status, headers, body = await standins.read_answer(reader)
    return status, headers.get('x-chestnutshift-request-id'), len(body)


async def use_channel(scene, vm, number, answered):
    """Send a request, then a download with further requests behind it."""
    reader, writer = await asyncio.open_connection(vm.address, 8686, limit=2**20)
    record = scene.record

    def head(prefix, request_id):
        record.add(f'client sends {request_id} on channel {number}')
        return (
            f'GET /{prefix}/x HTTP/1.1\r\nHost: {HOST}\r\n'
            f'X-Chestnutshift-Request-Id: {request_id}\r\n'
            'X-Chestnutshift-Deadline-Ms: 4000\r\n'
            f'X-Chestnutshift-Affinity-Key: {number}\r\n\r\n'
        ).encode()

    sent = [f'first-{number}']
    writer.write(head('a', sent[0]))
    try:
        async with asyncio.timeout(8):
            status, request_id, _ = await read_one(reader)
            answered[request_id] = status
            await asyncio.sleep(0.5)
            ids = [f'download-{number}'] + [f'behind-{number}-{k}' for k in range(BEHIND)]
            writer.write(head('m', ids[0]))
            for request_id in ids[1:]:
                writer.write(head('a', request_id))
            for _ in ids:
                status, request_id, length = await read_one(reader)
                answered[request_id] = status
                record.add(f'client gets {status}, {length} bytes, to {request_id}')
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record.add(f'channel {number} ends: {error!r}')
    finally:
        writer.close()


async def run():
    async with Scene(FOLDER) as scene:
        downloads = [DownloadServer(scene.record, f'm-{n}', 'maps', 'a1', slots=9) for n in range(DOWNLOAD_SERVERS)]
        searches = [Server(scene.record, f's-{n}', 'logs', 'a1', slots=9) for n in range(SEARCH_SERVERS)]
        for server in (*downloads, *searches):
            await server.start()
            scene.store.write('servers', server.name, server.row())
        routes = [
            ('map-pack', '/m/', 'download', '3s', '924ms', 2, 'maps'),
            ('cache-read', '/a/', 'safe', '3s', '909ms', 2, 'logs'),
        ]
        scene.store.write('op', 'config', standins.manifest(12, routes, ['maps', 'logs']))
        await scene.start_vms()
        # From here on the machine is in touch: contact is 3 s.
        await asyncio.sleep(3.5)
        answered = {}
        clients = [
            asyncio.create_task(use_channel(scene, scene.vms[0], number, answered))
            for number in range(CHANNELS)
        ]
        # Of each download over 262,144 bytes have been sent by then.
        await asyncio.sleep(0.5 + PART_S * PARTS * 0.8)
        if TROUBLE:
            max(downloads, key=lambda server: server.running).crash()
        await asyncio.gather(*clients)
        lost = sorted(
            request_id for server in searches for request_id in server.runs
            if request_id.startswith('behind') and request_id not in answered
        )
        scene.record.add(f'LOST: passed on to a sound server, channel closed without an answer: {lost}')
        print(f'answered: {len(answered)}; lost at sound servers: {len(lost)}')
        if not any(server.runs for server in downloads):
            raise standins.CannotRunError('no download was served')
        return BROKEN if len(lost) > LOST_MAX else HELD


standins.main(run)
