"""The route table: one accepted version of what is served and for whom."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class RoutePart:
    """A service of a route and its weight among the route's parts."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """Requests of one host whose path begins with the prefix.

    timeout_s is the longest time that a caller is kept waiting, None for no
    limit; objective_s is the latency objective. Priority 0 is the most
    urgent. No home regions means that every region may serve.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[RoutePart, ...]
    is_idempotent: bool = False
    timeout_s: float | None = None
    objective_s: float = 1.0
    priority: int = 0
    attempts_max: int = 1
    is_open: bool = False
    has_affinity: bool = False
    homes: frozenset[str] = frozenset()


@attrs.frozen
class Service:
    """A service as operators describe it.

    cold_s is how long its upstreams stay cold after a start; while cold one
    takes cold_rate requests per second from all VMs together.
    """

    name: str
    health_path: str = '/healthz'
    connections_max: int = 100
    cold_s: float = 0
    cold_rate: float = 0


@attrs.frozen
class Account:
    """A client account; a rate of 0 requests per second means no limit."""

    name: str
    priority: int | None = None
    rate: float = 0
    burst: float = 0
    homes: frozenset[str] = frozenset()


@attrs.frozen
class CallerBounds:
    """What one caller may send, in bytes, and how long it may take."""

    header_limit_b: int
    body_limit_b: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class RouteTable:
    """One version of all routes, services and accounts.

    Accounts are found by key; where there are no accounts at all, every
    route is open.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    accounts: Mapping[str, Account]
    account_by_key: Mapping[str, Account]
    bounds: CallerBounds

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not open need a key."""
        return bool(self.accounts)
