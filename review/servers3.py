"""A sound server, in the process of the case, for the scripts of the review."""

import asyncio
import time

SEAL = 'X-Chestnutshift-Server-Seal: 3e1b.07.5a2.600.0.c9f2a4d1'


class Server:
    """One server; `work` says what it does with a request.

    runs has the id, the path and the time of each request that it began.
    """

    def __init__(self, name, address, record, work=None):
        self.name, self.address, self.record = name, address, record
        self.port = 0
        self.runs = []
        self.checks = 0
        self._work = work or self._answer_at_once
        self._server = None
        self._writers = set()

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, self.address, self.port, limit=2**20, backlog=1000
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self):
        """End at once: no listener, and all channels are reset."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                await self._exchange(reader, writer)
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _exchange(self, reader, writer):
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        lines = head.split('\r\n')
        method, path, _ = lines[0].split(' ')
        fields = {}
        for line in lines[1:]:
            name, _, text = line.partition(':')
            fields[name.lower()] = text.strip()
        if path == '/healthz':
            self.checks += 1
            writer.write(
                f'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n'
                f'X-Chestnutshift-Instance-Id: {self.name}\r\n\r\n'.encode()
            )
            return
        body = await reader.readexactly(int(fields.get('content-length', 0)))
        request_id = fields['x-chestnutshift-request-id']
        if fields.get('x-chestnutshift-expect-instance') != self.name:
            writer.write(
                f'HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n'
                f'X-Chestnutshift-Request-Id: {request_id}\r\n'
                f'X-Chestnutshift-Instance-Id: {self.name}\r\n\r\n'.encode()
            )
            return
        peer = writer.get_extra_info('peername')[0]
        self.runs.append((request_id, path, time.monotonic(), peer))
        self.record(f'{self.name} runs {request_id} {method} {path} of {peer}')
        await self._work(self, request_id, path, body, writer)

    async def _answer_at_once(self, _server, request_id, _path, _body, writer):
        writer.write(answer(request_id, b'ok'))
        await writer.drain()


def answer(request_id, body, *lines, status='200 OK'):
    """Return an answer with the seal of a server."""
    head = [
        f'HTTP/1.1 {status}',
        f'X-Chestnutshift-Request-Id: {request_id}',
        SEAL,
        *lines,
        f'Content-Length: {len(body)}',
    ]
    return ('\r\n'.join(head) + '\r\n\r\n').encode() + body
