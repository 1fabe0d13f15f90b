"""Factories of the state of an edge VM."""

from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from tests.edge.world import make_settings


class SilentLog(EventLog):
    """An event log for tests that would fill the output."""

    def emit(self, *_args: object, **_facts: object) -> None:
        """Drop the event."""


def make_state(event_log: EventLog | None = None) -> EdgeState:
    """Return the state of a VM that has read no table yet."""
    log = EventLog('vm-1') if event_log is None else event_log
    return EdgeState(make_settings(store_port=1), 1, log)
