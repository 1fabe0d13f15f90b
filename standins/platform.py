"""Stand-in for the platform: table service, object store, list of VMs.

Run as `python -m standins.platform --settings FILE.toml`.
"""

import argparse
import hashlib
import json
import math
import time
from typing import Any
from urllib.parse import parse_qsl, unquote

import attrs
import cattrs
import trio
from hypercorn.trio import serve

from chestnutshift.platform.backends import memory
from chestnutshift.platform.records import Row, Transaction, VmRecord, Write
from standins import serving

SCAN_LIMIT = 1000
REFUSE = 'refuse'

_MALFORMED = (ValueError, TypeError, KeyError, ExceptionGroup)


@attrs.frozen
class Faults:
    """Faults and limits, changed by PUT /standin/faults.

    outage_mode is `refuse` (503 before anything applies), or `close` (the
    connection closes without an answer before anything applies). The next
    lose_answers transactions apply and close the connection unanswered; the
    next silent_answers ones after those apply and leave it open unanswered.
    """

    latency_ms: float = 0
    outage: bool = False
    outage_mode: str = REFUSE
    lose_answers: int = 0
    silent_answers: int = 0
    writes_per_s: float = 300
    reads_per_s: float = 2000
    list_lag_s: float = memory.LIST_LAG_S


@attrs.define
class Meter:
    """A token bucket that holds one second's worth."""

    _tokens: float = math.inf
    _at: float = 0

    def delay_s(self, cost: float, rate: float, now: float) -> float:
        """Take the cost and return 0, or the seconds until it is there."""
        refilled = self._tokens + (now - self._at) * rate
        self._tokens = min(rate, refilled)
        self._at = now
        cost = min(cost, rate) if rate else cost
        if cost > self._tokens:
            return (cost - self._tokens) / rate if rate else 1
        self._tokens -= cost
        return 0


@attrs.frozen
class Request:
    """One request: its path in decoded segments, its query and its body."""

    method: str
    path: tuple[str, ...]
    query: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the body's content."""
        return json.loads(self.body)


@attrs.frozen
class Answer:
    """A status with a JSON payload, or with raw bytes."""

    status: int
    payload: Any = None
    body: bytes | None = None
    headers: tuple[serving.Header, ...] = ()


class LostAnswerError(Exception):
    """The connection is to close without an answer."""


class SilentAnswerError(Exception):
    """The connection is to stay open without an answer."""


