"""Stand-ins for the platform in tests: its store and its upstreams."""

import base64
import json
import math
import re
from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from typing import Any
from urllib.parse import parse_qs

import attrs
import trio

from chestnutshift.callers.limits import CallerLimits
from chestnutshift.callers.listener import CallersListener, open_listeners
from chestnutshift.conf.defaults import HEADER_LIMIT_MAX_B

LIMITS = CallerLimits(
    header_limit_b=HEADER_LIMIT_MAX_B, grace_s=0, half_close_is_disconnect=True
)
SLOW_S = 0.6
# Longer than the answers that a VM buffers.
LONG_ANSWER_B = 400_000
# Finds the request's id in the bytes of its head.
REQUEST_ID = re.compile(rb'x-chestnutshift-request-id: (\S+)', re.IGNORECASE)
Row = dict[str, Any]
Header = tuple[bytes, bytes]


@asynccontextmanager
async def served(application: Any) -> AsyncIterator[int]:
    """Serve an ASGI application during the block; yield its port."""
    listeners = await open_listeners('127.0.0.1', 0)
    listener = CallersListener(application, LIMITS)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(listener.serve, listeners, trio.Event())
        yield listeners[0].socket.getsockname()[1]
        nursery.cancel_scope.cancel()


async def answer(
    send: Any,
    status: int,
    body: bytes,
    *headers: tuple[bytes, bytes],
) -> None:
    """Send an answer with a body of known length."""
    length = (b'content-length', b'%d' % len(body))
    await send(
        {
            'type': 'http.response.start',
            'status': status,
            'headers': [length, *headers],
        },
    )
    await send({'type': 'http.response.body', 'body': body})


async def read_body(receive: Any) -> bytes:
    """Return the whole body of a request."""
    parts = []
    more = True
    while more:
        message = await receive()
        parts.append(message['body'])
        more = message['more_body']
    return b''.join(parts)


@attrs.frozen
class StoreCopy:
    """The rows and the version of a store at one moment."""

    rows: dict[tuple[str, str], Row]
    version: int


@attrs.define
class StoreStandIn:
    """ASGI stand-in for the store: tables of rows and their change feed.

    It may return from an older copy: its era rises, and versions that were
    given out since the copy are given out again.
    """

    rows: dict[tuple[str, str], Row] = attrs.field(factory=dict)
    version: int = 0
    era: int = 1
    is_down: bool = False
    _changed: trio.Event = attrs.field(factory=trio.Event)
    _copy: 'StoreCopy | None' = None

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one call; 503 while the store is down."""
        await self.answer_call(scope, receive, send)

    async def answer_call(
        self,
        scope: Any,
        receive: Any,
        send: Any,
        translate: Callable[[Row], Row] | None = None,
    ) -> None:
        """Answer one call with translated rows; 503 while it is down."""
        query = parse_qs(scope['query_string'].decode())
        body = await read_body(receive)
        if self.is_down:
            await answer(send, 503, b'')
            return
        calls = {
            '/-/rows-get': self._get,
            '/-/rows-feed': self._feed,
            '/-/rows-tx': self._change,
        }
        document = await calls[scope['path']](query, body)
        era = (b'store-era', b'%d' % self.era)
        if document is None:
            await answer(send, 410, b'{}', era)
            return
        document |= {'ver': self.version, 'now': f'{trio.current_time():.3f}s'}
        if translate is not None:
            rows = document.get('rows', ())
            document |= {'rows': [translate(row) for row in rows]}
        await answer(send, 200, json.dumps(document).encode(), era)

    def write(self, table: str, key: str, content: bytes) -> None:
        """Write a row as another client of the store."""
        self.version += 1
        self.rows[table, key] = {
            'table': table,
            'key': key,
            'value': base64.b64encode(content).decode(),
            'ver': self.version,
        }
        self._notify()

    def remove(self, table: str, key: str) -> None:
        """Mark a row as removed."""
        self.version += 1
        self.rows[table, key] = {
            'table': table,
            'key': key,
            'removed': True,
            'ver': self.version,
        }
        self._notify()

    def keep_copy(self) -> None:
        """Keep a copy of the rows, to which `return_from_copy` goes back."""
        self._copy = StoreCopy(dict(self.rows), self.version)

    def return_from_copy(self) -> None:
        """Go back to the copy, in the next era."""
        self.rows = dict(self._copy.rows)
        self.version = self._copy.version
        self.era += 1

    def _notify(self) -> None:
        self._changed.set()
        self._changed = trio.Event()

    def _after(self, table: str, version: int) -> list[Row]:
        return [
            row
            for (row_table, _), row in self.rows.items()
            if row_table == table and row['ver'] > version
        ]

    async def _get(self, query: dict[str, list[str]], _body: bytes) -> Row:
        rows = self._after(query['table'][0], 0)
        present = [row for row in rows if not row.get('removed')]
        return {'rows': present, 'truncated': False}

    async def _feed(
        self, query: dict[str, list[str]], _body: bytes
    ) -> Row | None:
        """Return the changes, or None if the version is still to come."""
        table, after = query['table'][0], int(query['after'][0])
        if after > self.version:
            return None
        with trio.move_on_after(int(query['wait_ms'][0]) / 1000):
            while not self._after(table, after):
                await self._changed.wait()
        return {'rows': self._after(table, after)}

    async def _change(self, _query: dict[str, list[str]], body: bytes) -> Row:
        for row in json.loads(body)['upserts']:
            content = base64.b64decode(row['value'])
            self.write(row['table'], row['key'], content)
        return {}


@attrs.define
class StoreView:
    """ASGI application of the store as one VM sees it.

    addresses are those at which this VM reaches the upstreams, by id.
    is_refusing tells that the store turns this VM away.
    """

    _store: StoreStandIn
    addresses: Mapping[str, str]
    is_refusing: bool = False

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one call of the VM."""
        if self.is_refusing:
            await read_body(receive)
            await answer(send, 503, b'')
            return
        await self._store.answer_call(scope, receive, send, self._translate)

    def _translate(self, row: Row) -> Row:
        address = self.addresses.get(row['key'])
        if row['table'] != 'servers' or row.get('removed') or not address:
            return row
        document = json.loads(base64.b64decode(row['value']))
        document['addr'] = address
        content = json.dumps(document).encode()
        return row | {'value': base64.b64encode(content).decode()}


