"""Changes of route table and upstreams while a request is under way."""

import functools
import itertools
import json
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from unittest.mock import patch

import attrs
import trio
from trio.testing import trio_test

from chestnutshift.edge import events, limits
from chestnutshift.events.log import EventFilter
from chestnutshift.fleet.shares import AccountShares
from chestnutshift.routes.model import Account
from chestnutshift.steering.upstreams import Condition
from chestnutshift.upstreams.connections import UpstreamConnections
from tests.callers.clients import Caller, calling
from tests.edge.stand_ins import LONG_ANSWER_B, REQUEST_ID
from tests.edge.world import (
    ADDRESS,
    RAW_UPSTREAM,
    World,
    running_edge_at,
    until,
)
from tests.platform.samples import REGISTRATION, ROUTE_TABLE

COLUMNS = ('name', 'prefix', 'kind', 'timeout', 'attempts', 'host', 'service')
HOST = 'one.example'
READ_ROW = ('read', '/a/', 'safe', '2500ms', 2, HOST, 's1')
WRITE_ROW = ('write', '/b/', 'unsafe', '2500ms', 1, HOST, 's1')
ACCOUNT_COLUMNS = ('name', 'api_keys', 'rate_per_s', 'burst')
KEY = 'k1'
BODY = b'a body'
PART_B = 3
# So much of a long answer is sent before the change.
BEGUN_B = 300_000
SHORT = '50ms'
TOKEN_WAIT_S = 0.8
ANSWER = (
    b'HTTP/1.1 200 OK\r\nx-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-server-seal: s\r\ncontent-length: %d\r\n\r\n%b'
)
REFUSAL = (
    b'HTTP/1.1 503 Service Unavailable\r\n'
    b'x-chestnutshift-request-id: %b\r\n'
    b'x-chestnutshift-not-executed: 1\r\ncontent-length: 0\r\n\r\n'
)
CHECK_ANSWER = b'HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n'
SERVED, BROKEN, REFUSED = 200, 502, 503
# Stages at which a request is not sent yet.
UNSENT = ('body', 'token', 'turn', 'connection')
LOSSES = (events.CONNECTION_LOST, events.REQUEST_ABORTED, events.FAULT)
Document = dict[str, object]


@attrs.define
class HeldUpstream:
    """An upstream that holds each request until the test lets it go on.

    A request's path names the stage at which it is. received are the stages of
    requests that came, released those that go on.
    """

    received: set[str] = attrs.field(factory=set)
    released: set[str] = attrs.field(factory=set)

    async def serve(self, stream: trio.SocketStream) -> None:
        """Serve one connection."""
        async with stream:
            with suppress(trio.BrokenResourceError, trio.ClosedResourceError):
                while head := await _read_request(stream):
                    await self._serve_request(stream, head)

    async def _serve_request(
        self, stream: trio.SocketStream, head: bytes
    ) -> None:
        found = REQUEST_ID.search(head)
        if found is None:
            await stream.send_all(CHECK_ANSWER)
            return
        stage = head.split(b'/')[2].decode()
        begun = b'l' * BEGUN_B
        if stage == 'streamed':
            await stream.send_all(ANSWER % (found[1], LONG_ANSWER_B, begun))
        self.received.add(stage)
        await until(lambda: stage in self.released)
        rest = {
            'streamed': b'l' * (LONG_ANSWER_B - BEGUN_B),
            'refused': REFUSAL % found[1],
        }
        if stage == 'broken':
            await stream.aclose()
            return
        answer = ANSWER % (found[1], len(BODY), BODY)
        await stream.send_all(rest.get(stage, answer))


async def _read_request(stream: trio.SocketStream) -> bytes:
    """Return the head of a request, having read its body; empty at the end."""
    received = await stream.receive_some(65_536)
    while received and b'\r\n\r\n' not in received:
        received += await stream.receive_some(65_536)
    head, _, body = received.partition(b'\r\n\r\n')
    while b'POST' in head and len(body) < len(BODY):
        body += await stream.receive_some(65_536)
    return head


