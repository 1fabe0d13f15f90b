"""Model of the route table: routes, services and client accounts."""

from collections.abc import Mapping

import attrs


@attrs.frozen
class RoutePart:
    """A service that receives a share of a route's requests, by weight."""

    service: str
    weight: float


@attrs.frozen
class Route:
    """A rule for requests to one host whose path begins with the prefix.

    timeout_s is the longest time that a caller waits for an answer, None for
    no limit; objective_s is the latency objective in seconds. Priority 0 is
    the most urgent. Requests on an open route need no key. homes are the
    regions that may serve the route, empty for all. problem says which part of
    the rule can't be read; such a route is closed.
    """

    name: str
    host: str
    prefix: str
    parts: tuple[RoutePart, ...] = ()
    is_idempotent: bool = False
    has_large_answers: bool = False
    timeout_s: float | None = None
    objective_s: float = 1.0
    priority: int = 0
    attempts_max: int = 1
    is_open: bool = False
    has_affinity: bool = False
    homes: frozenset[str] = frozenset()
    problem: str = ''


@attrs.frozen
class Service:
    """A service as configured by operators.

    cold_s is how many seconds an upstream stays cold after its start; a cold
    upstream accepts cold_rate requests per second from all VMs together.
    """

    name: str
    health_path: str = '/healthz'
    connections_max: int = 100
    cold_s: float = 0
    cold_rate: float = 0


@attrs.frozen
class Account:
    """A client account.

    rate is in requests per second, 0 for no limit; burst is the number of
    requests that may come at once. homes are the regions that may serve its
    requests, empty for all.
    """

    name: str
    priority: int | None = None
    rate: float = 0
    burst: float = 0
    homes: frozenset[str] = frozenset()


@attrs.frozen
class CallerBounds:
    """Limits on the size of a caller's requests, and timeouts."""

    header_limit_b: int = 16_384
    body_limit_b: int = 67_108_864
    header_timeout_s: float = 3
    idle_timeout_s: float = 15


@attrs.frozen
class RouteTable:
    """One version of all routes, services and accounts.

    account_by_key maps a key to its account. If there are no accounts, every
    route is open. problems say which parts can't be read; if those of accounts
    are among them, a key that is not listed may be valid.
    """

    version: int
    routes: tuple[Route, ...]
    services: Mapping[str, Service]
    accounts: Mapping[str, Account]
    account_by_key: Mapping[str, Account]
    bounds: CallerBounds
    problems: tuple[str, ...] = ()
    has_unreadable_accounts: bool = False

    @property
    def needs_keys(self) -> bool:
        """Whether requests on routes that are not open need a key."""
        return bool(self.accounts) or self.has_unreadable_accounts
