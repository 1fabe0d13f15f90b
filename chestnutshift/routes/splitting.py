"""Weighted traffic splitting between the services of a route."""

from chestnutshift.routes.model import Route, RoutePart


class Splitter:
    """A smooth weighted round robin over the services of each route.

    Each VM applies the weights exactly to its own requests, so all VMs
    together follow them without communicating.
    """

    def __init__(self) -> None:
        """Start with zero credit for every service."""
        self._credits: dict[tuple[str, str], float] = {}

    def choose(self, route: Route) -> str:
        """Return the service of the route's next request."""
        if len(route.parts) == 1:
            return route.parts[0].service
        best = route.parts[0]
        best_credit = float('-inf')
        total = float(0)
        for part in route.parts:
            credit = self._add_credit(route, part)
            total += part.weight
            if credit > best_credit:
                best, best_credit = part, credit
        self._credits[route.name, best.service] -= total
        return best.service

    def _add_credit(self, route: Route, part: RoutePart) -> float:
        key = (route.name, part.service)
        self._credits[key] = self._credits.get(key, 0) + part.weight
        return self._credits[key]
