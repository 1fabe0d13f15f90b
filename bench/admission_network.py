"""A fake network of seats: delay, loss, duplication and partitions."""

import heapq
import random
from collections.abc import Callable, Collection, Iterator

import attrs

SAME_REGION_DELAY_S = (0.0002, 0.001)
CROSS_REGION_DELAY_S = (0.02, 0.035)

# One loan message in the compact protocol of Thrift, and the headers of the
# TCP segment that carries the messages of one moment.
MESSAGE_B = 60
SEGMENT_B = 45


@attrs.define
class Traffic:
    """Counts of the messages and bytes sent by all seats."""

    messages: int = 0
    sent_b: int = 0


@attrs.define
class Network:
    """Delivers messages between seats in simulated time (seconds).

    loss and duplication are the probabilities that a message is lost or arrives
    twice.
    """

    region_of: dict[str, str]
    rng: random.Random
    loss: float = 0
    duplication: float = 0
    extra_delay_s: float = 0
    traffic: Traffic = attrs.field(factory=Traffic)
    _queue: list[tuple[float, int, str, str, object]] = attrs.field(
        factory=list,
    )
    _sent_count: int = 0
    _cuts: list[tuple[frozenset[str], frozenset[str]]] = attrs.field(
        factory=list,
    )
    _segments: set[tuple[str, str, float]] = attrs.field(factory=set)

    def delay_s(self, source: str, target: str) -> float:
        """Draw a one-way delay."""
        near = self.region_of[source] == self.region_of[target]
        delay = self.rng.uniform(
            *(SAME_REGION_DELAY_S if near else CROSS_REGION_DELAY_S)
        )
        return delay + self.rng.random() ** 4 * self.extra_delay_s

    def cut(self, group_a: Collection[str], group_b: Collection[str]) -> None:
        """Drop every message between the two groups."""
        self._cuts.append((frozenset(group_a), frozenset(group_b)))

    def heal(self) -> None:
        """End every cut."""
        self._cuts.clear()

    def is_cut(self, source: str, target: str) -> bool:
        """Return whether a cut separates the two seats."""
        return any(
            (source in left and target in right)
            or (source in right and target in left)
            for left, right in self._cuts
        )

    def send(self, source: str, target: str, body: object, now: float) -> None:
        """Send one message, which may be lost, duplicated and delayed."""
        self._count(source, target, now)
        copies = 2 if self.rng.random() < self.duplication else 1
        for _ in range(copies):
            if self.rng.random() < self.loss:
                continue
            self._sent_count += 1
            due = now + self.delay_s(source, target)
            entry = (due, self._sent_count, source, target, body)
            heapq.heappush(self._queue, entry)

    def deliver(
        self,
        now: float,
        ready: Callable[[str], bool],
    ) -> Iterator[tuple[float, str, str, object]]:
        """Yield due messages as (moment, source, target, body).

        Messages to a seat that is not ready wait until it is.
        """
        waiting = []
        while self._queue and self._queue[0][0] <= now:
            entry = heapq.heappop(self._queue)
            due, _, source, target, body = entry
            if self.is_cut(source, target):
                continue
            if not ready(target):
                waiting.append(entry)
                continue
            yield due, source, target, body
        for entry in waiting:
            heapq.heappush(self._queue, (now, *entry[1:]))

    def _count(self, source: str, target: str, now: float) -> None:
        self.traffic.messages += 1
        self.traffic.sent_b += MESSAGE_B
        segment = (source, target, now)
        if segment not in self._segments:
            self._segments.add(segment)
            self.traffic.sent_b += SEGMENT_B
        if len(self._segments) > 4096:
            self._segments.clear()
