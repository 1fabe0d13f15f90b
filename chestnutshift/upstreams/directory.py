"""Directory of the upstreams that the platform lists."""

from collections.abc import Iterable, Iterator

import attrs

from chestnutshift.conf import defaults
from chestnutshift.storage.records import ListedState, VmRecord, VmRole
from chestnutshift.upstreams.connections import UpstreamConnections


@attrs.define
class Upstream:
    """An upstream: its record and the connections to it."""

    record: VmRecord
    connections: UpstreamConnections

    @property
    def name(self) -> str:
        """The upstream's name."""
        return self.record.vm

    @property
    def host(self) -> bytes:
        """The value of the Host header in requests to the upstream."""
        return self.record.address.encode()


class UpstreamDirectory:
    """All upstreams that the platform lists.

    The rate of new connections and the limit of open ones apply to an
    upstream as a whole, so the VMs of its failure domain share them equally.
    """

    def __init__(self, vms: int = 1) -> None:
        """Create an empty directory; vms is how many VMs share an upstream."""
        self._vms = vms
        self._upstreams: dict[str, Upstream] = {}

    def __iter__(self) -> Iterator[Upstream]:
        """Iterate over a snapshot of the upstreams."""
        return iter(list(self._upstreams.values()))

    def update(self, records: Iterable[VmRecord]) -> tuple[Upstream, ...]:
        """Apply the platform's list; return the upstreams that were removed."""
        listed = {
            record.vm: record
            for record in records
            if record.role is VmRole.UPSTREAM
        }
        removed = [
            self._upstreams.pop(name)
            for name in list(self._upstreams)
            if self._must_replace(name, listed)
        ]
        for name, record in listed.items():
            known = self._upstreams.get(name)
            if known is not None:
                known.record = record
            elif record.state is not ListedState.GONE:
                self._upstreams[name] = self._connect(record)
        return tuple(removed)

    def get(self, name: str) -> Upstream | None:
        """Return the upstream of that name, or None if it is not listed."""
        return self._upstreams.get(name)

    def _must_replace(self, name: str, listed: dict[str, VmRecord]) -> bool:
        record = listed.get(name)
        if record is None or record.state is ListedState.GONE:
            return True
        return record.address != self._upstreams[name].record.address

    def _connect(self, record: VmRecord) -> Upstream:
        address, _, port = record.address.rpartition(':')
        connections = UpstreamConnections(
            address,
            int(port),
            pace_s=defaults.CONNECTION_PACE_S * self._vms,
            maximum=defaults.CONNECTIONS_MAX // self._vms,
        )
        return Upstream(record, connections)