@attrs.define
class Operator:
    """Writes route tables and the upstream's row, each newer than the last."""

    world: World
    port: int
    _versions: Iterator[int] = attrs.field(factory=lambda: itertools.count(100))

    async def write_table(self, **changes: object) -> None:
        """Write a route table, and wait until it is in force."""
        version = next(self._versions)
        document = _table() | changes | {'version': f'{version:x}'}
        self.world.store.write('op', 'config', json.dumps(document).encode())
        await until(lambda: self.world.state.table.version == version)

    async def register(
        self, service: str = 's1', state: str = 'ready', born: int = 1
    ) -> None:
        """Write the upstream's row, and wait until it is applied."""
        sequence = next(self._versions)
        row = REGISTRATION | {
            'addr': f'{ADDRESS}:{self.port}',
            'born': born,
            'info': REGISTRATION['info'] | {'service': service, 'slots': 50},
            'status': {'state': state, 'seq': sequence, 'cold_left': '0ms'},
        }
        self.world.store.write(
            'servers', RAW_UPSTREAM, json.dumps(row).encode()
        )
        await until(lambda: self._is_registered(sequence))

    async def restore(self) -> None:
        """Go back to the beginning: the upstream takes requests."""
        store, directory = self.world.store, self.world.state.directory
        store.remove('op', 'evacuate/a1')
        await self.write_table()
        await until(lambda: not directory.evacuated)
        await self.register(born=next(self._versions))
        await until(lambda: _condition(self.world) is Condition.READY)

    async def evacuate(self) -> None:
        """Evacuate the upstream's failure domain."""
        self.world.store.write('op', 'evacuate/a1', b'{}')
        await until(lambda: self.world.state.directory.evacuated)

    async def remove_upstream(self) -> None:
        """Remove the upstream's row."""
        self.world.store.remove('servers', RAW_UPSTREAM)
        await until(lambda: not list(self.world.state.directory))

    async def remove_all(self) -> None:
        """Remove routes, services, accounts and the upstream."""
        await self.write_table(
            routes=_rows(COLUMNS), services=_services(), tenants=_accounts()
        )
        await self.remove_upstream()

    def _is_registered(self, sequence: int) -> bool:
        upstream = self.world.state.directory.find(RAW_UPSTREAM)
        return bool(upstream) and upstream.registration.sequence == sequence


def _condition(world: World) -> Condition:
    return world.state.directory.find(RAW_UPSTREAM).condition


def _rows(columns: tuple[str, ...], *rows: tuple[object, ...]) -> Document:
    return {'cols': list(columns), 'rows': [list(row) for row in rows]}


def _services(*names: str) -> Document:
    return _rows(
        ('name', 'max_conns', 'cold', 'cold_per_s'),
        *((name, 390, '3s', 6) for name in names),
    )


def _accounts(*rows: tuple[object, ...]) -> Document:
    return _rows(ACCOUNT_COLUMNS, *rows)


def _table() -> Document:
    return ROUTE_TABLE | {
        'routes': _rows(COLUMNS, READ_ROW, WRITE_ROW),
        'services': _services('s1', 's2'),
        'tenants': _accounts(('konya', [KEY], 5000, 5000)),
    }


def _replaced(column: str, content: object) -> Document:
    """Return the routes with a field replaced."""
    index = COLUMNS.index(column)
    rows = [list(row) for row in (READ_ROW, WRITE_ROW)]
    for row in rows:
        row[index] = f'{row[index]}9' if content is None else content
    return _rows(COLUMNS, *rows)


