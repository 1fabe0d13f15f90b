"""Factories of the state of an edge VM."""

from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from tests.edge.world import make_settings


def make_state() -> EdgeState:
    """Return the state of a VM that has read no table yet."""
    return EdgeState(make_settings(store_port=1), 1, EventLog('vm-1'))
