"""Events and metrics of drains as they start, finish and end."""

import attrs

from chestnutshift.metrics.names import DRAIN_TIME
from chestnutshift.operators.drains import count_in_flight
from chestnutshift.regions import events
from chestnutshift.vms.state import VmState


@attrs.define
class DrainReporter:
    """Reports each change of a drain once, to the log and the metrics."""

    _started: frozenset[str] = frozenset()
    _finished: frozenset[str] = frozenset()

    def report_changes(self, state: VmState, now: float) -> None:
        """Report the changes since the previous call."""
        tracker = state.steering.drain_tracker
        targets = tracker.targets
        for target in sorted(targets - self._started):
            state.event_log.emit(events.DRAIN_STARTED, target=target)
        for target in sorted(self._started - targets):
            state.event_log.emit(events.DRAIN_ENDED, target=target)
        self._started = targets
        self._finished &= targets
        if not targets:
            return
        for progress in tracker.progress(count_in_flight(state), now):
            if progress.drain_s is None or progress.target in self._finished:
                continue
            self._finished |= {progress.target}
            state.event_log.emit(
                events.DRAIN_FINISHED,
                target=progress.target,
                drain_s=progress.drain_s,
            )
            state.measures.time(DRAIN_TIME, progress.drain_s)