TABLES: dict[str, Document] = {
    'no route': {'routes': _rows(COLUMNS)},
    'renamed routes': {'routes': _replaced('name', None)},
    'other service': {'routes': _replaced('service', 's2')},
    'renamed service': {
        'routes': _replaced('service', 's9'),
        'services': _services('s9'),
    },
    'shorter timeouts': {'routes': _replaced('timeout', SHORT)},
    'unsafe': {'routes': _replaced('kind', 'unsafe')},
    'no accounts': {'tenants': _accounts()},
    'other account': {'tenants': _accounts(('adana', ['k9'], 1, 1))},
    'renamed account': {'tenants': _accounts(('adana', [KEY], 5000, 5000))},
    'small rate': {'tenants': _accounts(('konya', [KEY], 0.01, 1))},
    'small limits': {
        'limits': {
            'max_header_bytes': 1,
            'max_body_bytes': 1,
            'header_timeout': SHORT,
            'idle_timeout': SHORT,
        }
    },
}
Change = Callable[[Operator], Awaitable[None]]
LEAVING: dict[str, Change] = {
    'removed': Operator.remove_upstream,
    'draining': functools.partial(Operator.register, state='draining'),
    'of another service': functools.partial(Operator.register, service='s2'),
    'evacuated': Operator.evacuate,
    'all removed': Operator.remove_all,
}


def _request(target: str, body: bytes = b'') -> bytes:
    """Return a request with a body, or with none."""
    method = 'POST' if body else 'GET'
    lines = [
        f'{method} {target} HTTP/1.1',
        f'host: {HOST}',
        f'x-chestnutshift-request-id: r{target.replace("/", "-")}',
        f'authorization: Token {KEY}',
        'x-chestnutshift-deadline-ms: 4000',
    ]
    if body:
        lines.append(f'content-length: {len(body)}')
    return '\r\n'.join((*lines, '', '')).encode() + body


@attrs.define
class Plays:
    """Requests at all stages, each on a connection of its own.

    The methods named like stages send a request and return once it is there.
    """

    world: World
    upstream: HeldUpstream
    number: int
    connects: trio.Event = attrs.field(factory=trio.Event)

    async def body(self, caller: Caller) -> None:
        """The body has not come whole yet."""
        admitted_at = self.world.state.admitted_at
        await caller.send(self._request('/b/body', BODY)[:-PART_B])
        await until(lambda: self.world.state.admitted_at > admitted_at)

    async def token(self, caller: Caller) -> None:
        """It waits for a token of its account's limit."""
        waited: list[str] = []

        def admit(_shares: object, account: Account, _now: float) -> float:
            waited.append(account.name)
            return TOKEN_WAIT_S

        with (
            patch.object(AccountShares, 'admit', admit),
            patch.object(limits, 'TOKEN_WAIT_MAX_S', TOKEN_WAIT_S),
        ):
            await caller.send(self._request('/a/token'))
            await until(lambda: waited)

    async def sent(self, caller: Caller) -> None:
        """Its upstream is at work."""
        await caller.send(self._request('/a/sent'))
        await until(lambda: 'sent' in self.upstream.received)

    async def written(self, caller: Caller) -> None:
        """Its upstream is at work, and it may run only once."""
        await caller.send(self._request('/b/written', BODY))
        await until(lambda: 'written' in self.upstream.received)

    async def refused(self, caller: Caller) -> None:
        """Its upstream will refuse it."""
        await caller.send(self._request('/a/refused'))
        await until(lambda: 'refused' in self.upstream.received)

    async def broken(self, caller: Caller) -> None:
        """Its upstream will close the connection."""
        await caller.send(self._request('/a/broken'))
        await until(lambda: 'broken' in self.upstream.received)

    async def streamed(self, caller: Caller) -> None:
        """A part of its answer has been passed on."""
        await caller.send(self._request('/a/streamed'))
        await until(caller.stream.socket.is_readable)

    async def turn(self, caller: Caller) -> None:
        """It waits for its turn behind another request."""
        await caller.send(self._request('/a/first'))
        await until(lambda: 'first' in self.upstream.received)
        admitted_at = self.world.state.admitted_at
        await caller.send(self._request('/b/turn'))
        await until(lambda: self.world.state.admitted_at > admitted_at)

    async def connection(self, caller: Caller) -> None:
        """It waits for a connection to its upstream."""
        connect = UpstreamConnections.connect
        waiting: list[UpstreamConnections] = []

        async def connect_later(pool: UpstreamConnections) -> object:
            waiting.append(pool)
            await self.connects.wait()
            return await connect(pool)

        with patch.object(UpstreamConnections, 'connect', connect_later):
            await caller.send(self._request('/a/connection'))
            await until(lambda: waiting)

    async def end(self, stage: str, caller: Caller) -> int:
        """Let a request go on; return the status of its answer."""
        self.upstream.released.add(stage)
        if stage == 'connection':
            self.connects.set()
        if stage == 'body':
            await caller.send(BODY[-PART_B:])
        if stage == 'turn':
            self.upstream.released.add('first')
            assert (await caller.answer()).status == SERVED
        return (await caller.answer()).status

    def _request(self, path: str, body: bytes = b'') -> bytes:
        return _request(f'{path}/{self.number}', body)


