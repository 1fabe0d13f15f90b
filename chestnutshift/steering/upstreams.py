"""State of an upstream as seen by one VM."""

import enum
import math
from collections import OrderedDict

import attrs

# Weights of a new sample in the exponential moving averages.
LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.2
# Older load reports of the upstream are ignored.
REPORT_AGE_MAX_S = 0.5
# Number of recently requested objects that are recorded for each upstream.
RECENT_OBJECTS_MAX = 256
# Heartbeats carry limits in thousandths of a request per second.
RATE_LIMIT_UNIT = 0.001


@attrs.frozen
class Registration:
    """The registration row of an upstream.

    started_at_ms is unix time, and differs between two runs under one name.
    sequence increases with each registration of a run; cold_for_s counts from
    the time at which the registration is read.
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
    """The condition of an upstream; only a ready one receives requests."""

    READY = 'ready'
    # It failed as if it had restarted; a health check must succeed first.
    UNPROVEN = 'unproven'
    LEAVING = 'leaving'
    GONE = 'gone'


@attrs.frozen
class LoadReport:
    """Numbers of running and queued requests that an upstream reported."""

    running: int
    waiting: int
    slots: int


@attrs.define(eq=False)
class Upstream:
    """One run of an upstream process; times are boot time in seconds.

    An isolated VM takes it for warm until verified_until, by a health check;
    asked_at is when it last considered the upstream for a request.
    rate_limit is the requests per second that it accepts from all VMs, by its
    newest answer to any VM, at rate_limit_at; None for no limit.
    has_announced_leaving tells that an answer to any VM said that it leaves.
    It has asked this VM to send nothing before paused_until.
    in_flight counts this VM's requests to it, peers_in_flight those that the
    other VMs last reported.
    """

    registration: Registration
    region: str
    condition: Condition = Condition.READY
    cold_until: float = -math.inf
    verified_until: float = -math.inf
    asked_at: float = -math.inf
    rate_limit: float | None = None
    rate_limit_at: float = -math.inf
    has_malformed_limit: bool = False
    # Headers that it sent and that could not be read; each is logged once.
    malformed_headers: set[str] = attrs.field(factory=set)
    has_announced_leaving: bool = False
    paused_until: float = -math.inf
    in_flight: int = 0
    peers_in_flight: int = 0
    failure_rate: float = 0
    # Moving average of its latency relative to the service's expected latency.
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
        """The number of requests that it runs concurrently."""
        return self.registration.slots

    def update(self, registration: Registration, now: float) -> None:
        """Apply a registration of this run that was just read."""
        self.registration = registration
        self.record_cold(registration.cold_for_s, now)
        if registration.is_leaving or self.has_announced_leaving:
            self.condition = Condition.LEAVING
        elif self.condition is Condition.LEAVING:
            self.condition = Condition.READY

    def announce_leaving(self) -> bool:
        """Record that it leaves, for good; return whether that is news."""
        is_news = not self.has_announced_leaving
        self.has_announced_leaving = True
        if self.condition is not Condition.GONE:
            self.condition = Condition.LEAVING
        return is_news

    def is_cold(self, now: float) -> bool:
        """Return whether it is warming up and accepts only its cold rate."""
        return now < self.cold_until

    def record_cold(self, cold_for_s: float, now: float) -> None:
        """Record that it stays cold for that long; never shorten it."""
        if cold_for_s:
            self.cold_until = max(self.cold_until, now + cold_for_s)

    def is_paused(self, now: float) -> bool:
        """Return whether it has asked for a pause that is not over."""
        return now < self.paused_until

    def is_limited(self, now: float) -> bool:
        """Return whether it accepts only a certain rate, or nothing now."""
        if self.rate_limit is not None or self.is_paused(now):
            return True
        return self.is_cold(now)

    def record_rate_limit(
        self, limit: float | None, answered_at: float
    ) -> bool:
        """Record the limit by an answer; return whether it changed.

        An answer older than the one known is ignored.
        """
        if answered_at <= self.rate_limit_at:
            return False
        has_changed = not _is_same_limit(limit, self.rate_limit)
        self.rate_limit_at = answered_at
        self.rate_limit = limit
        return has_changed

    def load(self, now: float) -> float:
        """Return the estimated number of its running and queued requests."""
        in_flight = self.in_flight + self.peers_in_flight
        if now - self._reported_at > REPORT_AGE_MAX_S or self._report is None:
            return in_flight
        reported = self._report.running + self._report.waiting
        in_flight_change = self.in_flight - self._in_flight_at_report
        return max(in_flight, reported + in_flight_change)

    def record_load(self, report: LoadReport, now: float) -> None:
        """Record the load that the upstream just reported."""
        self._report = report
        self._reported_at = now
        self._in_flight_at_report = self.in_flight

    def record_answer(self, latency_ratio: float, now: float) -> None:
        """Record an answer; the ratio is to the service's expected latency."""
        self.answered_at = now
        self.slowness += LATENCY_WEIGHT * (latency_ratio - self.slowness)
        self.failure_rate *= 1 - FAILURE_WEIGHT

    def record_failure(self, now: float) -> None:
        """Record an attempt that gave no answer to return to the caller."""
        self.failed_at = now
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)

    def record_object(self, object_key: bytes, now: float) -> None:
        """Record that this VM sent it a request for the object, if any."""
        if not object_key:
            return
        self._recent_objects[object_key] = now
        self._recent_objects.move_to_end(object_key)
        if len(self._recent_objects) > RECENT_OBJECTS_MAX:
            self._recent_objects.popitem(last=False)

    def forget_objects(self) -> None:
        """Forget the objects that it was sent requests for."""
        self._recent_objects.clear()

    def object_age_s(self, object_key: bytes, now: float) -> float:
        """Return how long ago this VM sent it a request for the object."""
        return now - self._recent_objects.get(object_key, -math.inf)


def _is_same_limit(limit: float | None, other: float | None) -> bool:
    """Return whether two limits are equal as peers tell them."""
    if limit is None or other is None:
        return limit is other
    return math.isclose(limit, other, rel_tol=0, abs_tol=RATE_LIMIT_UNIT)
