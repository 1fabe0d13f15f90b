"""Stand-in for the upstreams of one failure domain, all in one process.

Run as `python -m standins.upstream --settings FILE.toml`.
"""

import hashlib
import json
from collections import Counter, deque
from functools import partial
from itertools import repeat
from typing import Any

import attrs
import trio
from hypercorn.trio.tcp_server import TCPServer
from hypercorn.trio.worker_context import WorkerContext
from hypercorn.typing import ConnectionState
from hypercorn.utils import wrap_app

from standins import serving

CHUNK_B = 65_536
COLD_DELAY_S = 0.2
MILLISECONDS = 1000
RUN_HEADERS = {
    'request_id': 'x-request-id',
    'idempotency_key': 'idempotency-key',
    'account': 'chestnutshift-account',
}


@attrs.frozen
class UpstreamSettings:
    """One upstream; a request beyond slots and queue is shed."""

    name: str
    service: str
    address: str
    port: int
    slots: int = 8
    max_connections: int = 400
    cold_start_s: float = 0
    connection_ms: float = 1
    queue: int = 16


@attrs.frozen
class Faults:
    """Faults, changed by PUT /standin/faults; status is of requests run."""

    report_lag_s: float = 0
    report_factor: float = 1
    leaving: bool = False
    freeze: bool = False
    break_after_b: int | None = None
    delay_ms: float = 0
    status: int = 200


@attrs.define
class Exchange:
    """One request on its way: whether it ran and has begun its answer."""

    scope: serving.Scope
    receive: serving.Receive
    send: serving.Send
    headers: list[tuple[str, str]]
    run: int = 0
    answering: bool = False
    body_length: int = 0
    sha256: Any = attrs.field(factory=hashlib.sha256)

    def first(self, name: str, absent: str = '') -> str:
        """Return the first header of the name in lower case."""
        return dict(reversed(self.headers)).get(name, absent)

    async def receive_all(self, scope, task_status=trio.TASK_STATUS_IGNORED):
        """Read the body in constant memory; cancel when the client goes."""
        message = await self.receive()
        while message['type'] == 'http.request':
            self.body_length += len(message['body'])
            self.sha256.update(message['body'])
            if not message['more_body']:
                task_status.started()
            message = await self.receive()
        scope.cancel()
        await trio.sleep_forever()


