"""The server of the case, in a process of its own, which the case kills.

It answers an upload before it has read the body, with an answer that has no
length and ends with its channel.
"""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

PARTS, PART_B, PART_S = 20, 1000, 0.05


class EarlyServer(standins.Server):
    async def serve(self, method, target, headers, reader, writer):
        if target == '/healthz':
            writer.write(self.health())
            return
        request_id = headers['x-chestnutshift-request-id']
        print('runs', request_id, flush=True)
        # The body is read after the answer.
        writer.transport.pause_reading()
        writer.write((
            'HTTP/1.1 200 OK\r\n'
            f'X-Chestnutshift-Request-Id: {request_id}\r\n'
            f'X-Chestnutshift-Server-Seal: seal.{self.name}.{request_id}\r\n'
            'Connection: close\r\n\r\n'
        ).encode())
        for _ in range(PARTS):
            writer.write(b'p' * PART_B)
            await writer.drain()
            await asyncio.sleep(PART_S)
        print('answered', request_id, flush=True)
        # The end of the answer; then the body is read.
        writer.write_eof()
        writer.transport.resume_reading()
        while await reader.read(65_536):
            pass
        raise ConnectionError('this channel has ended')


async def main():
    server = EarlyServer(standins.Record('.'), sys.argv[1], 'docs', 'a1', slots=32)
    await server.start()
    print('port', server.port, flush=True)
    await asyncio.Event().wait()


asyncio.run(main())
