"""What a VM knows of each upstream, from its registration and its answers."""

import enum
import math
from collections import OrderedDict

import attrs

LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.2
# A report of the upstream's own load is believed for this long.
REPORT_AGE_MAX_S = 0.5
# Objects of an upstream that this VM remembers having sent there.
RECENT_OBJECTS_MAX = 64
OBJECT_AGE_MAX_S = 12.0


@attrs.frozen
class Registration:
    """What an upstream says of itself.

    started_at_ms is unix time; two starts under one name differ in it.
    sequence grows with each registration of a start; cold_for_s counts from
    when the registration was read.
    """

    upstream: str
    started_at_ms: int
    service: str
    address: str
    port: int
    failure_domain: str
    slots: int
    sequence: int = 0
    is_leaving: bool = False
    cold_for_s: float = 0


class Condition(enum.StrEnum):
    """Whether an upstream may get requests."""

    READY = 'ready'
    # It failed in a way that a restart explains; a health check must clear it.
    UNPROVEN = 'unproven'
    LEAVING = 'leaving'
    GONE = 'gone'


@attrs.frozen
class LoadReport:
    """Requests that an upstream said it was running and queueing."""

    running: int
    waiting: int
    slots: int


@attrs.define(eq=False)
class Upstream:
    """One start of one upstream; times are boot time in seconds.

    in_flight counts this VM's requests there, peers_in_flight those that the
    other VMs last told of.
    """

    registration: Registration
    region: str
    condition: Condition = Condition.READY
    cold_until: float = -math.inf
    in_flight: int = 0
    peers_in_flight: int = 0
    failure_rate: float = 0
    # How much slower than the service's mean its answers are.
    slowness: float = 1
    failed_at: float = -math.inf
    answered_at: float = -math.inf
    _report: LoadReport | None = None
    _reported_at: float = -math.inf
    _in_flight_at_report: int = 0
    _recent_objects: OrderedDict[bytes, float] = attrs.field(
        factory=OrderedDict
    )

    @property
    def name(self) -> str:
        """The upstream's id."""
        return self.registration.upstream

    @property
    def slots(self) -> int:
        """Requests that it runs at a time."""
        return self.registration.slots

    def is_cold(self, now: float) -> bool:
        """Tell whether it takes few requests only."""
        return now < self.cold_until

    def load(self, now: float) -> float:
        """Return the requests that it probably holds, queued ones included."""
        known = self.in_flight + self.peers_in_flight
        if now - self._reported_at > REPORT_AGE_MAX_S or self._report is None:
            return known
        reported = self._report.running + self._report.waiting
        sent_since = self.in_flight - self._in_flight_at_report
        return max(known, reported + sent_since)

    def take_report(self, report: LoadReport, now: float) -> None:
        """Keep what the upstream just said of its load."""
        self._report = report
        self._reported_at = now
        self._in_flight_at_report = self.in_flight

    def record_answer(self, latency_ratio: float, now: float) -> None:
        """Take an answer; the ratio is to the service's mean latency."""
        self.answered_at = now
        self.slowness += LATENCY_WEIGHT * (latency_ratio - self.slowness)
        self.failure_rate *= 1 - FAILURE_WEIGHT

    def record_failure(self, now: float) -> None:
        """Take an attempt that gave no answer to pass on."""
        self.failed_at = now
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)

    def remember(self, object_key: bytes, now: float) -> None:
        """Note that it handles the object."""
        self._recent_objects[object_key] = now
        self._recent_objects.move_to_end(object_key)
        if len(self._recent_objects) > RECENT_OBJECTS_MAX:
            self._recent_objects.popitem(last=False)

    def has_handled(self, object_key: bytes, now: float) -> bool:
        """Tell whether this VM sent it the object lately."""
        handled_at = self._recent_objects.get(object_key, -math.inf)
        return now - handled_at <= OBJECT_AGE_MAX_S
