"""A process that answers look-ups over HTTP with a minimal ASGI application."""

import json
import sys
import time

import trio
from hypercorn.config import Config
from hypercorn.trio import serve

from bench.capacity import clients
from bench.capacity.lookup_slopes import PRESET, make_directory
from chestnutshift.lookup.answers import LookupAnswer, Question
from chestnutshift.lookup.directory import LookupDirectory

BLOCKS = 20_000
VMS = 12
PROCESSOR_PATH = '/processor'
SAMPLES = 1000


def as_json(answer: LookupAnswer) -> bytes:
    """Return the JSON body of an answer."""
    entries = [
        {
            'vm': entry.name,
            'region': entry.region,
            'failure_domain': entry.failure_domain,
            'url': entry.url,
        }
        for entry in answer.entries
    ]
    document = {'lifetime_s': answer.lifetime_s, 'entries': entries}
    return json.dumps(document).encode()


class StandIn:
    """An ASGI application for look-up answers and its own processor time."""

    def __init__(self, directory: LookupDirectory) -> None:
        """Create the application with questions from the directory's table."""
        self._directory = directory
        addresses = clients.make_addresses(directory.table, SAMPLES)
        self._questions = [Question(address) for address in addresses]
        self._count = 0

    async def __call__(self, scope: dict, receive, send) -> None:
        """Serve one ASGI connection scope."""
        if scope['type'] == 'lifespan':
            await receive()
            await send({'type': 'lifespan.startup.complete'})
            await receive()
            await send({'type': 'lifespan.shutdown.complete'})
            return
        body = self._body(scope['path'])
        length = str(len(body)).encode()
        headers = [(b'content-length', length)]
        start = {'type': 'http.response.start', 'status': 200}
        await send({**start, 'headers': headers})
        await send({'type': 'http.response.body', 'body': body})

    def _body(self, path: str) -> bytes:
        if path == PROCESSOR_PATH:
            return str(time.process_time()).encode()
        self._count += 1
        question = self._questions[self._count % SAMPLES]
        answer = self._directory.answer(question, PRESET, trio.current_time())
        return as_json(answer)


async def main(port: int) -> None:
    """Serve on a loopback port until the process is terminated."""
    config = Config()
    config.bind = [f'127.0.0.1:{port}']
    config.accesslog = None
    config.errorlog = None
    config.keep_alive_max_requests = sys.maxsize
    directory = make_directory(VMS, clients.make_table(BLOCKS))
    await serve(StandIn(directory), config)


if __name__ == '__main__':
    trio.run(main, int(sys.argv[1]))