class PlatformApp:
    """The ASGI application over one store."""

    def __init__(self, settings: dict[str, Any]) -> None:
        """Fill the store from the settings."""
        vms = cattrs.structure(settings.get('vms', []), list[VmRecord])
        self.store = memory.Store(vms)
        self.faults = serving.change(Faults(), settings.get('faults', {}))
        self.store.vms.lag_s = self.faults.list_lag_s
        self._reads = Meter()
        self._writes = Meter()
        writes = tuple(map(_initial_write, settings.get('rows', ())))
        self.store.tables.commit(Transaction('initial', (), writes))

    async def __call__(
        self,
        scope: dict[str, Any],
        receive: serving.Receive,
        send: serving.Send,
    ) -> None:
        """Answer one request."""
        if scope['type'] == 'lifespan':
            await serving.answer_lifespan(receive, send)
            return
        try:
            reply = await self._serve(await _read_request(scope, receive))
        except (serving.DisconnectedError, LostAnswerError):
            await serving.close_connection(send)
            return
        except SilentAnswerError:
            await receive()
            return
        except _MALFORMED as error:
            reply = Answer(400, {'error': repr(error)})
        if reply.body is None:
            await serving.answer(
                send,
                reply.status,
                reply.payload,
                reply.headers,
            )
            return
        await serving.answer_bytes(
            send,
            reply.status,
            reply.body,
            reply.headers,
        )

    async def _serve(self, request: Request) -> Answer:
        if request.path[0] == 'standin':
            return self._control(request)
        await trio.sleep(self.faults.latency_ms / 1000)
        if self.faults.outage:
            if self.faults.outage_mode == REFUSE:
                return Answer(503, {'error': 'outage'})
            raise LostAnswerError
        match (request.method, *request.path):
            case ('POST', 'transactions'):
                return self._transact(request)
            case ('PUT', 'objects', name):
                return self._limit_writes(1) or self._put(name, request.body)
            case ('GET', *path):
                return self._limit_reads() or self._get(path, request)
        return Answer(404, {'error': 'no such path'})

    def _get(self, path: list[str], request: Request) -> Answer:
        match path:
            case ('tables', table, 'rows', key):
                row = self.store.tables.read(table, key)
                return Answer(200 if row.version else 404, _row(row))
            case ('tables', table, 'rows'):
                rows = self.store.tables.scan(
                    table,
                    request.query.get('prefix', ''),
                    request.query.get('after', ''),
                    int(request.query.get('limit', SCAN_LIMIT)),
                )
                return Answer(200, {'rows': [_row(row) for row in rows]})
            case ('operations', operation_id):
                return self._recorded(operation_id)
            case ('objects', name) if name in self.store.blobs:
                return _object(200, self.store.blobs[name])
            case ('vms',):
                listed = self.store.vms.visible(time.time())
                return Answer(200, cattrs.unstructure(listed))
        return Answer(404, {'error': 'absent'})

    def _put(self, name: str, body: bytes) -> Answer:
        self.store.blobs[name] = body
        return attrs.evolve(_object(200, body), body=b'')

    def _transact(self, request: Request) -> Answer:
        transaction = cattrs.structure(request.json(), Transaction)
        limited = self._limit_writes(len(transaction.writes))
        if limited:
            return limited
        outcome = self.store.tables.commit(transaction)
        self._withhold_answer()
        return _outcome(outcome)

    def _withhold_answer(self) -> None:
        lost = self.faults.lose_answers
        silent = self.faults.silent_answers
        if lost > 0:
            self.faults = attrs.evolve(self.faults, lose_answers=lost - 1)
            raise LostAnswerError
        if silent > 0:
            self.faults = attrs.evolve(self.faults, silent_answers=silent - 1)
            raise SilentAnswerError

    def _recorded(self, operation_id: str) -> Answer:
        outcome = self.store.tables.recorded(operation_id)
        if outcome is None:
            return Answer(404, {'error': 'not recorded'})
        recorded = _outcome(outcome)
        payload = {'status': recorded.status, **recorded.payload}
        return Answer(200, payload)

    def _limit_writes(self, cost: int) -> Answer | None:
        rate = self.faults.writes_per_s
        cost = max(cost, 1)
        return _over(self._writes.delay_s(cost, rate, trio.current_time()))

    def _limit_reads(self) -> Answer | None:
        rate = self.faults.reads_per_s
        return _over(self._reads.delay_s(1, rate, trio.current_time()))

    def _control(self, request: Request) -> Answer:
        match (request.method, *request.path[1:]):
            case ('PUT', 'faults'):
                self.faults = serving.change(self.faults, request.json())
                self.store.vms.lag_s = self.faults.list_lag_s
            case ('PUT', 'vms', vm):
                newest = self.store.vms.newest(vm)
                known = cattrs.unstructure(newest) if newest else {}
                changed = {**known, **request.json(), 'vm': vm}
                record = cattrs.structure(changed, VmRecord)
                self.store.vms.put(record, time.time())
        return Answer(200, cattrs.unstructure(self.faults))


def _initial_write(row: dict[str, Any]) -> Write:
    """Return a row of the settings; value_json holds what TOML can't."""
    text = row.get('value_json', 'null')
    content = row.get('value', json.loads(text))
    return Write(row['table'], row['key'], content)


async def _read_request(
    scope: dict[str, Any],
    receive: serving.Receive,
) -> Request:
    segments = scope['raw_path'].decode('ascii').split('/')[1:]
    query = scope['query_string'].decode('ascii')
    return Request(
        method=scope['method'],
        path=tuple(unquote(segment) for segment in segments),
        query=dict(parse_qsl(query, keep_blank_values=True)),
        body=await serving.read_body(receive),
    )


def _row(row: Row) -> dict[str, Any]:
    return {'key': row.key, 'value': row.value, 'version': row.version}


def _outcome(outcome: memory.Outcome) -> Answer:
    if not outcome.applied:
        return Answer(409, {'rows': cattrs.unstructure(outcome.rows)})
    rows = [
        {'table': row.table, 'key': row.key, 'version': row.version}
        for row in outcome.rows
    ]
    return Answer(200, {'rows': rows})


def _object(status: int, body: bytes) -> Answer:
    etag = hashlib.sha256(body).hexdigest()
    headers = ((b'etag', f'"{etag}"'.encode()),)
    return Answer(status, body=body, headers=headers)


def _over(delay_s: float) -> Answer | None:
    if not delay_s:
        return None
    seconds = str(math.ceil(delay_s)).encode()
    headers = ((b'retry-after', seconds),)
    return Answer(429, {'error': 'over the limit'}, headers=headers)


async def run(settings: dict[str, Any]) -> None:
    """Serve until a stop signal."""
    config = serving.server_config(settings['address'], settings['port'])
    await serve(
        PlatformApp(settings),
        config,
        shutdown_trigger=serving.wait_for_stop_signal,
    )


def main() -> None:
    """Run the stand-in from the command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--settings', required=True)
    arguments = parser.parse_args()
    serving.log_errors_only()
    trio.run(run, serving.load_settings(arguments.settings))


if __name__ == '__main__':
    main()