def _set_event() -> trio.Event:
    event = trio.Event()
    event.set()
    return event


@attrs.define
class UpstreamStandIn:
    """ASGI stand-in for an upstream with one of several behaviours.

    behaviour names the method that answers requests. received lists the
    headers of requests, checks counts health checks, which tell that it stays
    cold for cold_ms, and cancelled counts the requests that were cancelled
    while the upstream was silent. Answers bear headers as well; check_status
    is the status of health checks; served_at are the times of served requests,
    targets the paths and queries of all.
    """

    name: str
    behaviour: str = 'serve'
    received: list[dict[str, str]] = attrs.field(factory=list)
    checks: int = 0
    cold_ms: int = 0
    check_status: int = 200
    headers: tuple[Header, ...] = ()
    served_at: list[float] = attrs.field(factory=list)
    cancelled: int = 0
    targets: list[bytes] = attrs.field(factory=list)
    # How long slow answers and health checks take.
    slow_s: float = SLOW_S
    check_s: float = 0
    # Set once answers may break off.
    breaks: trio.Event = attrs.field(factory=_set_event)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer a health check, or a request by the behaviour."""
        body = await read_body(receive)
        headers = {
            name.decode(): text.decode() for name, text in scope['headers']
        }
        if scope['path'] == '/healthz':
            self.checks += 1
            await trio.sleep(self.check_s)
            cold = (b'x-chestnutshift-cold-ms', b'%d' % self.cold_ms)
            facts = (self._instance_header(), cold, *self.headers)
            await answer(send, self.check_status, b'', *facts)
            return
        self.received.append(headers)
        target = b'%b?%b' % (scope['raw_path'], scope['query_string'])
        self.targets.append(target)
        request_id = (
            b'x-chestnutshift-request-id',
            headers['x-chestnutshift-request-id'].encode(),
        )
        behave = getattr(self, f'_{self.behaviour}')
        await behave(
            send, request_id, b'%b %b' % (scope['method'].encode(), body)
        )

    async def _serve(self, send: Any, request_id: Header, text: bytes) -> None:
        seal = (b'x-chestnutshift-server-seal', self.name.encode())
        self.served_at.append(trio.current_time())
        headers = (request_id, seal, self._instance_header(), *self.headers)
        await answer(send, 200, text, *headers)

    async def _slow(self, send: Any, request_id: Header, text: bytes) -> None:
        await trio.sleep(self.slow_s)
        await self._serve(send, request_id, text)

    async def _shed(self, send: Any, request_id: Header, _text: bytes) -> None:
        mark = (b'x-chestnutshift-not-executed', b'1')
        await answer(send, 503, b'', request_id, mark, *self.headers)

    async def _misdirect(
        self, send: Any, request_id: Header, _text: bytes
    ) -> None:
        """Answer as an upstream that has the address of another now."""
        another = (b'x-chestnutshift-instance-id', b'another')
        await answer(send, 421, b'', request_id, another)

    async def _crossed(
        self, send: Any, _request_id: Header, _text: bytes
    ) -> None:
        crossed = (b'x-chestnutshift-request-id', b'another')
        seal = (b'x-chestnutshift-server-seal', b's')
        await answer(send, 200, b'not yours', crossed, seal)

    async def _unsealed(
        self, send: Any, request_id: Header, _text: bytes
    ) -> None:
        await answer(send, 200, b'from nobody', request_id)

    async def _broken(
        self, _send: Any, _request_id: Header, _text: bytes
    ) -> None:
        """Return without an answer, which closes the connection."""

    async def _break_off(
        self, send: Any, request_id: Header, _text: bytes
    ) -> None:
        """Send so much of an answer that it is passed on, and close."""
        seal = (b'x-chestnutshift-server-seal', self.name.encode())
        length = (b'content-length', b'%d' % LONG_ANSWER_B)
        headers = [length, request_id, seal]
        start = {'status': 200, 'headers': headers}
        await send({'type': 'http.response.start', **start})
        part = {'body': b'l' * (LONG_ANSWER_B - 1), 'more_body': True}
        await send({'type': 'http.response.body', **part})
        await self.breaks.wait()

    async def _trickle(
        self, send: Any, request_id: Header, _text: bytes
    ) -> None:
        """Send so much of an answer that it is passed on, the rest later."""
        seal = (b'x-chestnutshift-server-seal', self.name.encode())
        length = (b'content-length', b'%d' % LONG_ANSWER_B)
        headers = [length, request_id, seal]
        start = {'status': 200, 'headers': headers}
        await send({'type': 'http.response.start', **start})
        part = {'body': b'l' * (LONG_ANSWER_B - 1), 'more_body': True}
        await send({'type': 'http.response.body', **part})
        await trio.sleep(SLOW_S)
        await send({'type': 'http.response.body', 'body': b'l'})

    async def _silent(
        self, _send: Any, _request_id: Header, _text: bytes
    ) -> None:
        try:
            await trio.sleep(math.inf)
        finally:
            self.cancelled += 1

    def _instance_header(self) -> Header:
        return (b'x-chestnutshift-instance-id', self.name.encode())
