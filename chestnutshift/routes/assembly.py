"""Assembly of a route table of which some parts can't be read.

See docs/internals/decisions/0017-unreadable-parts.md for what is decided here.
"""

from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

import attrs

from chestnutshift.exceptions import CodedError
from chestnutshift.routes.model import (
    Account,
    CallerBounds,
    Route,
    RouteTable,
    Service,
)

Part = TypeVar('Part')


@attrs.frozen
class Unreadable:
    """A part that can't be read; detail names it and says why."""

    detail: str


@attrs.frozen
class KeyedAccount:
    """A client account with its keys."""

    account: Account
    keys: tuple[str, ...]


def assemble_table(
    version: int,
    services: Iterable[Service | Unreadable],
    routes: Iterable[Route],
    accounts: Iterable[KeyedAccount | Unreadable],
    bounds: CallerBounds | Unreadable,
) -> RouteTable:
    """Return the table; a route that can't be read has its problem."""
    listed, service_problems = _split(services)
    service_by_name = {service.name: service for service in listed}
    checked = tuple(_check_services(route, service_by_name) for route in routes)
    keyed, account_problems = _split(accounts)
    readable_bounds, bounds_problems = _split([bounds])
    return RouteTable(
        version=version,
        routes=checked,
        services=service_by_name,
        accounts={part.account.name: part.account for part in keyed},
        account_by_key={
            key: part.account for part in keyed for key in part.keys
        },
        bounds=readable_bounds[0] if readable_bounds else CallerBounds(),
        problems=(
            *service_problems,
            *(route.problem for route in checked if route.problem),
            *account_problems,
            *bounds_problems,
        ),
        has_unreadable_accounts=bool(account_problems),
    )


def read_part(
    name: str,
    decode: Callable[[Mapping[str, Any]], Part],
    fields: Mapping[str, Any],
) -> Part | Unreadable:
    """Return what decode makes of the fields, or why it can't."""
    try:
        return decode(fields)
    except CodedError as error:
        return Unreadable(f'{name}: {error.detail}')


def route_or_closed(route: Route, part: Route | Unreadable) -> Route:
    """Return the route that was read, else one that is closed."""
    if isinstance(part, Unreadable):
        return attrs.evolve(route, problem=part.detail)
    return part


def _split(
    parts: Iterable[Part | Unreadable],
) -> tuple[list[Part], list[str]]:
    """Return the parts that can be read, and what is wrong with the others."""
    readable: list[Part] = []
    problems: list[str] = []
    for part in parts:
        if isinstance(part, Unreadable):
            problems.append(part.detail)
        else:
            readable.append(part)
    return readable, problems


def _check_services(route: Route, services: dict[str, Service]) -> Route:
    """Return the route, closed if a service of it is not in the table."""
    for part in route.parts:
        if part.service not in services:
            problem = f'route {route.name}: unknown service {part.service!r}'
            return attrs.evolve(route, problem=problem)
    return route
