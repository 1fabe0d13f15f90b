"""A VM that was busy catches up with its peers at once."""

import socket
from contextlib import closing

from trio.testing import trio_test

from chestnutshift.edge.datagram_port import DatagramPort
from tests.edge.world import ADDRESS, free_port

WAITING = 78


@trio_test
async def test_all_that_waits_is_taken_at_once() -> None:
    """Pattern: 78 peers' beats wait while a large route table is read."""
    number = free_port()
    with closing(DatagramPort(ADDRESS, number)) as port:
        with socket.socket(type=socket.SOCK_DGRAM) as peer:
            for index in range(WAITING):
                peer.sendto(b'%d' % index, (ADDRESS, number))
        received = await port.receive()
    assert [datagram for datagram, _ in received] == [
        b'%d' % index for index in range(WAITING)
    ]


@trio_test
async def test_refusals_end_nothing() -> None:
    """A peer that is gone answers with a refusal; the next one is heard."""
    number, gone = free_port(), free_port()
    with closing(DatagramPort(ADDRESS, number)) as port:
        port.send(b'to nobody', (ADDRESS, gone))
        with socket.socket(type=socket.SOCK_DGRAM) as peer:
            peer.sendto(b'here', (ADDRESS, number))
        received = await port.receive()
    assert [datagram for datagram, _ in received] == [b'here']
