"""Division of upstreams' slots among the VMs of a failure domain.

Each VM has a position, which owns a fixed number of each upstream's slots:
its floor.
"""

import math
import zlib
from collections.abc import Iterable, Iterator

import attrs

from chestnutshift.upstreams.exceptions import UnknownUpstreamError

RESERVED_FRACTION = 0.25


@attrs.frozen
class UpstreamSlots:
    """The number of requests that one upstream runs at a time."""

    name: str
    service: str
    slots: int


@attrs.frozen
class Seat:
    """A VM's position among the VMs of its failure domain.

    incarnation grows with every process that takes the position; joined_at
    is when this process took it over from an earlier one, if there was one.
    """

    vm: str
    region: str
    position: int
    positions: int
    incarnation: int = 0
    joined_at: float = -math.inf


def floor_slots(upstream: UpstreamSlots, position: int, positions: int) -> int:
    """Return how many of the upstream's slots a position owns.

    The floors of all positions add up to the upstream's slots. A hash of the
    name decides which positions get the remainder, so that VMs agree without
    knowing each other's list of upstreams.
    """
    quotient, remainder = divmod(upstream.slots, positions)
    rank = (position + zlib.crc32(upstream.name.encode())) % positions
    return quotient + int(rank < remainder)


def reserved_slots(floor: int) -> int:
    """Return how many slots of a floor are never lent."""
    return min(floor, max(1, math.ceil(floor * RESERVED_FRACTION)))


@attrs.define(eq=False)
class UpstreamShare:
    """A VM's share of an upstream: the slots that it owns and uses."""

    upstream: UpstreamSlots
    floor: int
    busy: int = 0


class Division:
    """The upstreams of a failure domain and this VM's share of each."""

    def __init__(self, seat: Seat, upstreams: Iterable[UpstreamSlots]) -> None:
        """Divide the upstreams of the seat's failure domain."""
        self._seat = seat
        self._positions = {seat.position}
        self._shares: dict[str, UpstreamShare] = {}
        self._services: dict[str, list[UpstreamShare]] = {}
        self.update(upstreams)

    def __iter__(self) -> Iterator[str]:
        """Iterate over the names of the services."""
        return iter(self._services)

    def update(self, upstreams: Iterable[UpstreamSlots]) -> None:
        """Apply a changed list of upstreams; slots in use stay counted."""
        known = self._shares
        self._shares = {}
        self._services = {}
        for upstream in upstreams:
            # Leases refer to their share, so a known one is updated in place.
            share = known.get(upstream.name) or UpstreamShare(upstream, 0)
            share.upstream = upstream
            share.floor = self._floor(upstream)
            self._shares[upstream.name] = share
            self._services.setdefault(upstream.service, []).append(share)

    def add_position(self, position: int) -> None:
        """Own a vacant position's floor too; needs the position's lease."""
        self._positions.add(position)
        self.update([share.upstream for share in self._shares.values()])

    def remove_position(self, position: int) -> None:
        """Give up a position's floor, so that another VM may take it over."""
        self._positions.discard(position)
        self.update([share.upstream for share in self._shares.values()])

    def share_of(self, upstream: str) -> UpstreamShare:
        """Return the share of an upstream; raise UnknownUpstreamError."""
        share = self._shares.get(upstream)
        if share is None:
            raise UnknownUpstreamError(
                f'no upstream {upstream!r} in this failure domain',
            )
        return share

    def of_service(self, service: str) -> list[UpstreamShare]:
        """Return the shares of a service's upstreams."""
        return self._services.get(service, [])

    def _floor(self, upstream: UpstreamSlots) -> int:
        return sum(
            floor_slots(upstream, position, self._seat.positions)
            for position in self._positions
        )
