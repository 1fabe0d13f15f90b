"""A UDP socket that is read in batches.

After a busy moment many datagrams are queued. Reading one per turn of the
event loop would leave the VM seconds behind its peers.
"""

import socket

import trio

DATAGRAM_B = 65_535
# Datagrams read in one batch before other tasks run.
BATCH_MAX = 256

Address = tuple[str, int]


class DatagramPort:
    """A bound, non-blocking UDP socket."""

    def __init__(self, address: str, port: int) -> None:
        """Bind to the address and port; raises OSError."""
        self._socket = socket.socket(type=socket.SOCK_DGRAM)
        self._socket.setblocking(False)
        self._socket.bind((address, port))

    def close(self) -> None:
        """Close the socket."""
        self._socket.close()

    def send(self, datagram: bytes, address: Address) -> None:
        """Send one datagram; raises OSError, also if it would block."""
        self._socket.sendto(datagram, address)

    async def receive(self) -> list[tuple[bytes, Address]]:
        """Wait for datagrams and return those queued; raises OSError."""
        await trio.lowlevel.wait_readable(self._socket)
        received: list[tuple[bytes, Address]] = []
        try:
            while len(received) < BATCH_MAX:
                received.append(self._socket.recvfrom(DATAGRAM_B))
        except BlockingIOError:
            return received
        except OSError:
            # Such as an ICMP error for a datagram sent earlier. It may last,
            # so it is not tried again in this turn.
            if not received:
                raise
        return received
