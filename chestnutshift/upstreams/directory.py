"""The upstreams that this VM knows, by what the platform's list says."""

import contextlib
import random
from collections.abc import Iterable, Iterator

import attrs

from chestnutshift.conf import defaults
from chestnutshift.platform.records import VmRecord, VmRole, VmState
from chestnutshift.upstreams.connections import UpstreamConnections


@attrs.define
class Upstream:
    """One upstream: its record, connections, and this VM's work on it."""

    record: VmRecord
    connections: UpstreamConnections
    in_flight: int = 0

    @property
    def name(self) -> str:
        """The upstream's name."""
        return self.record.vm

    @property
    def host(self) -> bytes:
        """The value of the Host header."""
        return self.record.address.encode()

    @contextlib.contextmanager
    def working(self) -> Iterator[None]:
        """Count one request on the upstream while the block runs."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1


class UpstreamDirectory:
    """All upstreams, and those that may take new work."""

    def __init__(self) -> None:
        """Start without any upstream."""
        self._upstreams: dict[str, Upstream] = {}

    def __iter__(self) -> Iterator[Upstream]:
        """Iterate over every upstream known."""
        return iter(list(self._upstreams.values()))

    def update(self, records: Iterable[VmRecord]) -> tuple[Upstream, ...]:
        """Take over the platform's list; return the upstreams dropped."""
        listed = {
            record.vm: record
            for record in records
            if record.role is VmRole.UPSTREAM
        }
        dropped = [
            self._upstreams.pop(name)
            for name in list(self._upstreams)
            if self._must_replace(name, listed)
        ]
        for name, record in listed.items():
            known = self._upstreams.get(name)
            if known is not None:
                known.record = record
            elif record.state is not VmState.GONE:
                self._upstreams[name] = _connect(record)
        return tuple(dropped)

    def serving(
        self,
        service: str,
        failure_domain: str,
    ) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may take new work."""
        return tuple(
            upstream
            for upstream in self._upstreams.values()
            if upstream.record.service == service
            and upstream.record.failure_domain == failure_domain
            and upstream.record.state is VmState.LIVE
        )

    def _must_replace(self, name: str, listed: dict[str, VmRecord]) -> bool:
        record = listed.get(name)
        if record is None or record.state is VmState.GONE:
            return True
        return record.address != self._upstreams[name].record.address


def _connect(record: VmRecord) -> Upstream:
    address, _, port = record.address.rpartition(':')
    connections = UpstreamConnections(
        address,
        int(port),
        pace_s=defaults.CONNECTION_PACE_S,
        maximum=defaults.CONNECTIONS_MAX,
    )
    return Upstream(record, connections)


def pick(
    upstreams: Iterable[Upstream],
    tried: frozenset[str],
    rng: random.Random,
) -> Upstream | None:
    """Return an upstream with a free slot, the emptiest of the rest first."""
    free = [
        upstream
        for upstream in upstreams
        if upstream.in_flight < upstream.record.slots
        and upstream.name not in tried
    ]
    if not free:
        return None
    return min(
        free,
        key=lambda upstream: (
            upstream.in_flight / upstream.record.slots,
            rng.random(),
        ),
    )
