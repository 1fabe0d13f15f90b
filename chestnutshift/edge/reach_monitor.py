"""Follow whether this VM reaches upstreams, and act on changes."""

import math
from collections.abc import Iterator
from contextlib import contextmanager

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.dialect import AnswerFacts
from chestnutshift.edge.state import EdgeState
from chestnutshift.fleet.view import peers_answered_at
from chestnutshift.steering.reachability import OpenAttempt, Reach
from chestnutshift.steering.upstreams import Condition, Upstream

# How long a request waits for checks to explain silence: until those have ended
# that begin with it, which record an answer or failures.
EXPLAINED_S = 0.9


@attrs.frozen(eq=False)
class WatchedAttempt:
    """An attempt, and the scope that cancels it once the VM is cut off."""

    open_attempt: OpenAttempt
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)


@attrs.define
class ReachMonitor:
    """Records evidence of the links to upstreams, and logs what it shows."""

    _state: EdgeState
    _watched: set[WatchedAttempt] = attrs.field(factory=set)
    _cut_off_at: float = 0
    # Tasks that wait for an answer or a failure.
    _waiting: trio.lowlevel.ParkingLot = attrs.field(
        factory=trio.lowlevel.ParkingLot
    )

    @contextmanager
    def watching(
        self, upstream: Upstream, expected_s: float, now: float
    ) -> Iterator[WatchedAttempt]:
        """Watch an attempt, until its answer begins or it ends."""
        open_attempt = self._state.directory.reach.begin_attempt(
            upstream, expected_s, now
        )
        watched = WatchedAttempt(open_attempt)
        self._watched.add(watched)
        try:
            yield watched
        finally:
            self._end(watched, boot_time())

    def record_head(self, watched: WatchedAttempt, now: float) -> None:
        """Record that the answer to an attempt begins."""
        self._end(watched, now)
        self.record_answer(now)

    def record_answer(self, now: float) -> None:
        """Record that an upstream answered; end what a cut brought about."""
        reach = self._state.directory.reach
        was_cut_off = reach.is_cut_off
        for upstream in reach.record_answer(now):
            if upstream.condition is Condition.UNPROVEN:
                upstream.condition = Condition.READY
        self._waiting.unpark_all()
        if was_cut_off:
            self._state.event_log.emit(
                events.REACHED_AGAIN,
                after_s=round(now - self._cut_off_at, 3),
            )
            self._state.metrics.crossings.cut_off.set(0)

    def record_failure(
        self, upstream: Upstream, started_at: float, now: float
    ) -> None:
        """Record that an attempt or check, begun then, got no answer."""
        reach = self._state.directory.reach
        reach.record_failure(upstream, started_at, now)
        self._waiting.unpark_all()

    def record_check(
        self,
        upstream: Upstream,
        started_at: float,
        now: float,
        facts: AnswerFacts | None,
    ) -> None:
        """Record a health check; facts is None if it got no answer."""
        if facts is None:
            self.record_failure(upstream, started_at, now)
        else:
            self.record_answer(now)

    async def wait_while_silent(self) -> None:
        """Wait while silence alone raises a doubt, for EXPLAINED_S at most."""
        reach = self._state.directory.reach
        with trio.move_on_after(EXPLAINED_S) as scope:
            while reach.is_silence_only(boot_time()):
                await self._waiting.park()
        if scope.cancelled_caught:
            # If this VM is late, answers that have arrived are read first.
            await trio.lowlevel.checkpoint()

    def review(self, now: float) -> Reach:
        """Return what is known; on a new cut, cancel the silent attempts."""
        reach = self._state.directory.reach
        if reach.reach(now) is Reach.IN_DOUBT:
            self._conclude(now)
        return reach.reach(now)

    def _conclude(self, now: float) -> None:
        state = self._state
        reach = state.directory.reach
        heard_at = peers_answered_at(state.fleet, now)
        if not reach.confirm(state.directory, heard_at, now):
            return
        self._cut_off_at = now
        heard_s = round(now - heard_at, 3) if math.isfinite(heard_at) else None
        state.event_log.emit(
            events.CUT_OFF,
            unanswered=len(reach.unanswered(now)),
            listed=len(list(state.directory)),
            peers_answered_s=heard_s,
        )
        state.metrics.crossings.cut_off.set(1)
        for watched in self._watched:
            watched.scope.cancel()

    def _end(self, watched: WatchedAttempt, now: float) -> None:
        self._watched.discard(watched)
        self._state.directory.reach.end_attempt(watched.open_attempt, now)
