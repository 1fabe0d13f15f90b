"""Stand-in for all upstreams of one failure domain, in one process.

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
# Added right after the start; falls linearly to 0 over cold_start_s.
MAX_COLD_DELAY_S = 0.2
MS_PER_S = 1000
RUN_HEADERS = {
    'request_id': 'x-request-id',
    'idempotency_key': 'idempotency-key',
    'account': 'chestnutshift-account',
}


@attrs.frozen
class UpstreamSettings:
    """Settings of one upstream; it sheds requests beyond slots and queue."""

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
    """Faults set by PUT /standin/faults; requests that ran get the status."""

    report_lag_s: float = 0
    report_factor: float = 1
    leaving: bool = False
    freeze: bool = False
    break_after_b: int | None = None
    delay_ms: float = 0
    status: int = 200


@attrs.define
class Exchange:
    """One request.

    run_number is 0 until the request runs; the runs of an upstream are
    numbered from 1.
    """

    scope: serving.Scope
    receive: serving.Receive
    send: serving.Send
    headers: list[tuple[str, str]]
    run_number: int = 0
    answering: bool = False
    body_length: int = 0
    sha256: Any = attrs.field(factory=hashlib.sha256)

    def header(self, name: str, default: str = '') -> str:
        """Return the first header of that lower-case name."""
        return dict(reversed(self.headers)).get(name, default)

    async def receive_all(
        self, cancel_scope, task_status=trio.TASK_STATUS_IGNORED
    ):
        """Hash the body as it arrives; cancel the scope on a disconnect."""
        message = await self.receive()
        while message['type'] == 'http.request':
            self.body_length += len(message['body'])
            self.sha256.update(message['body'])
            if not message['more_body']:
                task_status.started()
            message = await self.receive()
        cancel_scope.cancel()
        await trio.sleep_forever()


class UpstreamApp:
    """ASGI application of one upstream."""

    def __init__(self, settings: UpstreamSettings) -> None:
        """Start cold, with all slots free."""
        self.settings = settings
        self.faults = Faults()
        self._runs: Counter[tuple[tuple[str, str], ...]] = Counter()
        self._run_count = 0
        self._started_at = trio.current_time()
        self._slots = trio.Semaphore(settings.slots)
        # Entries of (time, in flight, queued); each applies until the next.
        self._load_history = deque([(self._started_at, 0, 0)])

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
                with trio.CancelScope() as until_disconnect:
                    await exchange.receive_all(until_disconnect)
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
        self._record_load()
        factor = self.faults.report_factor
        in_flight, queued = (
            round(count * factor) for count in self._load_history[0][1:]
        )
        slots = self.settings.slots
        return {'in_flight': in_flight, 'queued': queued, 'slots': slots}

    def _record_load(self) -> None:
        now = trio.current_time()
        queued = self._slots.statistics().tasks_waiting
        in_flight = self.settings.slots - self._slots.value
        self._load_history.append((now, in_flight, queued))
        reported_at = now - self.faults.report_lag_s
        while (
            len(self._load_history) > 1
            and self._load_history[1][0] <= reported_at
        ):
            self._load_history.popleft()

    def _answer_headers(self, run_number: int) -> serving.Headers:
        ran = (b'chestnutshift-ran', b'yes' if run_number else b'no')
        leaving = (b'chestnutshift-leaving', b'yes')
        common = ((b'content-type', b'application/json'), ran)
        return (*common, leaving) if self.faults.leaving else common

    async def _serve(self, exchange: Exchange) -> None:
        queued = self._slots.statistics().tasks_waiting
        if not self._slots.value and queued >= self.settings.queue:
            headers = (*self._answer_headers(0), (b'retry-after', b'1'))
            shed_answer = serving.Answer(503, {'ran': False}, headers)
            return await shed_answer.send(exchange.send)
        remaining_ms = float(
            exchange.header('chestnutshift-deadline-ms', 'inf')
        )
        deadline = trio.move_on_after(remaining_ms / MS_PER_S)
        with deadline:
            await self._run_until_disconnect(exchange)
        self._record_load()
        if not deadline.cancelled_caught:
            return None
        if exchange.answering:
            return await serving.close_connection(exchange.send)
        headers = self._answer_headers(exchange.run_number)
        timeout_answer = serving.Answer(
            504, {'ran': bool(exchange.run_number)}, headers
        )
        await timeout_answer.send(exchange.send)

    async def _run_until_disconnect(self, exchange: Exchange) -> None:
        """Run the request; cancel it if the client disconnects."""
        has_body = exchange.header('content-length', '0') != '0'
        has_body = has_body or bool(exchange.header('transfer-encoding'))
        async with trio.open_nursery() as nursery:
            receive = partial(exchange.receive_all, nursery.cancel_scope)
            if not has_body:
                await nursery.start(receive)
            async with self._slots:
                self._record_load()
                if has_body:
                    await nursery.start(receive)
                await self._run(exchange)
            nursery.cancel_scope.cancel()

    async def _run(self, exchange: Exchange) -> None:
        scope = exchange.scope
        header_fields = (
            (key, exchange.header(RUN_HEADERS[key])) for key in RUN_HEADERS
        )
        target = {'method': scope['method'], 'path': scope['raw_path'].decode()}
        self._runs[(*header_fields, *target.items())] += 1
        self._run_count += 1
        exchange.run_number = self._run_count
        query = serving.parse_query(scope)
        delay_ms = float(query.get('delay_ms', 0)) + self.faults.delay_ms
        await trio.sleep(delay_ms / MS_PER_S + self._cold_delay_s())
        exchange.answering = True
        echo = {
            'name': self.settings.name,
            'service': self.settings.service,
            **target,
            'query': query,
            'body_length': exchange.body_length,
            'body_sha256': exchange.sha256.hexdigest(),
            'run': exchange.run_number,
            'headers': exchange.headers,
            'trailers': [],  # Hypercorn drops a request's trailers.
        }
        await self._answer(exchange, echo, int(query.get('size', 0)))

    def _cold_delay_s(self) -> float:
        cold_start_s = self.settings.cold_start_s
        remaining_s = self._started_at + cold_start_s - trio.current_time()
        return (
            MAX_COLD_DELAY_S * remaining_s / cold_start_s
            if remaining_s > 0
            else 0
        )

    async def _answer(self, exchange: Exchange, echo: Any, size: int) -> None:
        """Stream the echo, padded to size bytes; stop at break_after_b."""
        head, tail = json.dumps(echo).encode(), b''
        if size > len(head):
            head, tail = b'%s, "padding": "' % head[:-1], b'"}'
        padding = max(0, size - len(head) - len(tail))
        length = len(head) + padding + len(tail)
        send = exchange.send
        headers = self._answer_headers(exchange.run_number)
        await serving.start_answer(send, self.faults.status, length, headers)
        remaining_b = self.faults.break_after_b
        chunk_count, rest = divmod(padding, CHUNK_B)
        padding_chunks = (*repeat(b'x' * CHUNK_B, chunk_count), b'x' * rest)
        for chunk in (head, *padding_chunks, tail):
            part = chunk[:remaining_b]
            body = {'type': 'http.response.body', 'body': part}
            await send({**body, 'more_body': True})
            if len(part) < len(chunk):
                return await serving.close_connection(send)
            remaining_b = remaining_b and remaining_b - len(part)
        await send({'type': 'http.response.body', 'body': b''})


async def serve_upstream(app, stop, task_status=trio.TASK_STATUS_IGNORED):
    """Serve until the stop event; then let requests under way finish."""
    settings = app.settings
    config = serving.server_config(settings.address, settings.port)
    context = WorkerContext(None)
    server = partial(TCPServer, wrap_app(app, 0, 'asgi'), config, context)
    accept_lock = trio.Lock()

    async def serve_connection(stream: trio.SocketStream) -> None:
        if len(connections.child_tasks) > settings.max_connections:
            return await trio.aclose_forcefully(stream)
        async with accept_lock:
            await trio.sleep(settings.connection_ms / MS_PER_S)
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
    """Serve every upstream of the settings until SIGTERM or SIGINT."""
    stop = trio.Event()
    async with trio.open_nursery() as nursery:
        for upstream in settings['upstreams']:
            app = UpstreamApp(UpstreamSettings(**upstream))
            await nursery.start(serve_upstream, app, stop)
        await serving.wait_for_stop_signal()
        stop.set()


if __name__ == '__main__':
    serving.main(run)
