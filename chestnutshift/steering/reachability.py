"""Whether this VM reaches upstreams at all, by its attempts and checks.

A VM may lose its links to all upstreams while callers, peers and the store
still reach it. A single upstream that fails is another matter: it may have
ended. A VM is in doubt once several upstreams in a row have given no answer
and none has answered since. It is cut off if enough have failed while peers
get answers; if nobody gets any for long, requests are refused all the same.
One answer ends doubt and cut.
"""

import enum
import math
from collections.abc import Collection, Iterable

import attrs

from chestnutshift.steering.upstreams import Upstream

# Upstreams that must have given no answer for a doubt, and for a cut; fewer
# if fewer are listed.
DOUBT_UPSTREAMS = 2
CUT_UPSTREAMS = 3
# An attempt without an answer for this long, and for this multiple of the
# expected time, counts as one that gives none.
SILENCE_S = 0.6
SILENCE_RATIO = 1.5
# How much later than the failures the answer to a peer must be, as its report
# takes a while to arrive.
PEER_ANSWER_LATER_S = 0.1
# If no peer gets answers either, the upstreams may have ended, and may be back
# soon. From so long after the failures on, the VM counts as cut off.
ALONE_S = 2.0


class Reach(enum.StrEnum):
    """What is known of the links to all upstreams together."""

    CONNECTED = 'connected'
    IN_DOUBT = 'in_doubt'
    CUT_OFF = 'cut_off'


@attrs.frozen(eq=False)
class OpenAttempt:
    """An attempt whose answer has not begun; times are boot time."""

    upstream: Upstream
    started_at: float
    expected_s: float

    def is_silent(self, now: float) -> bool:
        """Return whether an answer should have begun by now."""
        waited_s = now - self.started_at
        return waited_s >= max(SILENCE_S, SILENCE_RATIO * self.expected_s)


@attrs.define
class UpstreamReach:
    """Evidence of whether upstreams answer this VM; times are boot time."""

    _is_cut_off: bool = False
    # When an upstream last answered, or all evidence was dropped.
    _answered_at: float = -math.inf
    # When upstreams first failed since then, in order.
    _failed: dict[Upstream, float] = attrs.field(factory=dict)
    _open_attempts: set[OpenAttempt] = attrs.field(factory=set)

    @property
    def answered_at(self) -> float:
        """When an upstream last answered this VM."""
        return self._answered_at

    @property
    def is_cut_off(self) -> bool:
        """Whether it is confirmed that no upstream answers."""
        return self._is_cut_off

    def begin_attempt(
        self, upstream: Upstream, expected_s: float, now: float
    ) -> OpenAttempt:
        """Record that an attempt begins; the caller ends it."""
        open_attempt = OpenAttempt(upstream, now, expected_s)
        self._open_attempts.add(open_attempt)
        return open_attempt

    def end_attempt(self, open_attempt: OpenAttempt) -> None:
        """Record that an attempt ended, or that its answer begins."""
        self._open_attempts.discard(open_attempt)

    def record_answer(self, now: float) -> Collection[Upstream]:
        """Record that any upstream answered.

        Returns the upstreams that had failed while the VM was cut off: their
        failures were those of its own links.
        """
        self._answered_at = now
        failed = tuple(self._failed) if self._is_cut_off else ()
        self._is_cut_off = False
        self._failed.clear()
        return failed

    def record_failure(
        self, upstream: Upstream, started_at: float, now: float
    ) -> None:
        """Record an attempt or check, begun at started_at, without an answer.

        One that began before the last answer shows nothing.
        """
        if started_at >= self._answered_at:
            self._failed.setdefault(upstream, now)

    def confirm(
        self,
        listed: Iterable[Upstream],
        peers_answered_at: float,
        now: float,
    ) -> bool:
        """Conclude that the VM is cut off if so; return whether that is new.

        It is so if enough of the listed upstreams failed, some of each
        service, and in more than one failure domain if they are in more than
        one; and if peers got answers after that, or nobody for long. That an
        attempt is silent so far proves nothing.
        """
        if self._is_cut_off:
            return False
        known = set(listed)
        failed = [upstream for upstream in self._failed if upstream in known]
        needed = min(CUT_UPSTREAMS, max(DOUBT_UPSTREAMS, len(known)))
        if len(failed) < needed or not _are_everywhere(failed, known):
            return False
        failed_at = self._failed[failed[needed - 1]]
        is_alone = peers_answered_at < failed_at + PEER_ANSWER_LATER_S
        if is_alone and now < failed_at + ALONE_S:
            return False
        self._is_cut_off = True
        return True

    def reach(self, now: float) -> Reach:
        """Return what is known now."""
        if self._is_cut_off:
            return Reach.CUT_OFF
        if len(self.unanswered(now)) >= DOUBT_UPSTREAMS:
            return Reach.IN_DOUBT
        return Reach.CONNECTED

    def unanswered(self, now: float) -> Collection[Upstream]:
        """Return the upstreams that gave no answer since the last one."""
        return self._failed.keys() | self._silent(now)

    def _silent(self, now: float) -> set[Upstream]:
        return {
            open_attempt.upstream
            for open_attempt in self._open_attempts
            if open_attempt.started_at >= self._answered_at
            and open_attempt.is_silent(now)
        }


def _are_everywhere(
    failed: Collection[Upstream], known: Collection[Upstream]
) -> bool:
    """Return whether they are of all services and of more than one domain."""
    if _services(failed) != _services(known):
        return False
    return len(_domains(failed)) >= min(2, len(_domains(known)))


def _services(upstreams: Iterable[Upstream]) -> set[str]:
    return {upstream.registration.service for upstream in upstreams}


def _domains(upstreams: Iterable[Upstream]) -> set[str]:
    return {upstream.registration.failure_domain for upstream in upstreams}
