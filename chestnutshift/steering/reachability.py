"""Whether this VM reaches upstreams at all, by its attempts and checks.

A VM may lose its links to all upstreams while callers, peers and the store
still reach it. A single upstream that fails is another matter: it may have
ended. A VM is in doubt once several upstreams in a row have given no answer
and none has answered since. Several silent attempts, be they at one upstream,
are only a reason to check others. A VM is cut off if enough have failed while
peers get answers; if nobody gets any for long, requests are refused all the
same. One answer ends doubt and cut.
"""

import enum
import math
from collections import Counter
from collections.abc import Collection, Iterable

import attrs

from chestnutshift.steering.upstreams import Upstream

# Upstreams that must have given no answer for a doubt, and for a cut; fewer
# if fewer are listed.
DOUBT_UPSTREAMS = 2
CUT_UPSTREAMS = 3
# Silent attempts, at whichever upstreams, after which others are checked.
CHECK_ATTEMPTS = 2
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
    # Attempts that ended silent since then, by upstream.
    _ended_silent: Counter[Upstream] = attrs.field(factory=Counter)

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

    def end_attempt(self, open_attempt: OpenAttempt, now: float) -> None:
        """Record that an attempt ended, or that its answer begins.

        One that was silent shows as much after its deadline as before, until
        an upstream answers.
        """
        if open_attempt not in self._open_attempts:
            return
        self._open_attempts.discard(open_attempt)
        if self._shows_silence(open_attempt, now):
            self._ended_silent[open_attempt.upstream] += 1

    def record_answer(self, now: float) -> Collection[Upstream]:
        """Record that any upstream answered.

        Returns the upstreams that had failed while the VM was cut off: their
        failures were those of its own links.
        """
        self._answered_at = now
        failed = tuple(self._failed) if self._is_cut_off else ()
        self._is_cut_off = False
        self._failed.clear()
        self._ended_silent.clear()
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

    def is_silence_only(self, now: float) -> bool:
        """Return whether silence alone raises a doubt, which proves nothing.

        Checks of other upstreams will tell whether the service is slow.
        """
        if len(self._failed) >= DOUBT_UPSTREAMS:
            return False
        return self.reach(now) is Reach.IN_DOUBT

    def needs_check(self, now: float) -> bool:
        """Return whether other upstreams should show if any answers."""
        if self.reach(now) is not Reach.CONNECTED:
            return True
        silent = len(self._silent(now)) + self._ended_silent.total()
        return silent >= CHECK_ATTEMPTS

    def unanswered(self, now: float) -> Collection[Upstream]:
        """Return the upstreams that gave no answer since the last one."""
        silent = {open_attempt.upstream for open_attempt in self._silent(now)}
        return self._failed.keys() | self._ended_silent.keys() | silent

    def _silent(self, now: float) -> list[OpenAttempt]:
        return [
            open_attempt
            for open_attempt in self._open_attempts
            if self._shows_silence(open_attempt, now)
        ]

    def _shows_silence(self, open_attempt: OpenAttempt, now: float) -> bool:
        is_new = open_attempt.started_at >= self._answered_at
        return is_new and open_attempt.is_silent(now)


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
