"""The client of the platform's store: reads, long polls and writes."""

import base64
import contextlib
import json
from collections.abc import Mapping, Sequence
from typing import Any
from urllib.parse import urlencode

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.decimals import (
    INTEGER_MAX,
    UnreadableNumberError,
    read_digits,
)
from chestnutshift.edge.exceptions import LostHistoryError
from chestnutshift.edge.settings import Endpoint
from chestnutshift.exceptions import CodedError
from chestnutshift.forwarding.heads import find_header
from chestnutshift.forwarding.requests import Headers
from chestnutshift.platform import names
from chestnutshift.platform.durations import read_duration
from chestnutshift.platform.exceptions import (
    MalformedError,
    StoreUnavailableError,
)
from chestnutshift.platform.fields import integer_of, read_document, text_of
from chestnutshift.storage.records import ABSENT_VERSION
from chestnutshift.upstreams.connection import (
    ConnectionOptions,
    OutboundRequest,
    UpstreamAnswer,
)
from chestnutshift.upstreams.connections import UpstreamConnections

HTTP_OK = 200
HTTP_GONE = 410
HTTP_PRECONDITION_FAILED = 412
CONNECTIONS_MAX = 6
# The timeout of a call that does not wait for changes. It starts anew with
# each part of an answer: a large answer over a slow link takes many times as
# long.
ANSWER_TIMEOUT_S = 1.0
# Several times what tables of thousands of rows take. A longer answer would
# take the process's memory.
ANSWER_MAX_B = 16_777_216
_OPTIONS = ConnectionOptions(
    idle_s=10,
    connect_s=0.6,
    unacknowledged_ms=1500,
    ends_by_close=True,
)


@attrs.frozen
class StoredRow:
    """A row of a table; content is None if the row was removed.

    problem says why the content of a malformed row can't be read.
    """

    key: str
    content: bytes | None
    version: int
    problem: str = ''


@attrs.frozen
class StoreView:
    """The rows or changes of a table at one version of the store.

    requested_at is the boot time in seconds at which the call was sent: every
    change that was confirmed before it is included. store_now is the store's
    monotonic clock in seconds at the answer, None if the answer lacks it.
    era is the store's, 0 if the answer names none.
    """

    rows: tuple[StoredRow, ...]
    version: int
    requested_at: float
    store_now: float | None = None
    era: int = 0


@attrs.frozen
class _Page(StoreView):
    """One page of a table, and whether more follow."""

    is_truncated: bool = False


@attrs.frozen
class _Answer:
    status: int
    content: bytes
    requested_at: float
    era: int


