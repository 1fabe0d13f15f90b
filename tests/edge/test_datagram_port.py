"""Datagrams that queued while a VM was busy are read in one batch."""

import errno
import socket
from contextlib import closing
from unittest.mock import Mock, patch

import trio
from trio.testing import trio_test

from chestnutshift.edge.datagram_port import DatagramPort
from tests.edge.world import ADDRESS, free_port

DATAGRAM_COUNT = 78


# Guards against a test that fails at the start of a VM: the port that was drawn
# for its datagrams was another VM's, as only connections were asked for.
def test_drawn_port_is_free_for_datagrams() -> None:
    """A port that a UDP socket has is not drawn."""
    taken, free = free_port(), free_port()
    with closing(DatagramPort(ADDRESS, taken)):
        with patch('random.randrange', side_effect=[taken, taken, free]):
            assert free_port() == free


@trio_test
async def test_queued_datagrams_are_read_in_one_batch() -> None:
    """Heartbeats of 78 peers queue while a large route table is decoded."""
    port_number = free_port()
    with closing(DatagramPort(ADDRESS, port_number)) as port:
        with socket.socket(type=socket.SOCK_DGRAM) as peer:
            for index in range(DATAGRAM_COUNT):
                peer.sendto(b'%d' % index, (ADDRESS, port_number))
        received = await port.receive()
    assert [datagram for datagram, _ in received] == [
        b'%d' % index for index in range(DATAGRAM_COUNT)
    ]


@trio_test
async def test_icmp_errors_do_not_stop_receiving() -> None:
    """An ICMP error from a stopped peer does not hide the next datagram."""
    port_number, closed_port_number = free_port(), free_port()
    with closing(DatagramPort(ADDRESS, port_number)) as port:
        port.send(b'to nobody', (ADDRESS, closed_port_number))
        with socket.socket(type=socket.SOCK_DGRAM) as peer:
            peer.sendto(b'here', (ADDRESS, port_number))
        received = await port.receive()
    assert [datagram for datagram, _ in received] == [b'here']


# FAULT: an error behind datagrams that were read was tried again for ever,
# without a turn for any other task.
@trio_test
async def test_error_that_stays() -> None:
    """The datagrams before the error are returned."""
    failure = OSError(errno.ENOMEM, 'no memory')
    with closing(DatagramPort(ADDRESS, free_port())) as port:
        results = [(b'here', (ADDRESS, 1)), failure, failure]
        sock = Mock(recvfrom=Mock(side_effect=results))
        with patch.object(port, '_socket', sock):
            with patch.object(trio.lowlevel, 'wait_readable', _no_wait):
                received = await port.receive()
    assert [datagram for datagram, _ in received] == [b'here']


async def _no_wait(_sock: object) -> None:
    await trio.lowlevel.checkpoint()
