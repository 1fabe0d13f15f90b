"""Upstreams that were removed, as they were last known."""

from chestnutshift.steering.registration_order import is_same_run
from chestnutshift.steering.upstreams import Condition, Registration, Upstream

KEPT_MAX = 1000


class RemovedUpstreams:
    """The last removed upstreams by id.

    Their registrations tell stale rows from new ones; and a run that is listed
    again is still as cold as it was.
    """

    def __init__(self) -> None:
        """Start without any."""
        self._by_name: dict[str, Upstream] = {}

    def find(self, name: str) -> Upstream | None:
        """Return the removed upstream of that id, None if there is none."""
        return self._by_name.get(name)

    def keep(self, upstream: Upstream) -> None:
        """Keep an upstream that is being removed."""
        upstream.condition = Condition.GONE
        upstream.forget_objects()
        self._by_name[upstream.name] = upstream
        if len(self._by_name) > KEPT_MAX:
            self._by_name.pop(next(iter(self._by_name)))

    def revive(self, registration: Registration) -> Upstream | None:
        """Return the removed upstream if it is of the registration's run."""
        removed = self._by_name.pop(registration.upstream, None)
        if removed is None:
            return None
        if not is_same_run(registration, removed.registration):
            return None
        removed.condition = (
            Condition.LEAVING
            if removed.has_announced_leaving
            else Condition.READY
        )
        return removed