class UpstreamApp:
    """The ASGI application of one upstream."""

    def __init__(self, settings: UpstreamSettings) -> None:
        """Start with free slots, cold."""
        self.settings = settings
        self.faults = Faults()
        self._runs: Counter[tuple[tuple[str, str], ...]] = Counter()
        self.run_count = 0
        self._started_at = trio.current_time()
        self._slots = trio.Semaphore(settings.slots)
        # Times with the requests in flight and queued since then.
        self._loads = deque([(self._started_at, 0, 0)])

    async def __call__(self, scope, receive, send) -> None:
        """Answer one request."""
        headers = [
            (name.decode('latin-1'), text.decode('latin-1'))
            for name, text in scope['headers']
        ]
        exchange = Exchange(scope, receive, send, headers)
        match (scope['method'], scope['path']):
            case ('GET', '/standin/runs'):
                counts = self._runs.items()
                runs = [{**dict(run), 'count': count} for run, count in counts]
                payload: Any = {'runs': runs}
            case ('PUT', '/standin/faults'):
                changes = json.loads(await serving.read_body(receive))
                self.faults = attrs.evolve(self.faults, **changes)
                payload = attrs.asdict(self.faults)
            case _ if self.faults.freeze:
                with trio.CancelScope() as until_gone:
                    await exchange.receive_all(until_gone)
                return None
            case ('GET', '/health'):
                leaving = self.faults.leaving
                status = 'draining' if leaving else 'ok'
                payload = {'status': status, 'leaving': leaving}
            case ('GET', '/load'):
                payload = self._report_load()
            case _:
                return await self._serve(exchange)
        await serving.Answer(200, payload).send(send)

    def _report_load(self) -> dict[str, int]:
        self._note_load()
        factor = self.faults.report_factor
        in_flight, queued = (
            round(count * factor) for count in self._loads[0][1:]
        )
        slots = self.settings.slots
        return {'in_flight': in_flight, 'queued': queued, 'slots': slots}

    def _note_load(self) -> None:
        now = trio.current_time()
        queued = self._slots.statistics().tasks_waiting
        in_flight = self.settings.slots - self._slots.value
        self._loads.append((now, in_flight, queued))
        known_at = now - self.faults.report_lag_s
        while len(self._loads) > 1 and self._loads[1][0] <= known_at:
            self._loads.popleft()

    def _headers(self, run: int) -> serving.Headers:
        ran = (b'chestnutshift-ran', b'yes' if run else b'no')
        leaving = (b'chestnutshift-leaving', b'yes')
        always = ((b'content-type', b'application/json'), ran)
        return (*always, leaving) if self.faults.leaving else always

    async def _serve(self, exchange: Exchange) -> None:
        queued = self._slots.statistics().tasks_waiting
        if not self._slots.value and queued >= self.settings.queue:
            headers = (*self._headers(0), (b'retry-after', b'1'))
            shed = serving.Answer(503, {'ran': False}, headers)
            return await shed.send(exchange.send)
        left_ms = float(exchange.first('chestnutshift-deadline-ms', 'inf'))
        deadline = trio.move_on_after(left_ms / MILLISECONDS)
        with deadline:
            await self._run_watched(exchange)
        self._note_load()
        if not deadline.cancelled_caught:
            return None
        if exchange.answering:
            return await serving.close_connection(exchange.send)
        headers = self._headers(exchange.run)
        late = serving.Answer(504, {'ran': bool(exchange.run)}, headers)
        await late.send(exchange.send)

    async def _run_watched(self, exchange: Exchange) -> None:
        """Run the request unless its client goes away meanwhile."""
        has_body = exchange.first('content-length', '0') != '0'
        has_body = has_body or bool(exchange.first('transfer-encoding'))
        async with trio.open_nursery() as nursery:
            receive = partial(exchange.receive_all, nursery.cancel_scope)
            if not has_body:
                await nursery.start(receive)
            async with self._slots:
                self._note_load()
                if has_body:
                    await nursery.start(receive)
                await self._run(exchange)
            nursery.cancel_scope.cancel()

    async def _run(self, exchange: Exchange) -> None:
        scope = exchange.scope
        named = ((key, exchange.first(RUN_HEADERS[key])) for key in RUN_HEADERS)
        target = {'method': scope['method'], 'path': scope['raw_path'].decode()}
        self._runs[(*named, *target.items())] += 1
        self.run_count += 1
        exchange.run = self.run_count
        query = serving.parse_query(scope)
        delay_ms = float(query.get('delay_ms', 0)) + self.faults.delay_ms
        await trio.sleep(delay_ms / MILLISECONDS + self._cold_delay_s())
        exchange.answering = True
        echo = {
            'name': self.settings.name,
            'service': self.settings.service,
            **target,
            'query': query,
            'body_length': exchange.body_length,
            'body_sha256': exchange.sha256.hexdigest(),
            'run': exchange.run,
            'headers': exchange.headers,
            'trailers': [],  # Hypercorn drops a request's trailers.
        }
        await self._answer(exchange, echo, int(query.get('size', 0)))

    def _cold_delay_s(self) -> float:
        cold_start_s = self.settings.cold_start_s
        left_s = self._started_at + cold_start_s - trio.current_time()
        return COLD_DELAY_S * left_s / cold_start_s if left_s > 0 else 0

    async def _answer(self, exchange: Exchange, echo: Any, size: int) -> None:
        """Stream the echo, padded to the size, or broken off early."""
        head, tail = json.dumps(echo).encode(), b''
        if size > len(head):
            head, tail = b'%s, "padding": "' % head[:-1], b'"}'
        padding = max(0, size - len(head) - len(tail))
        length = len(head) + padding + len(tail)
        send = exchange.send
        headers = self._headers(exchange.run)
        await serving.start_answer(send, self.faults.status, length, headers)
        left = self.faults.break_after_b
        whole, rest = divmod(padding, CHUNK_B)
        fill = (*repeat(b'x' * CHUNK_B, whole), b'x' * rest)
        for chunk in (head, *fill, tail):
            part = chunk[:left]
            body = {'type': 'http.response.body', 'body': part}
            await send({**body, 'more_body': True})
            if len(part) < len(chunk):
                return await serving.close_connection(send)
            left = left and left - len(part)
        await send({'type': 'http.response.body', 'body': b''})


async def serve_upstream(app, stop, task_status=trio.TASK_STATUS_IGNORED):
    """Serve until the stop event, then let open requests finish."""
    settings = app.settings
    config = serving.server_config(settings.address, settings.port)
    context = WorkerContext(None)
    server = partial(TCPServer, wrap_app(app, 0, 'asgi'), config, context)
    accepting = trio.Lock()

    async def serve_connection(stream: trio.SocketStream) -> None:
        if len(connections.child_tasks) > settings.max_connections:
            return await trio.aclose_forcefully(stream)
        async with accepting:
            await trio.sleep(settings.connection_ms / MILLISECONDS)
        await server(ConnectionState({}), stream).run()

    async with trio.open_nursery() as connections:
        accept = partial(
            trio.serve_tcp,
            serve_connection,
            settings.port,
            host=settings.address,
            handler_nursery=connections,
        )
        async with trio.open_nursery() as acceptors:
            listeners = await acceptors.start(accept)
            task_status.started(listeners[0].socket.getsockname()[1])
            await stop.wait()
            acceptors.cancel_scope.cancel()
        await context.terminated.set()
        stop_at = trio.current_time() + config.graceful_timeout
        connections.cancel_scope.deadline = stop_at


async def run(settings: dict[str, Any]) -> None:
    """Serve every upstream of the settings until a stop signal."""
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        for upstream in settings['upstreams']:
            app = UpstreamApp(UpstreamSettings(**upstream))
            await nursery.start(serve_upstream, app, stop)
        await serving.wait_for_stop_signal()
        stop.set()


if __name__ == '__main__':
    serving.main(run)
