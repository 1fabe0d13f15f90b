"""Decoding of the platform's configuration into a route table."""

import functools
from collections.abc import Callable, Mapping
from typing import Any

import attrs

from chestnutshift.decimals import INTEGER_MAX, read_digits
from chestnutshift.platform.durations import read_duration
from chestnutshift.platform.exceptions import MalformedError
from chestnutshift.platform.fields import (
    flag_of,
    integer_of,
    number_of,
    object_of,
    read_as,
    read_document,
    read_table,
    required_text,
    text_of,
    texts_of,
)
from chestnutshift.routes.assembly import (
    KeyedAccount,
    Part,
    Unreadable,
    assemble_table,
    read_part,
    route_or_closed,
)
from chestnutshift.routes.model import (
    Account,
    CallerBounds,
    Route,
    RoutePart,
    RouteTable,
    Service,
)

HEXADECIMAL_BASE = 16
_LARGE_ANSWER_KIND = 'download'
# Requests of every other kind, uploads included, may run at most once.
_IDEMPOTENT_KINDS = frozenset(('safe', _LARGE_ANSWER_KIND))


def decode_route_table(content: bytes) -> RouteTable:
    """Decode a route table; parts that can't be read are told in it.

    Raise MalformedError if it can't be told which requests they concern.
    """
    document = read_document(content)
    return assemble_table(
        read_version(document),
        services=_parts_of(document, 'services', _service),
        routes=[_route(row) for row in _rows(document, 'routes')],
        accounts=_parts_of(document, 'tenants', _account),
        bounds=read_part('limits', _bounds, document),
    )


def read_version(document: Mapping[str, Any]) -> int:
    """Parse the table's version, a hexadecimal number."""
    text = required_text(document, 'version')
    # Heartbeats carry it.
    return read_as('version', read_digits, text, INTEGER_MAX, HEXADECIMAL_BASE)


def _rows(document: Mapping[str, Any], name: str) -> list[Mapping[str, Any]]:
    if document.get(name) is None:
        return []
    return list(read_table(document[name]))


def _parts_of(
    document: Mapping[str, Any],
    name: str,
    decode: Callable[[Mapping[str, Any]], Part],
) -> list[Part | Unreadable]:
    return [
        read_part(f'{name} {row.get("name")!r:.40}', decode, row)
        for row in _rows(document, name)
    ]


def _service(row: Mapping[str, Any]) -> Service:
    return Service(
        name=required_text(row, 'name'),
        health_path=text_of(row, 'health_path', '/healthz'),
        # The limit applies to each upstream, not to the whole service.
        connections_max=integer_of(row, 'max_conns', 100),
        cold_s=_duration_of(row, 'cold') or 0,
        cold_rate=number_of(row, 'cold_per_s'),
    )


def _duration_of(fields: Mapping[str, Any], name: str) -> float | None:
    text = fields.get(name)
    return None if text is None else read_duration(text, name)


def _route(row: Mapping[str, Any]) -> Route:
    route = Route(
        name=required_text(row, 'name'),
        host=required_text(row, 'host').lower(),
        prefix=required_text(row, 'prefix'),
    )
    decode = functools.partial(_with_rule, route)
    return route_or_closed(route, read_part(f'route {route.name}', decode, row))


def _with_rule(route: Route, row: Mapping[str, Any]) -> Route:
    kind = text_of(row, 'kind')
    return attrs.evolve(
        route,
        parts=_parts(row),
        is_idempotent=kind in _IDEMPOTENT_KINDS,
        has_large_answers=kind == _LARGE_ANSWER_KIND,
        timeout_s=_duration_of(row, 'timeout'),
        # A latency objective, not a timeout.
        objective_s=_duration_of(row, 'goal') or 1,
        priority=integer_of(row, 'priority'),
        attempts_max=max(1, integer_of(row, 'attempts', 1)),
        is_open=flag_of(row, 'public'),
        # Affinity is to objects that an upstream keeps, not to sessions.
        has_affinity=flag_of(row, 'sticky'),
        homes=frozenset(texts_of(row, 'home_regions')),
    )


def _parts(row: Mapping[str, Any]) -> tuple[RoutePart, ...]:
    split = row.get('split')
    if not split:
        return (RoutePart(required_text(row, 'service'), 1),)
    if not isinstance(split, list):
        raise MalformedError('split is not a list')
    parts = []
    for part in split:
        if not isinstance(part, dict):
            raise MalformedError('split contains a part that is not an object')
        name = required_text(part, 'service')
        parts.append(RoutePart(name, number_of(part, 'weight')))
    return tuple(parts)


def _account(row: Mapping[str, Any]) -> KeyedAccount:
    has_priority = 'priority' in row
    account = Account(
        name=required_text(row, 'name'),
        priority=integer_of(row, 'priority') if has_priority else None,
        rate=number_of(row, 'rate_per_s'),
        burst=number_of(row, 'burst'),
        homes=frozenset(texts_of(row, 'home_regions')),
    )
    return KeyedAccount(account, texts_of(row, 'api_keys'))


def _bounds(document: Mapping[str, Any]) -> CallerBounds:
    limits = object_of(document, 'limits')
    usual = CallerBounds()
    return CallerBounds(
        integer_of(limits, 'max_header_bytes', usual.header_limit_b),
        integer_of(limits, 'max_body_bytes', usual.body_limit_b),
        _duration_of(limits, 'header_timeout') or usual.header_timeout_s,
        _duration_of(limits, 'idle_timeout') or usual.idle_timeout_s,
    )
