"""Check whether this VM reaches upstreams, while that is in doubt."""

import math
import random

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge.check_sender import CheckSender
from chestnutshift.edge.containment import contained
from chestnutshift.edge.reach_monitor import ReachMonitor
from chestnutshift.edge.state import EdgeState
from chestnutshift.steering.upstreams import Condition, Upstream
from chestnutshift.upstreams.connection import UpstreamError
from chestnutshift.upstreams.connections import ConnectionsExhaustedError

TICK_S = 0.05
# Upstreams that are checked at a time, and the pause between such rounds.
ROUND_SIZE = 4
ROUND_PAUSE_S = 0.3
# Timeout of each of the two exchanges of a check.
EXCHANGE_TIMEOUT_S = 0.4
_USABLE = frozenset((Condition.READY, Condition.UNPROVEN))


@attrs.define
class ReachChecker:
    """Checks a few upstreams at a time until one answers.

    An idle connection is tried first, and then a new one: either kind may
    fail alone.
    """

    _state: EdgeState
    _monitor: ReachMonitor
    _sender: CheckSender
    _rng: random.Random = attrs.field(factory=random.Random)

    async def run(self) -> None:
        """Check whenever attempts show a need, until cancelled."""
        while True:
            await trio.sleep(TICK_S)
            now = boot_time()
            self._monitor.review(now)
            if self._state.directory.reach.needs_check(now):
                await self._run_round()
                await trio.sleep(ROUND_PAUSE_S)

    async def _run_round(self) -> None:
        async with trio.open_nursery() as nursery:
            for upstream in self._choose(boot_time()):
                nursery.start_soon(
                    self._run_check, upstream, nursery.cancel_scope
                )

    def _choose(self, now: float) -> list[Upstream]:
        """Return the upstreams to check, of as many services as possible.

        Those that have not failed come first: they can tell the most.
        """
        unanswered = self._state.directory.reach.unanswered(now)
        listed = [
            upstream
            for upstream in self._state.directory
            if upstream.condition in _USABLE and not upstream.is_paused(now)
        ]
        self._rng.shuffle(listed)
        listed.sort(key=lambda upstream: upstream in unanswered)
        first_of_service = {
            upstream.registration.service: upstream
            for upstream in reversed(listed)
        }
        chosen = list(first_of_service.values())
        chosen += [upstream for upstream in listed if upstream not in chosen]
        return chosen[:ROUND_SIZE]

    async def _run_check(
        self, upstream: Upstream, round_scope: trio.CancelScope
    ) -> None:
        with contained(self._state, 'check', upstream=upstream.name):
            await self._check(upstream, round_scope)

    async def _check(
        self, upstream: Upstream, round_scope: trio.CancelScope
    ) -> None:
        started_at = boot_time()
        try:
            is_answered = await self._is_answered(
                upstream, math.inf
            ) or await self._is_answered(upstream, 0)
        except ConnectionsExhaustedError:
            # That tells nothing of the upstream.
            return
        if is_answered:
            self._monitor.record_answer(boot_time())
            round_scope.cancel()
            return
        now = boot_time()
        self._monitor.record_failure(upstream, started_at, now)
        self._monitor.review(now)

    async def _is_answered(self, upstream: Upstream, idle_s: float) -> bool:
        with trio.move_on_after(EXCHANGE_TIMEOUT_S):
            try:
                await self._sender.send(upstream, idle_s)
            except ConnectionsExhaustedError:
                raise
            except UpstreamError:
                # Failing is what the check is for; it is recorded.
                return False
            return True
        return False
