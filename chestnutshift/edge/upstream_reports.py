"""What VMs tell each other of upstreams, in heartbeats.

Upstreams are named by the hash of the id, which is short.
"""

from collections.abc import Collection, Iterable, Mapping

import attrs
from prometheus_client import Counter

from chestnutshift.edge import events
from chestnutshift.edge.dialect import AnswerFacts
from chestnutshift.events.log import EventLog
from chestnutshift.fleet.heartbeats import (
    Heartbeat,
    RateLimitReport,
    hash_run,
    hash_upstream,
    sum_in_flight,
)
from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.upstreams import Upstream

UNAVAILABLE = 503
# A peer's report that an upstream stays cold for longer counts from this much
# on: the time that a heartbeat takes must not prolong it.
COLD_REPORT_MIN_S = 0.3
# Likewise for the time at which an upstream named its limit.
RATE_LIMIT_REPORT_MIN_S = 0.1
# The pause of an upstream that asks for one whose length can't be read. Each
# further answer of the kind begins it anew.
UNREADABLE_PAUSE_S = 3.0
# How long VMs tell each other that an upstream no longer names a limit.
RATE_LIMIT_END_TOLD_S = 10.0


@attrs.define
class UpstreamReports:
    """Reports on the directory's upstreams, to and from the peers."""

    _directory: UpstreamDirectory
    _event_log: EventLog
    # By the header's name.
    _headers_malformed: Counter
    _hashed: Mapping[int, Upstream] = attrs.field(factory=dict)
    # The directory's generation of which the upstreams are hashed.
    _generation: int = -1

    def in_flight(self) -> dict[int, int]:
        """Return this VM's requests in flight."""
        return {
            name_hash: upstream.in_flight
            for name_hash, upstream in self._by_hash().items()
            if upstream.in_flight
        }

    def cold_for_s(
        self, services: Collection[str], now: float
    ) -> dict[int, float]:
        """Return how long the upstreams of these services stay cold.

        Any writer may list upstreams of services that no request goes to;
        these would fill the heartbeats.
        """
        return {
            name_hash: upstream.cold_until - now
            for name_hash, upstream in self._by_hash().items()
            if upstream.is_cold(now)
            and upstream.registration.service in services
        }

    def rate_limits(self, now: float) -> dict[int, RateLimitReport]:
        """Return the limits that upstreams name, and which ended lately."""
        return {
            name_hash: RateLimitReport(
                upstream.rate_limit, now - upstream.rate_limit_at
            )
            for name_hash, upstream in self._by_hash().items()
            if upstream.rate_limit is not None
            or now - upstream.rate_limit_at < RATE_LIMIT_END_TOLD_S
        }

    def leaving(self) -> frozenset[int]:
        """Return the upstreams that said that they leave, by run."""
        return frozenset(
            hash_run(upstream.registration)
            for upstream in self._directory
            if upstream.has_announced_leaving
        )

    def apply_in_flight(self, heartbeats: Iterable[Heartbeat]) -> None:
        """Set the peers' requests in flight by their last heartbeats."""
        counts = sum_in_flight(heartbeats)
        for name_hash, upstream in self._by_hash().items():
            upstream.peers_in_flight = counts.get(name_hash, 0)

    def record_rate_limit(
        self,
        upstream: Upstream,
        limit: float | None,
        answered_at: float,
        *,
        source: str,
    ) -> None:
        """Record an upstream's limit by an answer to this VM or a peer.

        source names the kind of answer, or the peer.
        """
        if upstream.record_rate_limit(limit, answered_at):
            self._event_log.emit(
                events.RATE_LIMIT_CHANGED,
                upstream=upstream.name,
                limit=limit,
                source=source,
            )

    def record_head(
        self,
        upstream: Upstream,
        status: int,
        facts: AnswerFacts,
        now: float,
        *,
        source: str,
    ) -> None:
        """Record what the head of an answer asks of this VM."""
        self._report_malformed(upstream, facts)
        if facts.is_leaving:
            self.record_leaving(upstream, source=source)
        pause_s = _pause_s(facts) if status == UNAVAILABLE else 0
        if pause_s:
            # No answer ends a pause that another one asked for.
            until = now + pause_s
            upstream.paused_until = max(upstream.paused_until, until)
            self._event_log.emit(
                events.UPSTREAM_PAUSED,
                upstream=upstream.name,
                retry_after_s=pause_s,
                source=source,
            )

    def record_leaving(self, upstream: Upstream, *, source: str) -> None:
        """Record that an answer, to this VM or a peer, says that it leaves."""
        if upstream.announce_leaving():
            self._event_log.emit(
                events.UPSTREAM_LEAVING,
                upstream=upstream.name,
                source=source,
            )

    def apply(self, heartbeat: Heartbeat, now: float) -> None:
        """Apply the reports in a heartbeat that just arrived."""
        self._apply_cold(heartbeat, now)
        self._apply_rate_limits(heartbeat, now)
        self._apply_leaving(heartbeat)

    def _apply_cold(self, heartbeat: Heartbeat, now: float) -> None:
        for name_hash, left_s in heartbeat.cold_for_s.items():
            upstream = self._by_hash().get(name_hash)
            if upstream is None:
                continue
            cold_until = now + left_s
            if cold_until > upstream.cold_until + COLD_REPORT_MIN_S:
                upstream.cold_until = cold_until
                self._event_log.emit(
                    events.UPSTREAM_COLD_TOLD,
                    upstream=upstream.name,
                    peer=heartbeat.vm,
                    cold_for_s=left_s,
                )

    def _apply_rate_limits(self, heartbeat: Heartbeat, now: float) -> None:
        for name_hash, report in heartbeat.rate_limits.items():
            upstream = self._by_hash().get(name_hash)
            named_at = now - report.age_s
            if (
                upstream is None
                or named_at <= upstream.rate_limit_at + RATE_LIMIT_REPORT_MIN_S
            ):
                continue
            self.record_rate_limit(
                upstream, report.limit, named_at, source=heartbeat.vm
            )

    def _apply_leaving(self, heartbeat: Heartbeat) -> None:
        if not heartbeat.leaving:
            return
        for upstream in self._directory:
            if hash_run(upstream.registration) in heartbeat.leaving:
                self.record_leaving(upstream, source=heartbeat.vm)

    def _report_malformed(self, upstream: Upstream, facts: AnswerFacts) -> None:
        """Count each header that can't be read, and log it once a run."""
        for header, reason in facts.malformed_headers.items():
            self._headers_malformed.labels(header).inc()
            if header in upstream.malformed_headers:
                continue
            upstream.malformed_headers.add(header)
            self._event_log.emit(
                events.HEADER_MALFORMED,
                upstream=upstream.name,
                header=header,
                detail=reason,
            )

    def _by_hash(self) -> Mapping[int, Upstream]:
        if self._generation != self._directory.generation:
            self._generation = self._directory.generation
            self._hashed = {
                hash_upstream(upstream.name): upstream
                for upstream in self._directory
            }
        return self._hashed


def _pause_s(facts: AnswerFacts) -> float:
    """Return the pause that a refusal asks for, 0 for none."""
    pause_s = facts.retry_after_s or 0
    if facts.is_retry_after_malformed:
        return max(UNREADABLE_PAUSE_S, pause_s)
    return pause_s
