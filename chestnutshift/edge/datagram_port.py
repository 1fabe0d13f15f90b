"""A UDP port from which all that arrived is taken at once.

A VM that was busy for a moment finds many datagrams waiting. Taking one each
time that its tasks had their turn would let it fall behind for seconds.
"""

import socket

import trio

DATAGRAM_B = 65_535
# Datagrams taken before other tasks have their turn again.
BATCH_MAX = 256

Address = tuple[str, int]


class DatagramPort:
    """A bound port; sending never waits."""

    def __init__(self, address: str, port: int) -> None:
        """Bind; raises OSError."""
        self._socket = socket.socket(type=socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((address, port))

    def close(self) -> None:
        """Give up the port."""
        self._socket.close()

    def send(self, datagram: bytes, address: Address) -> None:
        """Send one datagram; raises OSError, also where it would wait."""
        self._socket.sendto(datagram, address)

    async def receive(self) -> list[tuple[bytes, Address]]:
        """Return what arrived, at least one datagram; raises OSError."""
        await trio.lowlevel.wait_readable(self._socket)
        received: list[tuple[bytes, Address]] = []
        while len(received) < BATCH_MAX:
            try:
                received.append(self._socket.recvfrom(DATAGRAM_B))
            except BlockingIOError:
                break
            except OSError:
                # A refusal that an earlier datagram met.
                if not received:
                    raise
        return received
