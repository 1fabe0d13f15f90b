"""Long-poll the tables of the store."""

import random
from collections.abc import Callable

import attrs
import trio

from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.exceptions import EarlierEraError, LostHistoryError
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.store_tables import Source, View
from chestnutshift.exceptions import CodedError
from chestnutshift.fleet.store_polling import PollPace, StorePosition

RETRY_S = 0.2
RETRY_MAX_S = 0.5


@attrs.define
class TablePoller:
    """Reads a table, then long-polls for its changes.

    pace returns how long a poll waits for changes, and the pause after a
    change.
    """

    _state: EdgeState
    _source: Source
    _name: str
    _pace: Callable[[], PollPace]
    _apply: Callable[[View, float], None]
    _rng: random.Random = attrs.field(factory=random.Random)
    _failures: int = 0
    _position: StorePosition | None = None
    _open_poll: trio.CancelScope | None = None
    _skips_wait: bool = False

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            try:
                await self._step()
            except LostHistoryError as error:
                self._state.event_log.emit(
                    events.HISTORY_LOST,
                    source=self._name,
                    detail=error.detail,
                )
                self._position = None
            except CodedError as error:
                await self._back_off(error)

    def poll_now(self, now: float) -> None:
        """Cancel the open long poll and poll again without waiting."""
        if self._open_poll is None or self._skips_wait:
            return
        self._skips_wait = True
        self._open_poll.cancel()
        self._count('hurried')
        self._state.event_log.emit(
            events.POLL_RESTARTED,
            source=self._name,
            proof_age_s=self._state.freshness.known_age_s(now),
        )

    def poll_if_outdated(self, now: float) -> None:
        """Poll again at once if the store is in a later era by now."""
        position = self._position
        if position is not None and position.era < self._state.store_era:
            self.poll_now(now)

    async def _step(self) -> None:
        position = self._position
        view = await self._poll(position)
        if view is None:
            return
        if not view.era:
            view = attrs.evolve(view, era=self._state.store_era)
        self._check_era(view)
        now = boot_time()
        self._count('answered')
        self._log_recovery()
        self._state.record_store_answer(now, now)
        self._apply(view, now)
        self._position = max(view.position, position or StorePosition())
        if position is not None and view.changes:
            await trio.sleep(self._pace().settle_s)

    async def _poll(self, position: StorePosition | None) -> View | None:
        """Return the answer, or None if the poll was cancelled."""
        if position is None or position.era < self._state.store_era:
            return await self._source.read()
        version = position.version
        wait_s = 0 if self._skips_wait else self._pace().wait_s
        if not wait_s:
            self._skips_wait = False
            return await self._source.follow(version, wait_s)
        with trio.CancelScope() as poll_scope:
            self._open_poll = poll_scope
            try:
                return await self._source.follow(version, wait_s)
            finally:
                self._open_poll = None
        return None

    def _check_era(self, view: View) -> None:
        """Raise an error unless the view follows in the current era.

        In a later era versions were given out again, so that changes after a
        version known before are not all that is new: LostHistoryError.
        """
        before = self._state.store_era
        if self._state.record_era(view.era):
            self._state.event_log.emit(
                events.STORE_RETURNED,
                source=self._name,
                era=view.era,
                before=before,
                version=view.version,
                known_version=self._position.version if self._position else 0,
            )
        if view.era < self._state.store_era:
            raise EarlierEraError(f'an answer of era {view.era}')
        if not view.is_whole and view.era > self._position.era:
            raise LostHistoryError(f'the store is in era {view.era}')

    def _log_recovery(self) -> None:
        if self._failures:
            self._state.event_log.emit(
                events.STORE_REGAINED,
                source=self._name,
                failures=self._failures,
            )
        self._failures = 0

    def _count(self, outcome: str) -> None:
        self._state.metrics.store.calls.labels(self._name, outcome).inc()

    async def _back_off(self, error: CodedError) -> None:
        self._count(error.code)
        if not self._failures:
            self._state.event_log.emit(
                events.STORE_LOST,
                source=self._name,
                code=error.code,
                detail=error.detail,
            )
        self._failures += 1
        pause_s = min(RETRY_MAX_S, RETRY_S * self._failures)
        await trio.sleep(pause_s * self._rng.uniform(0.5, 1))
