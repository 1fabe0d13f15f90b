"""How the file descriptors of a VM are divided among what needs them.

Each port has a share of its own, so that a flood of connections on one takes
nothing from the others, nor from the connections that this VM opens.
"""

import resource
from contextlib import suppress

import attrs

# Files, by the users' platform, and the part of a smaller limit.
FILES = 200
FILES_PART = 20
# Standard streams, the event loop, listening sockets, datagrams, the store.
OWN = 30
# A share bears this part as refusals, and as connections accepted at a time.
SPARE_PART = 8
REFUSED_MAX = 50
BATCH_MAX = 64
# The most of each kind, and the part of a smaller limit. Connections to
# upstreams and peers carry a request each; the callers' port has the rest.
OUTBOUND_PART = 4
PEERS_MAX, PEERS_PART = 600, 8
LOOKUPS_MAX, LOOKUPS_PART = 256, 16
READINESS_MAX, READINESS_PART = 64, 32
METRICS_MAX, METRICS_PART = 32, 64
SHARE_MIN = 3


@attrs.frozen
class PortShare:
    """Connections of one port: those served, refused and just accepted."""

    connections: int
    refused: int
    batch: int

    @property
    def total(self) -> int:
        """The descriptors of the port."""
        return self.connections + self.refused + self.batch


@attrs.frozen
class DescriptorShares:
    """The descriptors of each kind of connection.

    outbound are left to connections to upstreams and peers.
    """

    callers: PortShare
    peers: PortShare
    readiness: PortShare
    lookups: PortShare
    metrics: PortShare
    outbound: int


def divide(limit: int) -> DescriptorShares:
    """Divide a limit; each port gets a few, whatever the limit is."""
    rest = max(0, limit - min(FILES, limit // FILES_PART) - OWN)
    peers = min(PEERS_MAX, rest // PEERS_PART)
    lookups = min(LOOKUPS_MAX, rest // LOOKUPS_PART)
    readiness = min(READINESS_MAX, rest // READINESS_PART)
    metrics = min(METRICS_MAX, rest // METRICS_PART)
    outbound = rest // OUTBOUND_PART
    callers = rest - outbound - peers - lookups - readiness - metrics
    return DescriptorShares(
        callers=_port_share(callers),
        peers=_port_share(peers),
        readiness=_port_share(readiness),
        lookups=_port_share(lookups),
        metrics=_port_share(metrics),
        outbound=outbound,
    )


def _port_share(total: int) -> PortShare:
    total = max(SHARE_MIN, total)
    refused = max(1, min(REFUSED_MAX, total // SPARE_PART))
    batch = max(1, min(BATCH_MAX, total // SPARE_PART))
    return PortShare(total - refused - batch, refused, batch)


def find_limit(wanted: int) -> int:
    """Return how many descriptors this process may have, at most wanted."""
    soft, _hard = _read_limits()
    return wanted if soft == resource.RLIM_INFINITY else min(wanted, soft)


def raise_soft_limit(wanted: int) -> int:
    """Raise the soft limit as far as wanted and permitted; return the limit.

    A host that permits no change leaves the limit as it is.
    """
    soft, hard = _read_limits()
    target = wanted if hard == resource.RLIM_INFINITY else min(wanted, hard)
    if soft != resource.RLIM_INFINITY and soft < target:
        with suppress(OSError, ValueError):
            resource.setrlimit(resource.RLIMIT_NOFILE, (target, hard))
    return find_limit(wanted)


def _read_limits() -> tuple[int, int]:
    """Return the soft and the hard limit, infinite where none is told."""
    try:
        return resource.getrlimit(resource.RLIMIT_NOFILE)
    except OSError:
        return resource.RLIM_INFINITY, resource.RLIM_INFINITY
