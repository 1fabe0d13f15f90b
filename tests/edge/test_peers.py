"""Heartbeats that a VM sends to its peers."""

from collections import Counter

import attrs
import trio
from trio.testing import trio_test

from chestnutshift.clocks import boot_time
from chestnutshift.edge.peers import PeerMessenger
from chestnutshift.edge.settings import Bounds, Endpoint
from chestnutshift.edge.state import EdgeState
from chestnutshift.events.log import EventLog
from chestnutshift.fleet.heartbeats import (
    Heartbeat,
    MemberPhase,
    hash_upstream,
)
from chestnutshift.platform.route_tables import decode_route_table
from chestnutshift.steering.upstreams import Registration
from tests.edge.factories import make_state
from tests.edge.world import make_settings
from tests.fleet.factories import make_member
from tests.platform.samples import route_table

RUN_S = 0.1
FLEET_VMS = 80
BUSY_VMS = 10


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


@attrs.define
class PortStandIn:
    """Counts the datagrams to each address."""

    counts: Counter[str] = attrs.field(factory=Counter)

    def send(self, datagram: bytes, address: tuple[str, int]) -> None:
        """Count one datagram."""
        self.counts[address[0]] += len(datagram) > 0


# Rows of another writer filled the heartbeats of every VM.
def test_cold_upstreams_without_routes() -> None:
    """They are told to nobody, those of other services are."""
    state = make_state()
    state.adopt(decode_route_table(route_table()))
    for upstream, service in (('i-1', 's1'), ('agent-7', 'backup-agent')):
        listed = Registration(
            upstream, 1, service, '127.0.0.1', 80, 'a1', 1, cold_for_s=3
        )
        state.directory.register(listed, now=100)
    heartbeat = PeerMessenger(state).next_heartbeat(now=101)
    assert heartbeat.cold_for_s.keys() == {hash_upstream('i-1')}


@trio_test
async def test_busy_vms_hear_more_often() -> None:
    """In a large fleet, VMs that serve callers exchange load in between."""
    state = EdgeState(make_settings(store_port=1), 1, EventLog('vm-1'))
    now = boot_time()
    for number in range(2, FLEET_VMS):
        endpoint = Endpoint(f'127.0.0.{number}', 1)
        member = attrs.evolve(make_member(f'vm-{number}'), endpoint=endpoint)
        state.fleet.add_member(member, now)
        in_flight = {1: 1} if number <= BUSY_VMS else {}
        heartbeat = Heartbeat(
            member.vm, 1, 1, now, MemberPhase.SERVING, 1, in_flight=in_flight
        )
        state.fleet.record_heartbeat(heartbeat, now)
    port = PortStandIn()
    messenger = PeerMessenger(state, port=port)
    for _ in range(3):
        await messenger.send_heartbeats()
    sent = Counter(port.counts.values())
    assert sent == {3: BUSY_VMS - 1, 1: FLEET_VMS - 1 - BUSY_VMS}
