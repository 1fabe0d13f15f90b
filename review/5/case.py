"""A machine is cut off for 12 s while it passes a long upload on."""

import asyncio
import contextlib
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import standins  # noqa: E402
from standins import BROKEN, HELD, HOST, TROUBLE, Scene, Server  # noqa: E402

# node_cut: 12 s, 0.35 of the machines, here one of three.
CUT_S = 12.0
DEADLINE_MS = 20_000
UPLOAD_B, PART_B, PART_S = 4_194_304, 131_072, 0.1
PROMISES = {408, 421, 429, 503}


class Link:
    """A proxy that holds all bytes back while it is cut."""

    def __init__(self):
        self.open = asyncio.Event()
        self.open.set()

    async def start(self, address, port):
        """Forward to that address; return the port to connect to."""
        async def serve(reader, writer):
            with contextlib.suppress(OSError):
                await self.open.wait()
                far_reader, far_writer = await asyncio.open_connection(address, port)
                await asyncio.gather(
                    self._copy(reader, far_writer), self._copy(far_reader, writer)
                )

        self._server = await asyncio.start_server(serve, '127.0.0.1', 0)
        return self._server.sockets[0].getsockname()[1]

    async def _copy(self, reader, writer):
        try:
            while content := await reader.read(65_536):
                await self.open.wait()
                writer.write(content)
                await writer.drain()
            await self.open.wait()
        except OSError:
            writer.transport.abort()
        finally:
            writer.close()


class DocumentServer(Server):
    """Begins to work on an upload when its head arrives."""

    async def serve(self, method, target, headers, reader, writer):
        if target == '/healthz':
            writer.write(self.health())
            return
        request_id = headers['x-chestnutshift-request-id']
        self.run(request_id)
        body = await standins.read_body(reader, headers.items())
        self.record.add(f'server {self.name} has stored {len(body)} bytes of {request_id}')
        writer.write(self.sealed(request_id))


async def upload(scene, port, request_id):
    """Upload a document part by part; return the status of the answer."""
    record = scene.record
    reader, writer = await asyncio.open_connection('127.0.0.1', port)
    head = (
        f'POST /d/x HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Chestnutshift-Request-Id: {request_id}\r\n'
        f'X-Chestnutshift-Deadline-Ms: {DEADLINE_MS}\r\n'
        f'Content-Length: {UPLOAD_B}\r\n\r\n'
    )
    record.add(f'client sends {request_id}, {UPLOAD_B} bytes')

    async def send():
        writer.write(head.encode())
        for _ in range(UPLOAD_B // PART_B):
            writer.write(b'd' * PART_B)
            await writer.drain()
            await asyncio.sleep(PART_S)

    sending = asyncio.create_task(send())
    try:
        async with asyncio.timeout(DEADLINE_MS / 1000):
            status, _, _ = await standins.read_answer(reader)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as error:
        record.add(f'client gets no answer to {request_id}: {error!r}')
        return None
    finally:
        sending.cancel()
        await asyncio.gather(sending, return_exceptions=True)
        writer.close()
    record.add(f'client gets {status} to {request_id}')
    return status


async def run():
    async with Scene(FOLDER, ('a1', 'b1', 'c1')) as scene:
        vm = scene.vms[0]
        link = Link()
        vm.use_store(f'127.0.0.1:{await link.start("127.0.0.1", scene.store.port)}')
        server = DocumentServer(scene.record, 'i-1', 'docs', 'a1')
        await server.start()
        server_port = await link.start('127.0.0.1', server.port)
        row = server.row()
        scene.store.write('servers', server.name, {**row, 'addr': f'127.0.0.1:{server_port}'})
        route = ('doc-upload', '/d/', 'upload', '20s', '800ms', 1, 'docs')
        limits = {'max_body_bytes': 16_777_216}
        scene.store.write('op', 'config', standins.manifest(12, [route], ['docs'], limits=limits))
        front = await link.start(vm.address, 8686)
        await scene.start_vms()
        await asyncio.sleep(2)
        uploading = asyncio.create_task(upload(scene, front, 'doc-1'))
        # By then more than 1,048,576 bytes have been sent.
        await asyncio.sleep(1.5)
        if TROUBLE:
            scene.record.add(f'{vm.name} is cut off')
            link.open.clear()
            await asyncio.sleep(CUT_S)
            link.open.set()
            scene.record.add(f'{vm.name} is reached again')
        status = await uploading
        await asyncio.sleep(0.5)
        broken = status in PROMISES and 'doc-1' in server.runs
        scene.record.add(f'REFUSED: answered {status}, run by the server: {server.runs.count("doc-1")}')
        print(f'answer {status}; runs {server.runs.count("doc-1")}')
        if not server.runs:
            raise standins.CannotRunError('the upload did not reach the server')
        return BROKEN if broken else HELD


standins.main(run)
