"""Connections to the callers' ports of other VMs, used for crossings."""

from collections.abc import Iterable

import attrs
import httpx

from chestnutshift.conf.settings import PeerAddress
from chestnutshift.links.peer import PeerLink
from chestnutshift.upstreams.connections import UpstreamConnections


@attrs.frozen
class PeerVm:
    """Another VM: its connections and its incarnation."""

    host: bytes
    connections: UpstreamConnections
    _link: PeerLink

    @property
    def incarnation(self) -> str:
        """The incarnation that the VM named in the latest handshake."""
        return self._link.incarnation


class PeerConnections:
    """Connections to the other VMs, by name of the VM."""

    def __init__(
        self,
        addresses: Iterable[PeerAddress],
        links: dict[str, PeerLink],
    ) -> None:
        """Use the addresses of the settings; connections open on demand."""
        self._links = links
        self._urls = {
            address.name: httpx.URL(address.url) for address in addresses
        }
        self._peers: dict[str, PeerVm] = {}

    def get(self, vm: str) -> PeerVm:
        """Return the peer of that name; it must be in the settings."""
        peer = self._peers.get(vm)
        if peer is None:
            url = self._urls[vm]
            connections = UpstreamConnections(url.host, url.port or 80)
            peer = PeerVm(url.netloc, connections, self._links[vm])
            self._peers[vm] = peer
        return peer
