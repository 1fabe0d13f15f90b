"""Connections to the callers' ports of other VMs, for crossings."""

from collections.abc import Iterable

import attrs
import httpx

from chestnutshift.conf.settings import PeerAddress
from chestnutshift.links.peer import PeerLink
from chestnutshift.upstreams.connections import UpstreamConnections


@attrs.frozen
class PeerVm:
    """How to send a crossing to a VM."""

    host: bytes
    connections: UpstreamConnections
    _link: PeerLink

    @property
    def incarnation(self) -> str:
        """The incarnation that the latest handshake named."""
        return self._link.incarnation


class VmConnections:
    """The other VMs by name."""

    def __init__(
        self,
        addresses: Iterable[PeerAddress],
        links: dict[str, PeerLink],
    ) -> None:
        """Connect when needed."""
        self._links = links
        self._urls = {
            address.name: httpx.URL(address.url) for address in addresses
        }
        self._known: dict[str, PeerVm] = {}

    def get(self, vm: str) -> PeerVm:
        """Return how to reach a VM that the settings name."""
        known = self._known.get(vm)
        if known is None:
            url = self._urls[vm]
            connections = UpstreamConnections(url.host, url.port or 80)
            known = PeerVm(url.netloc, connections, self._links[vm])
            self._known[vm] = known
        return known
