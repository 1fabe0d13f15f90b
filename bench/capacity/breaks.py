"""Where each of today's choices stops holding, and what carries it then."""

import math
from collections.abc import Callable

import attrs

from bench.capacity import node_parts, targets
from bench.capacity.estimates import MissingSlopeError, Status, Sums
from chestnutshift.conf import defaults

# Requests for the platform in one poll of a VM: configuration, list.
READS_PER_POLL = 2
WRITES_PER_BOOKING = 2
RENEWALS_PER_LEASE = 3
# A burst of an account that is neither large nor small.
BURST = 100
TODAY_PLAN_S = 0.05
# Every VM dials every other one, so that a pair has two links.
LINKS_PER_PAIR = 2

Compute = Callable[[Sums], float]


@attrs.frozen
class Break:
    """One choice of today: the size at which its budget is used up."""

    choice: str
    module: str
    budget: str
    unit: str
    status: Status
    carried_by: str
    compute: Compute

    def size(self, sums: Sums) -> float | None:
        """Return the size, None where a slope was not measured."""
        try:
            return self.compute(sums)
        except MissingSlopeError:
            return None


BREAKS: list[Break] = []


def _breaks(
    choice: str,
    module: str,
    budget: str,
    unit: str,
    status: Status,
    carried_by: str,
) -> Callable[[Compute], Compute]:
    def decorator(compute: Compute) -> Compute:
        BREAKS.append(
            Break(choice, module, budget, unit, status, carried_by, compute),
        )
        return compute

    return decorator


@_breaks(
    'heartbeats between all VMs, each 0.25 s',
    '`vms.beats`, `links`',
    '2 KB/s of a node',
    'VMs',
    Status.EXTRAPOLATED,
    'two parents and four children in a tree of the failure domain',
)
def _heartbeat_bytes(sums: Sums) -> float:
    exchange = sums.per('heartbeat_size') + node_parts.HEADERS_B
    peer = LINKS_PER_PAIR * exchange / defaults.HEARTBEAT_S
    return 1 + targets.NODE_BYTES_PER_S / peer


@_breaks(
    'heartbeats between all VMs, each 0.25 s',
    '`vms.beats`, `links`',
    '4.3% of a core',
    'VMs',
    Status.EXTRAPOLATED,
    'as above',
)
def _heartbeat_processor(sums: Sums) -> float:
    peer = sums.per('heartbeat_time') / defaults.HEARTBEAT_S
    return 1 + targets.NODE_CORE_SHARE / peer


@_breaks(
    'every VM polls the platform each 0.5 s',
    '`configuration.follow`',
    '2,000 reads/s of the platform',
    'VMs',
    Status.ARGUED,
    'three relays of each failure domain poll',
)
def _polls(_sums: Sums) -> float:
    polls = READS_PER_POLL / defaults.PLATFORM_POLL_S
    return targets.STORE_READS_PER_S / polls


@_breaks(
    'a poll reads the whole configuration',
    '`configuration.store`',
    '2 KB/s of a node',
    'keys',
    Status.EXTRAPOLATED,
    'numbered changes; the whole document only at a start',
)
def _whole_document(sums: Sums) -> float:
    poll = targets.NODE_BYTES_PER_S * defaults.PLATFORM_POLL_S
    return poll / sums.per('key_size')


@_breaks(
    'a poll reads the whole list of VMs',
    '`platform`, `configuration.follow`',
    '2 KB/s of a node',
    'VMs',
    Status.EXTRAPOLATED,
    'relays read the list and pass on what changed',
)
def _whole_list(sums: Sums) -> float:
    poll = targets.NODE_BYTES_PER_S * defaults.PLATFORM_POLL_S
    return poll / sums.per('vm_list_size')


@_breaks(
    'a change sends the whole configuration to each VM',
    '`vms.beats`',
    '2 KB/s of a node, 4,100 changes a day',
    'keys',
    Status.EXTRAPOLATED,
    'numbered changes',
)
def _document_per_change(sums: Sums) -> float:
    change = targets.NODE_BYTES_PER_S / node_parts.CHANGES_PER_S
    return change / sums.per('key_size')


@_breaks(
    'one lease for each VM',
    '`accounts.keeper`',
    '300 writes/s of the platform',
    'VMs',
    Status.ARGUED,
    'one lease for each failure domain, divided inside it by loans',
)
def _leases(_sums: Sums) -> float:
    renewals = RENEWALS_PER_LEASE / defaults.SEAT_LEASE_S
    return targets.STORE_WRITES_PER_S / renewals


@_breaks(
    'rate and burst divided equally over all VMs',
    '`accounts.admission`',
    'one whole token of a burst of 100',
    'VMs',
    Status.ARGUED,
    'shares of failure domains; a VM borrows before its first request',
)
def _divided_burst(_sums: Sums) -> float:
    return BURST


@_breaks(
    'loans planned for all accounts, each 50 ms',
    '`accounts.admission`',
    '4.3% of a core',
    'accounts',
    Status.EXTRAPOLATED,
    'plans of the accounts with demand, each 0.25 s',
)
def _plans(sums: Sums) -> float:
    return targets.NODE_CORE_SHARE * TODAY_PLAN_S / sums.per('share_plan')


@_breaks(
    'two writes for each booking',
    '`idempotency`',
    '300 writes/s of the platform',
    'bookings/s',
    Status.ARGUED,
    'group commits of a failure domain, each 0.25 s',
)
def _booking_writes(_sums: Sums) -> float:
    return targets.STORE_WRITES_PER_S / WRITES_PER_BOOKING


@_breaks(
    'every VM connects to every upstream of its failure domain',
    '`upstreams.connections`',
    '400 connections of an upstream, 8 for each VM',
    'VMs of a failure domain',
    Status.ARGUED,
    'an upstream belongs to 16 VMs of its domain, the others hand over',
)
def _upstream_connections(_sums: Sums) -> float:
    return defaults.CONNECTIONS_MAX / 8


@_breaks(
    'a region ranked anew for all buckets when one VM changes',
    '`lookup.ranking`',
    '4.3% of a core',
    'VMs of a region',
    Status.EXTRAPOLATED,
    'only the buckets that name a changed VM are ranked anew',
)
def _ranking(sums: Sums) -> float:
    # Changes and the work of each both grow with the VMs of the region.
    changes = node_parts.MEMBER_CHANGES_PER_S / targets.NODES
    square = targets.NODE_CORE_SHARE / (changes * sums.per('rank'))
    return math.sqrt(square)


@_breaks(
    'the whole table in each VM',
    '`lookup.table`',
    '256 MB of a node, while it is built',
    'client blocks',
    Status.EXTRAPOLATED,
    'load in place of build; a part of the table by region',
)
def _table(sums: Sums) -> float:
    block = sums.full['peak_b'] / sums.full['blocks']
    return (targets.NODE_MEMORY_B - sums.full['base_b']) / block


@_breaks(
    'the whole table fetched at each start',
    '`lookup.directory`',
    "2 KB/s of a node, as a day's mean",
    'restarts a day',
    Status.EXTRAPOLATED,
    'compressed, from a peer of the failure domain',
)
def _table_fetches(sums: Sums) -> float:
    day = targets.NODE_BYTES_PER_S * targets.DAY_S * targets.NODES
    return day / sums.full['packed_b']
