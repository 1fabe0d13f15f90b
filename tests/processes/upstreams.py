"""Upstreams of VM processes, which do what the query of a request asks."""

from typing import Any
from urllib.parse import parse_qs

import attrs
import trio

from tests.edge.stand_ins import answer, read_body
from tests.processes.stop_records import Work

NAME = 'i-0'
REQUEST_ID = b'x-chestnutshift-request-id'
SEAL = (b'x-chestnutshift-server-seal', NAME.encode())
HEALTH_HEADERS = (
    (b'x-chestnutshift-instance-id', NAME.encode()),
    (b'x-chestnutshift-cold-ms', b'0'),
)


@attrs.define
class ObedientUpstream:
    """ASGI application that answers as the query of the request says.

    `pause_s` is a pause in the middle of the body, `work_s` the time that the
    answer takes, `length_b` the length of its body. targets are the paths and
    queries of the requests that came, works what became of each, by its id.
    """

    targets: list[str] = attrs.field(factory=list)
    works: dict[str, Work] = attrs.field(factory=dict)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request, or a health check."""
        if scope['path'] == '/healthz':
            await answer(send, 200, b'', *HEALTH_HEADERS)
            return
        query = scope['query_string'].decode()
        self.targets.append(
            f'{scope["path"]}?{query}' if query else scope['path']
        )
        asked = {'pause_s': 0, 'work_s': 0, 'length_b': 0} | {
            name: float(texts[0]) for name, texts in parse_qs(query).items()
        }
        request_id = dict(scope['headers'])[REQUEST_ID]
        work = Work(trio.current_time())
        self.works[request_id.decode()] = work
        try:
            if asked['pause_s']:
                await receive()
                await trio.sleep(asked['pause_s'])
            await read_body(receive)
            await trio.sleep(asked['work_s'])
            work.is_answered = True
        finally:
            work.ended_at = trio.current_time()
        body = b'x' * int(asked['length_b'])
        await answer(send, 200, body, (REQUEST_ID, request_id), SEAL)
