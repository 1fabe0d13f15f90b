"""The sizes at which the present design choices use up their budgets."""

from collections.abc import Callable

import attrs

from bench.capacity import node_parts, targets
from bench.capacity.estimates import MissingSlopeError, Results, Status
from chestnutshift.conf import defaults

# A VM reads the configuration and the list of VMs in each poll.
READS_PER_POLL = 2
WRITES_PER_BOOKING = 2
RENEWALS_PER_LEASE = 3
# The burst of a medium-sized account.
BURST = 100
CURRENT_PLAN_PERIOD_S = 0.05
# Every VM connects to every other one, so that a pair has two links.
LINKS_PER_PAIR = 2

Compute = Callable[[Results], float]


@attrs.frozen
class Break:
    """A present design choice and the size at which its budget is used up.

    carried_by says which design replaces it beyond that size.
    """

    choice: str
    module: str
    budget: str
    unit: str
    status: Status
    carried_by: str
    compute: Compute

    def size(self, results: Results) -> float | None:
        """Return the size, None where a slope was not measured."""
        try:
            return self.compute(results)
        except MissingSlopeError:
            return None


BREAKS: list[Break] = []


def _break(
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


@_break(
    'heartbeats between all VMs, every 0.25 s',
    '`vms.heartbeats`, `links`',
    '2 KB/s of a node',
    'VMs',
    Status.EXTRAPOLATED,
    'two parents and four children in a tree of the failure domain',
)
def _heartbeat_bytes(results: Results) -> float:
    exchange = results.per_unit('heartbeat_size') + node_parts.HEADERS_B
    bytes_per_peer = LINKS_PER_PAIR * exchange / defaults.HEARTBEAT_S
    return 1 + targets.NODE_BYTES_PER_S / bytes_per_peer


@_break(
    'heartbeats between all VMs, every 0.25 s',
    '`vms.heartbeats`, `links`',
    '4.3% of a core',
    'VMs',
    Status.EXTRAPOLATED,
    'as above',
)
def _heartbeat_processor(results: Results) -> float:
    core_share_per_peer = (
        results.per_unit('heartbeat_time') / defaults.HEARTBEAT_S
    )
    return 1 + targets.NODE_CORE_SHARE / core_share_per_peer


@_break(
    'every VM polls the platform every 0.5 s',
    '`configuration.polling`',
    '2,000 reads/s of the platform',
    'VMs',
    Status.ARGUED,
    'four relays of each failure domain poll in turns',
)
def _polls(_results: Results) -> float:
    reads_per_vm_s = READS_PER_POLL / defaults.PLATFORM_POLL_S
    return targets.STORE_READS_PER_S / reads_per_vm_s


@_break(
    'a poll reads the whole configuration',
    '`configuration.store`',
    '2 KB/s of a node',
    'keys',
    Status.EXTRAPOLATED,
    'numbered changes; the whole document only at a start',
)
def _whole_document(results: Results) -> float:
    bytes_per_poll = targets.NODE_BYTES_PER_S * defaults.PLATFORM_POLL_S
    return bytes_per_poll / results.per_unit('key_size')


@_break(
    'a poll reads the whole list of VMs',
    '`platform`, `configuration.polling`',
    '2 KB/s of a node',
    'VMs',
    Status.EXTRAPOLATED,
    'relays read the list and pass on what changed',
)
def _whole_list(results: Results) -> float:
    bytes_per_poll = targets.NODE_BYTES_PER_S * defaults.PLATFORM_POLL_S
    return bytes_per_poll / results.per_unit('vm_list_size')


@_break(
    'a change sends the whole configuration to each VM',
    '`vms.heartbeats`',
    '2 KB/s of a node, 4,100 changes a day',
    'keys',
    Status.EXTRAPOLATED,
    'numbered changes',
)
def _document_per_change(results: Results) -> float:
    bytes_per_change = targets.NODE_BYTES_PER_S / node_parts.CHANGES_PER_S
    return bytes_per_change / results.per_unit('key_size')


@_break(
    'one lease for each VM',
    '`accounts.seat_manager`',
    '300 writes/s of the platform',
    'VMs',
    Status.ARGUED,
    'one lease for each failure domain, divided inside it by loans',
)
def _leases(_results: Results) -> float:
    writes_per_vm_s = RENEWALS_PER_LEASE / defaults.SEAT_LEASE_S
    return targets.STORE_WRITES_PER_S / writes_per_vm_s


@_break(
    'rate and burst divided equally over all VMs',
    '`accounts.admission`',
    'one whole token of a burst of 100',
    'VMs',
    Status.ARGUED,
    'shares of failure domains; a VM borrows before its first request',
)
def _divided_burst(_results: Results) -> float:
    return BURST


@_break(
    'loans planned for all accounts, every 50 ms',
    '`accounts.admission`',
    '4.3% of a core',
    'accounts',
    Status.EXTRAPOLATED,
    'plans of the accounts with demand, every 0.25 s',
)
def _plans(results: Results) -> float:
    return (
        targets.NODE_CORE_SHARE
        * CURRENT_PLAN_PERIOD_S
        / results.per_unit('share_plan')
    )


@_break(
    'two writes for each booking',
    '`idempotency`',
    '300 writes/s of the platform',
    'bookings/s',
    Status.ARGUED,
    'group commits of a failure domain, every 0.25 s',
)
def _booking_writes(_results: Results) -> float:
    return targets.STORE_WRITES_PER_S / WRITES_PER_BOOKING


@_break(
    'every VM connects to every upstream of its failure domain',
    '`upstreams.connections`',
    '400 connections of an upstream, 8 for each VM',
    'VMs of a failure domain',
    Status.ARGUED,
    'an upstream belongs to 16 VMs of its domain, to which others forward',
)
def _upstream_connections(_results: Results) -> float:
    return defaults.CONNECTIONS_MAX / 8


@_break(
    'the whole table in each VM',
    '`lookup.table`',
    '256 MB of a node, while it is built',
    'client blocks',
    Status.EXTRAPOLATED,
    'load instead of build; a part of the table by region',
)
def _table(results: Results) -> float:
    bytes_per_block = results.full['peak_b'] / results.full['blocks']
    return (targets.NODE_MEMORY_B - results.full['base_b']) / bytes_per_block


@_break(
    'the whole table fetched at each start',
    '`lookup.directory`',
    "2 KB/s of a node, as a day's mean",
    'restarts a day',
    Status.EXTRAPOLATED,
    'compressed, from a peer of the failure domain',
)
def _table_fetches(results: Results) -> float:
    fleet_bytes_per_day = (
        targets.NODE_BYTES_PER_S * targets.DAY_S * targets.NODES
    )
    return fleet_bytes_per_day / results.full['packed_b']
