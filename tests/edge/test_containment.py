"""A fault in one datagram, row or check ends there, and is heard of."""

from collections.abc import Iterator
from contextlib import contextmanager, suppress
from unittest.mock import Mock, patch

import attrs
import httpx
import trio
from trio.testing import trio_test

from chestnutshift.callers import refusals
from chestnutshift.clocks import boot_time
from chestnutshift.edge import events
from chestnutshift.edge.check_sender import CheckSender
from chestnutshift.edge.peers import PeerMessenger
from chestnutshift.edge.state import EdgeState
from chestnutshift.edge.state_updater import StateUpdater
from chestnutshift.events.log import EventFilter
from chestnutshift.fleet.datagrams import encode
from chestnutshift.fleet.heartbeats import Heartbeat, MemberPhase
from chestnutshift.platform.sources import TableSource
from chestnutshift.platform.store import StoredRow, StoreView
from chestnutshift.platform.upstream_rows import decode_registration
from chestnutshift.steering.upstreams import Condition
from tests.edge.factories import make_state
from tests.edge.world import ADDRESS, World, running_edge, until
from tests.fleet.factories import make_member
from tests.platform.samples import registration

ENCODE = 'chestnutshift.edge.peers.encode'


def _fault_count(state: EdgeState, work: str) -> int:
    """Return how many faults of this kind of work were logged and counted."""
    logged = state.event_log.select(EventFilter(number=events.FAULT.number))
    logged = [event for event in logged if event.facts['work'] == work]
    counted = state.metrics.registry.get_sample_value(
        'chestnutshift_faults_total', {'work': work}
    )
    assert all('Trace' in event.facts['trace'] for event in logged)
    assert len(logged) == (counted or 0)
    return len(logged)


@contextmanager
def _failing(target: object, name: str) -> Iterator[None]:
    """Replace a method by one that has a fault."""
    with patch.object(target, name, side_effect=ZeroDivisionError('a fault')):
        yield


async def _send_datagram(world: World, content: bytes) -> None:
    address = (ADDRESS, world.state.settings.peer_port)
    with trio.socket.socket(type=trio.socket.SOCK_DGRAM) as sock:
        await sock.sendto(content, address)


# One datagram that could not be handled ended the process.
@trio_test
async def test_datagram_that_raises() -> None:
    """The VM serves on and handles the next ones."""
    heartbeat = Heartbeat('vm-2', 1, 1, 1, MemberPhase.SERVING, 1)
    async with running_edge('serve') as world:
        world.expects_faults = True
        state = world.state
        with _failing(EdgeState, 'record_heartbeat'):
            await _send_datagram(world, encode(heartbeat))
            await until(lambda: _fault_count(state, 'datagram') == 1)
        state.fleet.add_member(make_member('vm-2'), boot_time())
        await _send_datagram(world, encode(heartbeat))
        await until(lambda: state.fleet.find('vm-2').heartbeat)
        assert (await world.ask()).status_code == 200


# One heartbeat that could not be encoded ended every process of the fleet.
@trio_test
async def test_heartbeat_that_can_not_be_encoded() -> None:
    """The other peers get theirs, and the process goes on."""
    state = make_state()
    for vm in ('vm-2', 'vm-3'):
        state.fleet.add_member(make_member(vm), boot_time())
    port = Mock()
    messenger = PeerMessenger(state, port=port)
    with patch(ENCODE, side_effect=[OverflowError, b'beat']):
        await messenger.send_heartbeats()
    assert port.send.call_count == 1
    assert _fault_count(state, 'heartbeat') == 1


@attrs.frozen
class _StoreOfRows:
    """A store whose table has these rows."""

    rows: tuple[StoredRow, ...]

    async def read(self, _table: str) -> StoreView:
        return StoreView(self.rows, 1, boot_time())


def _decode(key: str, content: bytes) -> object:
    if key == 'odd':
        raise ZeroDivisionError('a fault')
    return decode_registration(key, content)


# One row that could not be decoded must hide no other and end no VM.
@trio_test
async def test_row_that_raises() -> None:
    """The other rows of the view are applied."""
    state = make_state()
    rows = tuple(
        StoredRow(key, registration(), 1) for key in ('odd', 'i-1', 'i-2')
    )
    source = TableSource(_StoreOfRows(rows), 'servers', _decode)
    view = await source.read()
    StateUpdater(state).apply_upstreams(view, boot_time())
    assert {upstream.name for upstream in state.directory} == {'i-1', 'i-2'}
    assert _fault_count(state, 'row') == 1


# One check that raised ended the process.
@trio_test
async def test_check_that_raises() -> None:
    """It counts as no answer, and is tried again after a pause."""
    async with running_edge('serve') as world:
        world.expects_faults = True
        upstream = next(iter(world.state.directory))
        with _failing(CheckSender, 'send'):
            upstream.condition = Condition.UNPROVEN
            await until(lambda: _fault_count(world.state, 'check'))
        await until(lambda: upstream.condition is Condition.READY)
        assert _fault_count(world.state, 'check') == 1
        assert (await world.ask()).status_code == 200


# LOST: an exception of one connection ended the VM with all others.
@trio_test
async def test_connection_that_raises() -> None:
    """The connection is reset, and the VM serves on."""
    async with running_edge('serve') as world:
        world.expects_faults = True
        with _failing(refusals, 'refuse_head'):
            with suppress(httpx.TransportError):
                await world.ask()
        await until(lambda: _fault_count(world.state, 'connection') == 1)
        assert (await world.ask()).status_code == 200
