"""Heartbeats that a VM sends to its peers."""

import attrs
import trio
from trio.testing import trio_test

from chestnutshift.clocks import boot_time
from chestnutshift.edge.peers import PeerMessenger
from chestnutshift.edge.settings import Bounds
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from tests.edge.world import make_settings
from tests.fleet.factories import make_member

RUN_S = 0.1


@trio_test
async def test_heartbeat_before_the_first_route_table() -> None:
    """A VM starts in a deployment without a bound on key withdrawals.

    Keys are then always trusted, also before any proof: the heartbeat must
    not encode the infinite age of a proof that is missing.
    """
    bounds = attrs.evolve(Bounds(), bounds_withdrawals=False)
    settings = attrs.evolve(make_settings(store_port=1), bounds=bounds)
    state = EdgeState(settings, 1, EventLog('vm-1'))
    state.fleet.add_member(make_member('vm-2'), boot_time())
    messenger = PeerMessenger(state)
    with trio.move_on_after(RUN_S) as scope:
        await messenger.run()
    assert scope.cancelled_caught