# What the answers are if the change does not matter. At the end is the one
# after which the upstream is not sent any requests for a while.
STAGES = {
    'body': SERVED,
    'token': SERVED,
    'sent': SERVED,
    'written': SERVED,
    'streamed': SERVED,
    'turn': SERVED,
    'connection': SERVED,
    'refused': REFUSED,
    'broken': BROKEN,
}


@asynccontextmanager
async def _changing_world() -> AsyncIterator[tuple[Operator, HeldUpstream]]:
    upstream = HeldUpstream()
    async with running_edge_at(upstream.serve, **_table()) as world:
        row = world.state.directory.find(RAW_UPSTREAM).registration
        yield Operator(world, row.port), upstream


def _count_losses(world: World) -> int:
    log = world.state.event_log
    found = [log.select(EventFilter(number=kind.number)) for kind in LOSSES]
    return sum(map(len, found))


async def _play(
    operator: Operator, upstream: HeldUpstream, change: Change, number: int
) -> dict[str, int]:
    """Make the change amid requests; return their statuses by stage."""
    await operator.restore()
    upstream.received = set()
    upstream.released = set()
    plays = Plays(operator.world, upstream, number)
    port = operator.world.state.settings.callers.port
    async with AsyncExitStack() as stack:
        callers = {}
        for stage in STAGES:
            callers[stage] = await stack.enter_async_context(calling(port))
            await getattr(plays, stage)(callers[stage])
        await change(operator)
        return {
            stage: await plays.end(stage, caller)
            for stage, caller in callers.items()
        }


@trio_test
async def test_route_table_changes() -> None:
    """Requests go by the table that was in force when they came."""
    async with _changing_world() as (operator, upstream):
        for number, (name, fields) in enumerate(TABLES.items()):
            change = functools.partial(Operator.write_table, **fields)
            statuses = await _play(operator, upstream, change, number)
            assert statuses == STAGES, (name, statuses)
        assert not _count_losses(operator.world)


@trio_test
async def test_upstream_leaves() -> None:
    """Requests are answered, or refused if they were not sent before."""
    async with _changing_world() as (operator, upstream):
        for number, (name, change) in enumerate(LEAVING.items()):
            statuses = await _play(operator, upstream, change, number)
            expected = STAGES | dict.fromkeys(UNSENT, REFUSED)
            assert statuses == expected, (name, statuses)
        assert not _count_losses(operator.world)


@trio_test
async def test_upstream_restarts() -> None:
    """Requests that were not sent go to the new run."""
    async with _changing_world() as (operator, upstream):
        change = functools.partial(Operator.register, born=2)
        statuses = await _play(operator, upstream, change, 0)
        assert statuses == STAGES
        assert not _count_losses(operator.world)
