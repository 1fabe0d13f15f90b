"""Health states of upstreams: live, suspect, leaving or gone.

What the VM observes on its own requests takes precedence. An upstream that is
leaving stays so until a new process of it is observed, because lists and
health endpoints lag and may still report it as live.
"""

import enum
import math
from collections.abc import Iterable

import attrs

from chestnutshift.events.catalogue import EventKind
from chestnutshift.invariants.registry import LEAVING_UPSTREAM, verify
from chestnutshift.upstreams import events
from chestnutshift.upstreams.model import Candidate, UpstreamState

FAILURES_MAX = 3
TRIAL_BACKOFF_MIN_S = 0.5
TRIAL_BACKOFF_MAX_S = 30.0
LEAVING_GRACE_S = 2.0


class NoticeSource(enum.StrEnum):
    """The source from which a VM learned that an upstream is leaving."""

    HEALTH = 'health'
    ANSWER = 'answer'
    LIST = 'list'
    PEER = 'peer'


@attrs.frozen
class LeavingNotice:
    """A notice that an upstream's process is leaving.

    An empty process stands for any process of the upstream.
    """

    upstream: str
    source: NoticeSource
    process: str = ''


@attrs.frozen
class Transition:
    """A change of an upstream's state, with the event to log for it."""

    upstream: str
    event: EventKind
    cause: str


@attrs.define
class UpstreamHealth:
    """The health state of one upstream.

    failures counts failures in a row; trial_at is when a suspect upstream's
    next trial request is due; refused is true if it refused a connection when
    it became suspect or since; list_is_stale is true while the platform's list
    may still describe the process before the last restart.
    """

    state: UpstreamState = UpstreamState.LIVE
    process: str = ''
    failures: int = 0
    trial_backoff_s: float = TRIAL_BACKOFF_MIN_S
    trial_at: float = -math.inf
    refused: bool = False
    leaving_since: float = math.inf
    restarted_at: float = -math.inf
    list_is_stale: bool = False


class HealthTable:
    """The state of every upstream that this VM knows."""

    def __init__(self) -> None:
        """Create an empty table; an unknown upstream counts as live."""
        self._upstreams: dict[str, UpstreamHealth] = {}

    def get(self, upstream: str) -> UpstreamHealth:
        """Return the health of an upstream, live if it is unknown so far."""
        return self._upstreams.setdefault(upstream, UpstreamHealth())

    def fill(self, candidates: Iterable[Candidate]) -> None:
        """Copy the states and the trial times into the candidates."""
        for candidate in candidates:
            health = self.get(candidate.name)
            candidate.state = health.state
            candidate.trial_at = health.trial_at

    def closed(self) -> frozenset[str]:
        """Return the upstreams that are leaving or gone."""
        return frozenset(
            name
            for name, health in self._upstreams.items()
            if health.state in {UpstreamState.LEAVING, UpstreamState.GONE}
        )

    def verify_sendable(self, upstream: str, now: float) -> None:
        """Verify that a request being sent does not go to a leaving upstream.

        Requests within LEAVING_GRACE_S of the first notice are allowed. Raises
        InvariantViolationError only where invariants are enforced.
        """
        since = self.get(upstream).leaving_since
        verify(
            LEAVING_UPSTREAM,
            holds=now - since <= LEAVING_GRACE_S,
            detail=f'{upstream} has been leaving for {now - since:.3f} s',
        )

    def record_success(self, upstream: str, now: float) -> Transition | None:
        """Record a complete answer to a request."""
        health = self.get(upstream)
        health.failures = 0
        if health.state is not UpstreamState.SUSPECT:
            return None
        if health.refused:
            return self._restart(upstream, 'answers after refusing', now)
        _make_live(health)
        return Transition(upstream, events.UPSTREAM_LIVE, 'answer')

    def record_failure(
        self,
        upstream: str,
        cause: str,
        now: float,
        *,
        refused: bool = False,
    ) -> Transition | None:
        """Record a failed request; refused means no connection was made."""
        health = self.get(upstream)
        health.failures += 1
        if health.state is UpstreamState.LEAVING and refused:
            health.state = UpstreamState.GONE
            return Transition(upstream, events.UPSTREAM_GONE, cause)
        if health.state is UpstreamState.SUSPECT:
            health.refused = health.refused or refused
            _back_off_trial(health, now)
            return None
        is_failing = refused or health.failures >= FAILURES_MAX
        if health.state is not UpstreamState.LIVE or not is_failing:
            return None
        health.state = UpstreamState.SUSPECT
        health.refused = refused
        health.trial_at = now + health.trial_backoff_s
        return Transition(upstream, events.UPSTREAM_SUSPECT, cause)

    def record_leaving(
        self,
        notice: LeavingNotice,
        now: float,
    ) -> Transition | None:
        """Record that an upstream is leaving; None if that changes nothing."""
        health = self.get(notice.upstream)
        if health.state in {UpstreamState.LEAVING, UpstreamState.GONE}:
            return None
        if _is_stale(notice, health):
            return None
        health.state = UpstreamState.LEAVING
        health.leaving_since = now
        return Transition(
            notice.upstream,
            events.UPSTREAM_LEAVING,
            notice.source,
        )

    def record_process(
        self,
        upstream: str,
        process: str,
        now: float,
    ) -> Transition | None:
        """Record the process named in a health answer that is not leaving.

        An empty name indicates a restart only if the upstream was gone.
        """
        health = self.get(upstream)
        previous = health.process
        health.process = process or previous
        is_restarted = bool(process and previous) and process != previous
        if is_restarted or health.state is UpstreamState.GONE:
            return self._restart(upstream, 'new process', now)
        return None

    def record_list(
        self,
        live: Iterable[str],
        leaving: Iterable[str],
        now: float,
    ) -> list[Transition]:
        """Record the states in the platform's list, which may be stale."""
        for upstream in live:
            self.get(upstream).list_is_stale = False
        changes = [
            self.record_leaving(LeavingNotice(name, NoticeSource.LIST), now)
            for name in leaving
        ]
        return [change for change in changes if change]

    def _restart(self, upstream: str, cause: str, now: float) -> Transition:
        health = self.get(upstream)
        _make_live(health)
        health.restarted_at = now
        # The list may show the new process as leaving until it catches up.
        health.list_is_stale = True
        return Transition(upstream, events.UPSTREAM_RESTARTED, cause)


def _make_live(health: UpstreamHealth) -> None:
    health.state = UpstreamState.LIVE
    health.failures = 0
    health.refused = False
    health.trial_backoff_s = TRIAL_BACKOFF_MIN_S
    health.leaving_since = math.inf


def _back_off_trial(health: UpstreamHealth, now: float) -> None:
    health.trial_backoff_s = min(
        TRIAL_BACKOFF_MAX_S,
        health.trial_backoff_s * 2,
    )
    health.trial_at = now + health.trial_backoff_s


def _is_stale(notice: LeavingNotice, health: UpstreamHealth) -> bool:
    """Return whether the notice is about a process that has been replaced."""
    if notice.source is NoticeSource.LIST:
        return health.list_is_stale
    return bool(notice.process and health.process) and (
        notice.process != health.process
    )
