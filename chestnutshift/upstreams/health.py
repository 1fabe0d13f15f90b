"""Whether each upstream is live, suspect, leaving or gone.

What the VM observes on requests goes first. News that an upstream leaves
holds until it is seen as a new process, because lists and health endpoints
lag and may go on calling it live.
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
TRIAL_FIRST_S = 0.5
TRIAL_LAST_S = 30.0
LEAVING_GRACE_S = 2.0


class NewsSource(enum.StrEnum):
    """How a VM learned that an upstream leaves."""

    HEALTH = 'health'
    ANSWER = 'answer'
    LIST = 'list'
    PEER = 'peer'


@attrs.frozen
class LeavingNews:
    """The news that a process of an upstream leaves; '' is any process."""

    upstream: str
    source: NewsSource
    process: str = ''


@attrs.frozen
class Transition:
    """A change of an upstream's state, with the event that tells of it."""

    upstream: str
    event: EventKind
    cause: str


@attrs.define
class UpstreamHealth:
    """What is known of one upstream."""

    state: UpstreamState = UpstreamState.LIVE
    process: str = ''
    failures: int = 0
    trial_wait_s: float = TRIAL_FIRST_S
    trial_at: float = -math.inf
    refused: bool = False
    leaving_since: float = math.inf
    restarted_at: float = -math.inf
    list_is_old: bool = False


class HealthTable:
    """The state of every upstream that this VM knows."""

    def __init__(self) -> None:
        """Start with no upstream; one is live until the VM learns more."""
        self._upstreams: dict[str, UpstreamHealth] = {}

    def get(self, upstream: str) -> UpstreamHealth:
        """Return what is known of an upstream."""
        return self._upstreams.setdefault(upstream, UpstreamHealth())

    def fill(self, candidates: Iterable[Candidate]) -> None:
        """Write the states into the candidates."""
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

    def record_sent(self, upstream: str, now: float) -> None:
        """Check a request that is being sent; may raise in tests."""
        since = self.get(upstream).leaving_since
        verify(
            LEAVING_UPSTREAM,
            holds=now - since <= LEAVING_GRACE_S,
            detail=f'{upstream} leaves since {now - since:.3f} s',
        )

    def record_success(self, upstream: str, now: float) -> Transition | None:
        """Take a whole answer to a request."""
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
        """Take a failed request; refused means no connection was accepted."""
        health = self.get(upstream)
        health.failures += 1
        if health.state is UpstreamState.LEAVING and refused:
            health.state = UpstreamState.GONE
            return Transition(upstream, events.UPSTREAM_GONE, cause)
        if health.state is UpstreamState.SUSPECT:
            health.refused = health.refused or refused
            _delay_trial(health, now)
            return None
        enough = refused or health.failures >= FAILURES_MAX
        if health.state is not UpstreamState.LIVE or not enough:
            return None
        health.state = UpstreamState.SUSPECT
        health.refused = refused
        health.trial_at = now + health.trial_wait_s
        return Transition(upstream, events.UPSTREAM_SUSPECT, cause)

    def record_leaving(
        self,
        news: LeavingNews,
        now: float,
    ) -> Transition | None:
        """Take the news that an upstream leaves; None if it changes nothing."""
        health = self.get(news.upstream)
        if health.state in {UpstreamState.LEAVING, UpstreamState.GONE}:
            return None
        if _is_outdated(news, health):
            return None
        health.state = UpstreamState.LEAVING
        health.leaving_since = now
        return Transition(news.upstream, events.UPSTREAM_LEAVING, news.source)

    def record_process(
        self,
        upstream: str,
        process: str,
        now: float,
    ) -> Transition | None:
        """Take the process named by a health answer that is not leaving.

        An empty name tells of a restart only once the upstream was gone.
        """
        health = self.get(upstream)
        before = health.process
        health.process = process or before
        renewed = bool(process and before) and process != before
        if renewed or health.state is UpstreamState.GONE:
            return self._restart(upstream, 'new process', now)
        return None

    def record_list(
        self,
        live: Iterable[str],
        leaving: Iterable[str],
        now: float,
    ) -> list[Transition]:
        """Take the platform's list, which lags."""
        for upstream in live:
            self.get(upstream).list_is_old = False
        changes = [
            self.record_leaving(LeavingNews(name, NewsSource.LIST), now)
            for name in leaving
        ]
        return [change for change in changes if change]

    def _restart(self, upstream: str, cause: str, now: float) -> Transition:
        health = self.get(upstream)
        _make_live(health)
        health.restarted_at = now
        # The list may call the new process leaving until it has caught up.
        health.list_is_old = True
        return Transition(upstream, events.UPSTREAM_RESTARTED, cause)


def _make_live(health: UpstreamHealth) -> None:
    health.state = UpstreamState.LIVE
    health.failures = 0
    health.refused = False
    health.trial_wait_s = TRIAL_FIRST_S
    health.leaving_since = math.inf


def _delay_trial(health: UpstreamHealth, now: float) -> None:
    health.trial_wait_s = min(TRIAL_LAST_S, health.trial_wait_s * 2)
    health.trial_at = now + health.trial_wait_s


def _is_outdated(news: LeavingNews, health: UpstreamHealth) -> bool:
    """Tell whether the news is about a process that has been replaced."""
    if news.source is NewsSource.LIST:
        return health.list_is_old
    return bool(news.process and health.process) and (
        news.process != health.process
    )
