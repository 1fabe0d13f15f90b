"""The tables of the platform's store as sources of decoded rows."""

import json
from collections.abc import Callable, Mapping
from typing import Any, Generic, TypeVar

import attrs

from chestnutshift.edge.settings import Endpoint
from chestnutshift.edge.store_tables import Change, Evacuation, Source, View
from chestnutshift.edge.vm_registration import MemberRegister
from chestnutshift.fleet.members import Member
from chestnutshift.platform import names
from chestnutshift.platform.exceptions import MalformedError
from chestnutshift.platform.fields import (
    integer_of,
    number_of,
    read_document,
    required_text,
    text_of,
)
from chestnutshift.platform.route_tables import decode_route_table
from chestnutshift.platform.store import StoreClient, StoredRow, StoreView
from chestnutshift.platform.upstream_rows import (
    decode_registration,
    read_address,
    split_address,
)
from chestnutshift.routes.model import RouteTable
from chestnutshift.steering.upstreams import Registration

State = TypeVar('State')


@attrs.frozen
class TableSource(Source[State], Generic[State]):
    """A table of the store; decode returns None for rows to ignore."""

    _store: StoreClient
    _table: str
    _decode: Callable[[str, bytes], State | None]

    async def read(self) -> View[State]:
        """Return every row; raises StoreUnavailableError."""
        return self._view(await self._store.read(self._table), is_whole=True)

    async def follow(self, after: int, wait_s: float) -> View[State]:
        """Long-poll for changes; raises as StoreClient.follow does."""
        stored = await self._store.follow(self._table, after, wait_s)
        return self._view(stored, is_whole=False)

    def _view(self, stored: StoreView, *, is_whole: bool) -> View[State]:
        changes = tuple(self._change(row) for row in stored.rows)
        return View(
            changes,
            stored.version,
            stored.requested_at,
            is_whole,
            stored.store_now,
            max((row.version for row in stored.rows), default=0),
            stored.era,
        )

    def _change(self, row: StoredRow) -> Change[State]:
        if row.content is None and not row.problem:
            return Change(row.key, None)
        try:
            # The key of some rows says all.
            return Change(row.key, self._decode(row.key, row.content or b''))
        except MalformedError as error:
            return Change(row.key, None, problem=row.problem or error.detail)
        except Exception as error:
            # One row must not hide the others. Whoever applies the view logs
            # and counts the fault.
            return Change(row.key, None, problem=repr(error), fault=error)


def decode_operator_row(
    key: str,
    content: bytes,
) -> RouteTable | Evacuation | None:
    """Decode a route table or an evacuation, None for other rows.

    Raise MalformedError.
    """
    if key == names.ROUTE_TABLE_KEY:
        return decode_route_table(content)
    if key.startswith(names.EVACUATION_PREFIX):
        return Evacuation(key.removeprefix(names.EVACUATION_PREFIX))
    return None


def decode_member(key: str, content: bytes) -> Member:
    """Decode the registration of a VM; raise MalformedError."""
    document = read_document(content)
    address, port = read_address(document)
    return Member(
        vm=key,
        endpoint=Endpoint(address, port),
        callers=required_text(document, 'callers'),
        failure_domain=required_text(document, 'failure_domain'),
        region=required_text(document, 'region'),
        incarnation=integer_of(document, 'incarnation'),
        link_mbps=number_of(document, 'link_mbps', 0),
        crossings=_read_crossings(document),
        token=text_of(document, 'token'),
    )


def encode_member(member: Member) -> bytes:
    """Encode the registration of a VM."""
    document = {
        'addr': str(member.endpoint),
        'callers': member.callers,
        'failure_domain': member.failure_domain,
        'region': member.region,
        'incarnation': member.incarnation,
        'link_mbps': member.link_mbps,
        'crossings': str(member.crossings) if member.crossings else '',
        'token': member.token,
    }
    return json.dumps(document).encode()


def _read_crossings(document: Mapping[str, Any]) -> Endpoint | None:
    text = text_of(document, 'crossings')
    return Endpoint(*split_address(text)) if text else None


def operator_source(store: StoreClient) -> Source[RouteTable | Evacuation]:
    """Return the source of route tables and evacuations."""
    return TableSource(store, names.OPERATOR_TABLE, decode_operator_row)


def upstream_source(store: StoreClient) -> Source[Registration]:
    """Return the source of the registrations of upstreams."""
    return TableSource(store, names.UPSTREAM_TABLE, decode_registration)


def member_source(store: StoreClient) -> Source[Member]:
    """Return the source of the registrations of VMs."""
    return TableSource(store, names.VM_TABLE, decode_member)


@attrs.frozen
class StoreRegister(MemberRegister):
    """The store's table in which VMs register themselves."""

    _store: StoreClient

    async def register_member(self, member: Member) -> None:
        """Write the VM's row; raises StoreUnavailableError."""
        content = encode_member(member)
        await self._store.write(names.VM_TABLE, member.vm, content)