class StoreClient:
    """A client of the store with a small pool of persistent connections."""

    def __init__(self, endpoint: Endpoint) -> None:
        """Create a client that connects to the endpoint on the first call."""
        self._host = str(endpoint).encode()
        self._connections = UpstreamConnections(
            endpoint.address,
            endpoint.port,
            maximum=CONNECTIONS_MAX,
            options=_OPTIONS,
        )

    async def read(self, table: str) -> StoreView:
        """Return all rows of a table; raises StoreUnavailableError.

        Each page is of a moment of its own, so the view is complete up to the
        first: later changes to the rows of an earlier page are not in it.
        """
        page = await self._read_page(table, '')
        rows = list(page.rows)
        first = page
        while page.is_truncated and page.rows:
            # The smallest key after the last one.
            page = await self._read_page(table, f'{rows[-1].key}\0')
            rows.extend(page.rows)
            if page.era != first.era:
                raise StoreUnavailableError(
                    'the store entered another era between two pages'
                )
        return StoreView(
            tuple(rows),
            first.version,
            first.requested_at,
            first.store_now,
            first.era,
        )

    async def follow(
        self,
        table: str,
        after: int,
        wait_s: float,
    ) -> StoreView:
        """Long-poll for changes after a version, for at most wait_s.

        Raises LostHistoryError if the whole table must be read again, and
        StoreUnavailableError.
        """
        query = {
            'table': table,
            'after': after,
            'wait_ms': round(wait_s * 1000),
        }
        answer = await self._call(
            'GET',
            names.FOLLOW_ROWS_PATH,
            query,
            timeout_s=wait_s + ANSWER_TIMEOUT_S,
        )
        if answer.status == HTTP_GONE:
            raise LostHistoryError(f'{table}: no changes after {after}')
        document = _document(answer)
        version = integer_of(document, 'ver')
        return StoreView(
            _rows(document),
            version,
            answer.requested_at,
            _store_now(document),
            answer.era,
        )

    async def write(
        self,
        table: str,
        key: str,
        content: bytes,
        expected: int | None = None,
    ) -> bool:
        """Write a row if it has the expected version; return whether it had.

        ABSENT_VERSION requires that there is no row; None writes
        unconditionally. After StoreUnavailableError the write may have been
        applied, or may be applied later while its condition holds.
        """
        row = {'table': table, 'part': '', 'key': key}
        text = base64.b64encode(content).decode()
        expect = [] if expected is None else [{**row, 'ver': expected}]
        change = {
            'expect': expect,
            'upserts': [{**row, 'value': text}],
            'remove': [],
        }
        body = json.dumps(change).encode()
        answer = await self._call('POST', names.CHANGE_ROWS_PATH, {}, body)
        if answer.status == HTTP_PRECONDITION_FAILED:
            return False
        _document(answer)
        return True

    async def aclose(self) -> None:
        """Close the idle connections."""
        await self._connections.aclose()

    async def _read_page(self, table: str, start: str) -> _Page:
        query = {'table': table, 'part': ''}
        if start:
            query['from'] = start
        answer = await self._call('GET', names.READ_ROWS_PATH, query)
        document = _document(answer)
        return _Page(
            _rows(document),
            integer_of(document, 'ver'),
            answer.requested_at,
            _store_now(document),
            answer.era,
            bool(document.get('truncated')),
        )

    async def _call(
        self,
        method: str,
        path: str,
        query: Mapping[str, object],
        body: bytes = b'',
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> _Answer:
        target = f'{path}?{urlencode(query)}' if query else path
        headers = [(b'host', self._host)]
        if body:
            headers += [
                (b'content-type', b'application/json'),
                (b'content-length', b'%d' % len(body)),
            ]
        request = OutboundRequest(method.encode(), target.encode(), headers)
        try:
            with trio.fail_after(timeout_s) as scope:
                return await self._exchange(request, body, scope)
        except trio.TooSlowError as error:
            raise StoreUnavailableError('no answer in time') from error
        except CodedError as error:
            raise StoreUnavailableError(error.detail) from error

    async def _exchange(
        self,
        request: OutboundRequest,
        body: bytes,
        scope: trio.CancelScope,
    ) -> _Answer:
        """Return the answer; each part extends the scope's deadline."""
        requested_at = boot_time()
        chunks: list[bytes] = []
        heads: list[UpstreamAnswer] = []

        async def collect(answer: UpstreamAnswer) -> None:
            heads.append(answer)
            part = answer.receive_nowait()
            length_b = len(part.content)
            chunks.append(part.content)
            while not part.is_last:
                if length_b > ANSWER_MAX_B:
                    raise StoreUnavailableError('the answer is too long')
                scope.deadline = trio.current_time() + ANSWER_TIMEOUT_S
                part = await answer.receive()
                length_b += len(part.content)
                chunks.append(part.content)

        connection = await self._connections.acquire()
        await self._connections.exchange(connection, request, body, collect)
        head = heads[0]
        return _Answer(
            head.status, b''.join(chunks), requested_at, _era(head.headers)
        )


def _document(answer: _Answer) -> Mapping[str, Any]:
    if answer.status != HTTP_OK:
        raise StoreUnavailableError(
            f'the store answered with status {answer.status}'
        )
    try:
        return read_document(answer.content)
    except MalformedError as error:
        raise StoreUnavailableError(error.detail) from error


def _era(headers: Headers) -> int:
    """Return the era that an answer names; 0 for none or a malformed one."""
    for name in names.STORE_ERA:
        text = find_header(headers, name) or b''
        # Heartbeats carry it.
        with contextlib.suppress(UnreadableNumberError):
            return read_digits(text.decode('latin-1'), INTEGER_MAX)
    return 0


def _store_now(document: Mapping[str, Any]) -> float | None:
    if 'now' not in document:
        return None
    try:
        return read_duration(document['now'], 'now')
    except MalformedError as error:
        raise StoreUnavailableError(error.detail) from error


def _rows(document: Mapping[str, Any]) -> tuple[StoredRow, ...]:
    rows = document.get('rows')
    if not isinstance(rows, Sequence):
        raise StoreUnavailableError('the answer of the store lacks its rows')
    return tuple(_row(row) for row in rows)


def _row(row: Mapping[str, Any]) -> StoredRow:
    """Return a row; raises StoreUnavailableError if it can't be told apart.

    Its content may come from any writer, and hides no other row.
    """
    try:
        key = text_of(row, 'key')
        version = integer_of(row, 'ver', ABSENT_VERSION)
    except (MalformedError, AttributeError) as error:
        raise StoreUnavailableError(
            f'the store sent a malformed row: {error!r}'
        ) from error
    if row.get('removed'):
        return StoredRow(key, None, version)
    try:
        content = base64.b64decode(text_of(row, 'value'))
    except (MalformedError, ValueError) as error:
        return StoredRow(key, None, version, problem=f'no content: {error}')
    return StoredRow(key, content, version)
