"""Stand-in for the platform: its table service, object store and VM list.

Run as `python -m standins.platform --settings FILE.toml`.
"""

import hashlib
import json
import math
import time
from typing import Any

import attrs
import cattrs
import trio
from hypercorn.trio import serve

from chestnutshift.storage.backends import memory
from chestnutshift.storage.records import Transaction, VmRecord, Write
from standins import serving

Answer = serving.Answer

_MALFORMED_ERRORS = (ValueError, TypeError, KeyError, ExceptionGroup)


@attrs.frozen
class Faults:
    """Injected faults and rate limits, changed by PUT /standin/faults.

    During an outage nothing is applied: outage_mode `refuse` answers 503,
    `close` closes the connection without an answer. The next lose_answers
    transactions are applied, but the connection is closed without an answer;
    the next silent_answers ones after those are applied, and the connection
    stays open without an answer.
    """

    latency_ms: float = 0
    outage: bool = False
    outage_mode: str = 'refuse'
    lose_answers: int = 0
    silent_answers: int = 0
    writes_per_s: float = 300
    reads_per_s: float = 2000
    list_lag_s: float = memory.LIST_LAG_S


@attrs.define
class TokenBucket:
    """A token bucket that holds at most the tokens of one second."""

    _tokens: float = math.inf
    _updated_at: float = 0

    def refusal(self, cost: float, rate: float) -> Answer | None:
        """Take the cost and return None, or return a 429 answer."""
        now = trio.current_time()
        self._tokens = min(rate, self._tokens + (now - self._updated_at) * rate)
        self._updated_at = now
        missing = min(cost, max(rate, 1)) - self._tokens
        if missing <= 0:
            self._tokens -= cost
            return None
        delay_s = math.ceil(missing / rate) if rate else 1
        headers = ((b'retry-after', str(delay_s).encode()),)
        return Answer(429, {'error': 'over the limit'}, headers)


class WithheldAnswerError(Exception):
    """The fault named by the argument withholds the answer."""


_UNANSWERED_ERRORS = (WithheldAnswerError, trio.BrokenResourceError)


class PlatformApp:
    """ASGI application that serves the platform's API from one store."""

    def __init__(self, settings: dict[str, Any]) -> None:
        """Create the store with the VMs and rows of the settings."""
        vms = cattrs.structure(settings.get('vms', []), list[VmRecord])
        self.store = memory.Store(vms)
        self.faults = Faults()
        self._change_faults(settings.get('faults', {}))
        self._reads = TokenBucket()
        self._writes = TokenBucket()
        writes = tuple(map(_initial_write, settings.get('rows', ())))
        self.store.tables.commit(Transaction('standin-initial', (), writes))

    async def __call__(self, scope, receive, send) -> None:
        """Answer one request."""
        if scope['type'] != 'http':
            raise NotImplementedError(scope['type'])
        try:
            answer = await self._serve(scope, await serving.read_body(receive))
        except _UNANSWERED_ERRORS as error:
            if error.args == ('silent_answers',):
                await receive()
            await serving.close_connection(send)
        except _MALFORMED_ERRORS as error:
            await Answer(400, {'error': repr(error)}).send(send)
        else:
            await answer.send(send)

    async def _serve(self, scope: serving.Scope, body: bytes) -> Answer:
        path = serving.parse_path(scope)
        if path[0] == 'standin':
            return self._handle_control(path[1:], json.loads(body))
        await trio.sleep(self.faults.latency_ms / 1000)
        if self.faults.outage and self.faults.outage_mode == 'refuse':
            return Answer(503, {'error': 'outage'})
        if self.faults.outage:
            raise WithheldAnswerError('outage')
        match (scope['method'], *path):
            case ('POST', 'transactions'):
                return self._transact(json.loads(body))
            case ('PUT', 'objects', name):
                refusal = self._writes.refusal(1, self.faults.writes_per_s)
                if refusal is None:
                    self.store.stored_objects[name] = body
                return refusal or Answer(200, {}, _etag_headers(body))
            case ('GET', *_):
                refusal = self._reads.refusal(1, self.faults.reads_per_s)
                return refusal or self._read(path, serving.parse_query(scope))
        return Answer(404, {'error': 'no such path'})

    def _read(self, path: tuple[str, ...], query: dict[str, str]) -> Answer:
        match path:
            case ('tables', table, 'rows', key):
                row = self.store.tables.read(table, key)
                status = 200 if row.version else 404
                return Answer(status, cattrs.unstructure(row))
            case ('tables', table, 'rows'):
                prefix, after = query.get('prefix', ''), query.get('after', '')
                limit = int(query.get('limit', memory.SCAN_LIMIT))
                rows = self.store.tables.scan(table, prefix, after, limit)
                return Answer(200, {'rows': cattrs.unstructure(rows)})
            case ('operations', operation_id):
                outcome = self.store.tables.recorded_outcome(operation_id)
                if outcome:
                    return attrs.evolve(_outcome_answer(outcome), status=200)
            case ('objects', name) if name in self.store.stored_objects:
                body = self.store.stored_objects[name]
                return Answer(200, headers=_etag_headers(body), body=body)
            case ('vms',):
                listed = self.store.vms.visible(time.time())
                return Answer(200, cattrs.unstructure(listed))
        return Answer(404, {'error': 'absent'})

    def _transact(self, payload: dict[str, Any]) -> Answer:
        transaction = cattrs.structure(payload, Transaction)
        cost = max(1, len(transaction.writes))
        refusal = self._writes.refusal(cost, self.faults.writes_per_s)
        if refusal:
            return refusal
        outcome = self.store.tables.commit(transaction)
        for fault in ('lose_answers', 'silent_answers'):
            remaining = getattr(self.faults, fault)
            if remaining > 0:
                self._change_faults({fault: remaining - 1})
                raise WithheldAnswerError(fault)
        return _outcome_answer(outcome)

    def _handle_control(self, path: tuple[str, ...], payload: Any) -> Answer:
        match path:
            case ('faults',):
                self._change_faults(payload)
            case ('vms', vm):
                newest = self.store.vms.newest(vm)
                current = cattrs.unstructure(newest) if newest else {}
                changed = {**current, **payload, 'vm': vm}
                record = cattrs.structure(changed, VmRecord)
                self.store.vms.put(record, time.time())
        return Answer(200, attrs.asdict(self.faults))

    def _change_faults(self, changes: dict[str, Any]) -> None:
        self.faults = attrs.evolve(self.faults, **changes)
        self.store.vms.lag_s = self.faults.list_lag_s


def _initial_write(row: dict[str, Any]) -> Write:
    """Return a settings row as a write; value_json is for values TOML lacks."""
    text = row.get('value_json', 'null')
    return Write(row['table'], row['key'], row.get('value', json.loads(text)))


def _outcome_answer(outcome: memory.Outcome) -> Answer:
    rows = cattrs.unstructure(outcome.rows)
    status = 200 if outcome.applied else 409
    return Answer(status, {'status': status, 'rows': rows})


def _etag_headers(body: bytes) -> serving.Headers:
    return ((b'etag', f'"{hashlib.sha256(body).hexdigest()}"'.encode()),)


async def run(settings: dict[str, Any]) -> None:
    """Serve until SIGTERM or SIGINT."""
    config = serving.server_config(settings['address'], settings['port'])
    stop = serving.wait_for_stop_signal
    await serve(PlatformApp(settings), config, shutdown_trigger=stop)


if __name__ == '__main__':
    serving.main(run)
