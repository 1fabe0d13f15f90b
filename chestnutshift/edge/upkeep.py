"""Periodic upkeep of an edge VM: polls, expiry, pools, phase and readiness."""

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.attempts import UpstreamPool
from chestnutshift.edge.containment import Job
from chestnutshift.edge.crash_guard import CrashGuard
from chestnutshift.edge.memory_watch import MemoryWatch
from chestnutshift.edge.passing_on import PeerPool
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.store_polling import StorePoller
from chestnutshift.fleet.heartbeats import MemberPhase

UPKEEP_PERIOD_S = 0.25
# A newer route table normally reaches all VMs within less.
TABLE_BEHIND_LOGGED_S = 1.0


@attrs.define
class Upkeep:
    """Does the jobs that fall due by time; none keeps another from its turn."""

    _state: EdgeState
    _store_poller: StorePoller
    _crash_guard: CrashGuard
    _pool: UpstreamPool
    _peer_pool: PeerPool
    _was_ready: bool = False
    # The newest route table that was logged as not known here.
    _behind_logged: int = 0
    _memory_watch: MemoryWatch = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the watch on the size of the process."""
        self._memory_watch = MemoryWatch(self._state)

    async def run(self) -> None:
        """Do all jobs once a period, until cancelled."""
        work = {
            'upkeep_polls': self._poll,
            'upkeep_expiry': self._expire,
            'upkeep_crashes': self._review_crashes,
            'upkeep_pools': self._close_pools,
            'upkeep_memory': self._watch_memory,
            'upkeep_table': self._log_table_behind,
            'upkeep_phase': self._update_phase,
        }
        jobs = [Job(self._state, name, job) for name, job in work.items()]
        while True:
            now = boot_time()
            for job in jobs:
                await job.run(now)
            await trio.sleep(UPKEEP_PERIOD_S)

    async def _poll(self, now: float) -> None:
        self._store_poller.poll_if_due(now)

    async def _expire(self, now: float) -> None:
        for name in self._state.directory.expire(now):
            self._state.event_log.emit(events.UPSTREAM_GONE, upstream=name)

    async def _review_crashes(self, now: float) -> None:
        self._crash_guard.review(now)

    async def _close_pools(self, _now: float) -> None:
        state = self._state
        await self._pool.close_unlisted(set(state.directory))
        await self._peer_pool.close_unlisted(
            [peer.member for peer in state.fleet]
        )

    async def _watch_memory(self, now: float) -> None:
        self._memory_watch.check(now)

    async def _log_table_behind(self, now: float) -> None:
        state = self._state
        newest = state.trust.peer_tables.newest
        behind_s = state.trust.behind_s(now)
        if newest == self._behind_logged or behind_s < TABLE_BEHIND_LOGGED_S:
            return
        self._behind_logged = newest
        state.event_log.emit(
            events.TABLE_BEHIND,
            version=state.table_version,
            newest=newest,
            behind_s=round(behind_s, 3),
            proof_age_s=state.freshness.known_age_s(now),
        )

    async def _update_phase(self, now: float) -> None:
        state = self._state
        if state.phase is MemberPhase.STARTING and state.table:
            state.phase = MemberPhase.SERVING
        is_ready = state.is_ready(now)
        if is_ready is not self._was_ready:
            self._log_readiness(now, is_ready=is_ready)
        self._was_ready = is_ready

    def _log_readiness(self, now: float, *, is_ready: bool) -> None:
        self._state.event_log.emit(
            events.READINESS_CHANGED,
            is_ready=is_ready,
            phase=self._state.phase.value,
            proof_age_s=self._state.freshness.known_age_s(now),
        )
