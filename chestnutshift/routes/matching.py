"""Matching of requests to routes by host and path prefix."""

from collections import defaultdict

from chestnutshift.routes.model import Route, RouteTable


class RouteIndex:
    """An index of a route table by host, longest prefix first."""

    def __init__(self, table: RouteTable) -> None:
        """Build the index of the table's routes."""
        self._by_host: dict[str, list[Route]] = defaultdict(list)
        for route in table.routes:
            self._by_host[route.host].append(route)
        for routes in self._by_host.values():
            routes.sort(key=_prefix_length, reverse=True)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix, None if none."""
        for route in self._by_host.get(_bare_host(host), ()):
            if path.startswith(route.prefix):
                return route
        return None


def _prefix_length(route: Route) -> int:
    return len(route.prefix)


def _bare_host(host: str) -> str:
    """Return the host name in lower case, without the port."""
    name, _, _ = host.partition(':')
    return name.lower()
