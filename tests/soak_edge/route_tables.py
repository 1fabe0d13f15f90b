"""The route table of a soak, as the operator writes it, and its changes."""

import copy
import json
import time
from collections import defaultdict
from collections.abc import Mapping, Sequence

import attrs

from tests.edge.stand_ins import StoreStandIn
from tests.platform.samples import ROUTE_TABLE
from tests.soak_edge.guarantees import IssuedKey
from tests.soak_edge.losses import TableChange

FIRST_VERSION = 16
SERVICE = 's1'
COLUMNS = (
    'name', 'prefix', 'kind', 'timeout', 'goal', 'priority', 'attempts',
    'host', 'service',
)  # fmt: skip
ACCOUNT_COLUMNS = ('name', 'api_keys', 'rate_per_s', 'burst')
RATE_PER_S = 400
MS_PER_S = 1000


@attrs.frozen
class Route:
    """One route of the table."""

    name: str
    prefix: str
    kind: str
    timeout_s: float
    goal: str
    priority: int
    attempts: int

    def row(self) -> list[object]:
        """Return its row in the table."""
        timeout = f'{round(self.timeout_s * MS_PER_S)}ms'
        fields = (self.name, self.prefix, self.kind, timeout, self.goal)
        tail = (self.priority, self.attempts, 'one.example', SERVICE)
        return [*fields, *tail]


ROUTES = (
    Route('search', '/a/', 'safe', 1.5, '600ms', 2, 2),
    Route('book', '/b/', 'unsafe', 2.5, '800ms', 1, 1),
    Route('report', '/r/', 'safe', 5, '2s', 2, 2),
    Route('upload', '/u/', 'upload', 15, '5s', 1, 1),
)
# What it takes from search while it is there, callers always have a route.
ADDED_ROUTE = Route('search-more', '/a/more/', 'safe', 1.5, '600ms', 2, 2)


@attrs.define
class RouteTables:
    """Writer of the route table; changes are those that it wrote."""

    store: StoreStandIn
    routes: Sequence[Route] = ROUTES
    changes: list[TableChange] = attrs.field(factory=list)
    _version: int = FIRST_VERSION

    def write(self, keys: Mapping[str, IssuedKey]) -> None:
        """Write the next version, with the keys that are not withdrawn."""
        sent_at = time.monotonic()
        self._version += 1
        by_account = defaultdict(list)
        for key, issued in keys.items():
            if issued.withdrawn_at is None:
                by_account[issued.account].append(key)
        table = copy.deepcopy(ROUTE_TABLE)
        table['version'] = f'{self._version:08x}'
        table['routes'] = {
            'cols': list(COLUMNS),
            'rows': [route.row() for route in self.routes],
        }
        table['tenants'] = {
            'cols': list(ACCOUNT_COLUMNS),
            'rows': [
                [account, its_keys, RATE_PER_S, RATE_PER_S]
                for account, its_keys in by_account.items()
            ],
        }
        self.store.write('op', 'config', json.dumps(table).encode())
        timeouts_s = {route.prefix: route.timeout_s for route in self.routes}
        self.changes.append(TableChange(sent_at, time.monotonic(), timeouts_s))

    def scale_timeouts(self, ratio: float) -> None:
        """Set the timeouts to a multiple of those at the start."""
        first_s = {route.name: route.timeout_s for route in ROUTES}
        first_s[ADDED_ROUTE.name] = ADDED_ROUTE.timeout_s
        self.routes = [
            attrs.evolve(route, timeout_s=ratio * first_s[route.name])
            for route in self.routes
        ]

    def add_or_remove_route(self) -> None:
        """Add the route that takes from another, or remove it."""
        kept = [
            route for route in self.routes if route.name != ADDED_ROUTE.name
        ]
        if len(kept) == len(self.routes):
            kept.append(ADDED_ROUTE)
        self.routes = kept

    def reset_routes(self) -> None:
        """Return to the routes of the start."""
        self.routes = ROUTES
