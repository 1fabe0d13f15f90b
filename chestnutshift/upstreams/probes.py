"""Schedule of the health probes of upstreams."""

import random
from collections.abc import Iterable

from chestnutshift.upstreams.health import HealthTable
from chestnutshift.upstreams.model import UpstreamState

PROBE_INTERVAL_S = 1.0
PROBE_GONE_INTERVAL_S = 2.0
CONCURRENT_PROBES_MAX = 2


class ProbePlan:
    """Schedule of probes; few run at a time, as each takes milliseconds."""

    def __init__(self, health: HealthTable, rng: random.Random) -> None:
        """Schedule by the table's states; rng spreads the first probes."""
        self._health = health
        self._rng = rng
        self._next_at: dict[str, float] = {}
        self._running: set[str] = set()

    def due(self, upstreams: Iterable[str], now: float) -> list[str]:
        """Return the upstreams to probe now and mark them as running."""
        scheduled = [
            (self._due_at(name, now), name)
            for name in upstreams
            if name not in self._running
        ]
        overdue = sorted(probe for probe in scheduled if probe[0] <= now)
        capacity = CONCURRENT_PROBES_MAX - len(self._running)
        chosen = [name for _, name in overdue[: max(0, capacity)]]
        self._running.update(chosen)
        return chosen

    def record_end(self, upstream: str, now: float) -> None:
        """Schedule the next probe after one ended, answered or not."""
        self._running.discard(upstream)
        state = self._health.get(upstream).state
        wait_s = PROBE_INTERVAL_S
        if state is UpstreamState.GONE:
            wait_s = PROBE_GONE_INTERVAL_S
        self._next_at[upstream] = now + wait_s

    def _due_at(self, upstream: str, now: float) -> float:
        if upstream not in self._next_at:
            self._next_at[upstream] = (
                now + PROBE_INTERVAL_S * self._rng.random()
            )
        return self._next_at[upstream]
