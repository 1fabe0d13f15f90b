"""Observed state and load of upstreams, used for their selection."""

import enum
import math

import attrs

LATENCY_WEIGHT = 0.2
ERROR_WEIGHT = 0.1
OBSERVATION_DECAY_S = 10.0


@attrs.frozen
class ServiceLoad:
    """The slots that one VM may use for a service, and how busy they are.

    wait_s is a request's expected wait for its slot, in seconds.
    """

    slots: int
    in_use: int
    wait_s: float


class UpstreamState(enum.StrEnum):
    """The state of an upstream, which decides whether it takes new work."""

    LIVE = 'live'
    SUSPECT = 'suspect'
    LEAVING = 'leaving'
    GONE = 'gone'


@attrs.define
class Candidate:
    """One upstream as this VM observes it, updated in place.

    slots counts those that this VM may use now, in_flight this VM's own
    requests; latency_s and error_rate are moving averages of its answers;
    reported_load is the load that the upstream reports, relative to its
    slots; warm is the usable fraction of the slots during a warm-up; a
    suspect upstream gets one trial request at a time, from trial_at on.
    Times are in seconds.
    """

    name: str
    failure_domain: str
    region: str
    slots: int
    in_flight: int = 0
    latency_s: float = 0
    observed_at: float = -math.inf
    error_rate: float = 0
    reported_load: float = 0
    reported_at: float = -math.inf
    warm: float = 1.0
    state: UpstreamState = UpstreamState.LIVE
    trial_at: float = 0

    @property
    def usable_slots(self) -> int:
        """The slots that the warm-up leaves, at least one if there are any."""
        return min(self.slots, max(1, int(self.slots * self.warm)))

    def is_available(self, now: float, *, trials: bool) -> bool:
        """Return whether a request may go to the upstream now."""
        if self.state is UpstreamState.LIVE:
            return self.in_flight < self.usable_slots
        if self.state is UpstreamState.SUSPECT and trials:
            return (
                self.slots > 0 and not self.in_flight and now >= self.trial_at
            )
        return False

    def record_answer(self, latency_s: float, now: float, *, ok: bool) -> None:
        """Update the averages with one answer, or with a failure to answer."""
        is_first = self.observed_at == -math.inf
        weight = 1.0 if is_first else LATENCY_WEIGHT
        self.latency_s += weight * (latency_s - self.latency_s)
        self.error_rate += ERROR_WEIGHT * (int(not ok) - self.error_rate)
        self.observed_at = now

    def record_report(self, load: float, reported_at: float) -> None:
        """Store the load that the upstream reports, unless it is outdated."""
        if reported_at >= self.reported_at:
            self.reported_load = load
            self.reported_at = reported_at
