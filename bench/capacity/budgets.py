"""The requirements of the target, each with its estimated figure."""

from collections.abc import Callable

import attrs

from bench.capacity import fleet_parts, node_parts, relay_parts, targets
from bench.capacity.estimates import (
    Budget,
    MissingSlopeError,
    Results,
    Status,
    require_total,
)

Compute = Callable[[Results], float]
RACK_VMS = 20
LINK_B_PER_S = 125 * targets.MB
RESTART_S = 60.0


@attrs.frozen
class Requirement:
    """One requirement: its figure and its limit are in the same unit."""

    name: str
    unit: str
    limit: float
    status: Status
    basis: str
    compute: Compute

    def figure(self, results: Results) -> float | None:
        """Return the figure, None where a slope was not measured."""
        try:
            return self.compute(results)
        except MissingSlopeError:
            return None


REQUIREMENTS: list[Requirement] = []


def _requirement(
    name: str,
    unit: str,
    limit: float,
    status: Status,
    basis: str,
) -> Callable[[Compute], Compute]:
    def decorator(compute: Compute) -> Compute:
        REQUIREMENTS.append(
            Requirement(name, unit, limit, status, basis, compute)
        )
        return compute

    return decorator


@_requirement(
    '7,000 nodes: links of one node',
    'links',
    targets.NODES - 1,
    Status.ARGUED,
    'parents and children of the tree; the target sets no limit',
)
def _links(_results: Results) -> float:
    return node_parts.LINKS


@_requirement(
    '2.3 million client blocks: memory of the table',
    'MB',
    targets.NODE_MEMORY_B / targets.MB,
    Status.MEASURED,
    'resident at full size (`full_size`)',
)
def _table(results: Results) -> float:
    return results.full['resident_b'] / targets.MB


@_requirement(
    '1,700 sites: order indexes of the table',
    'sites',
    0xFFFF,
    Status.MEASURED,
    'two bytes a block; all sites are in the full table',
)
def _sites(_results: Results) -> float:
    return targets.SITES


@_requirement(
    "2.5 million look-ups/s: a node's core share without HTTP",
    '%',
    100,
    Status.MEASURED,
    'rate of answers at full size (`full_size`), 357/s a node',
)
def _lookups(results: Results) -> float:
    return targets.LOOKUPS_PER_NODE_S * results.full['answer_s'] * 100


@_requirement(
    "2.5 million look-ups/s: a node's core share with HTTP",
    '%',
    100,
    Status.EXTRAPOLATED,
    '`http_answer`, 357/s a node; not control work, so not part of the 4.3%',
)
def _http_lookups(results: Results) -> float:
    return targets.LOOKUPS_PER_NODE_S * results.per_unit('http_answer') * 100


@_requirement(
    '20 regions, 41 failure domains: summaries at a node',
    'KB/s',
    targets.NODE_BYTES_PER_S / targets.KB,
    Status.ARGUED,
    'part of the 2 KB/s below',
)
def _summaries(_results: Results) -> float:
    changed = targets.FAILURE_DOMAINS * targets.CHANGED_SHARE.amount
    frame = changed * targets.SUMMARY_B.amount + node_parts.HEADERS_B
    return node_parts.COPIES * frame / targets.SUMMARY_S.amount / targets.KB


@_requirement(
    '4,100 changes a day: one in force everywhere',
    's',
    targets.IN_FORCE_S,
    Status.EXTRAPOLATED,
    'table of the steps of a change',
)
def _in_force(results: Results) -> float:
    return require_total(Budget.IN_FORCE, results)


@_requirement(
    'the same below a node whose first parent is dead',
    's',
    targets.IN_FORCE_S,
    Status.EXTRAPOLATED,
    'plus one heartbeat, of its second parent',
)
def _in_force_second_parent(results: Results) -> float:
    return require_total(Budget.IN_FORCE, results) + targets.HEARTBEAT_S.amount


@_requirement(
    'the same below a node whose two parents die at once',
    's',
    targets.IN_FORCE_S,
    Status.EXTRAPOLATED,
    'plus the silence after which it takes another parent',
)
def _in_force_after_loss(results: Results) -> float:
    return (
        require_total(Budget.IN_FORCE, results) + fleet_parts.silence_delay_s()
    )


@_requirement(
    'control: processor of a node',
    '% of a core',
    targets.NODE_CORE_SHARE * 100,
    Status.EXTRAPOLATED,
    'table of the processor',
)
def _processor(results: Results) -> float:
    return require_total(Budget.PROCESSOR, results) * 100


@_requirement(
    'control: memory of a node',
    'MB',
    targets.NODE_MEMORY_B / targets.MB,
    Status.EXTRAPOLATED,
    'table of the memory',
)
def _memory(results: Results) -> float:
    return require_total(Budget.MEMORY, results) / targets.MB


@_requirement(
    'control: bytes of a node, sent and received',
    'KB/s',
    targets.NODE_BYTES_PER_S / targets.KB,
    Status.EXTRAPOLATED,
    'table of the bytes',
)
def _traffic(results: Results) -> float:
    return require_total(Budget.TRAFFIC, results) / targets.KB


@_requirement(
    'control: the same in a peak of changes',
    'KB/s',
    targets.NODE_BYTES_PER_S / targets.KB,
    Status.EXTRAPOLATED,
    'table of the bytes in a peak',
)
def _peak_traffic(results: Results) -> float:
    return require_total(Budget.PEAK_TRAFFIC, results) / targets.KB


@_requirement(
    'control: bytes of a relay',
    'KB/s',
    targets.NODE_BYTES_PER_S / targets.KB,
    Status.EXTRAPOLATED,
    'table of the bytes of a relay',
)
def _relay_traffic(results: Results) -> float:
    return require_total(Budget.RELAY_TRAFFIC, results) / targets.KB


@_requirement(
    'control: the same in a peak of changes and restarts',
    'KB/s',
    targets.NODE_BYTES_PER_S / targets.KB,
    Status.EXTRAPOLATED,
    'its changes, and VMs that come and go, at ten times the mean',
)
def _relay_peak(results: Results) -> float:
    more = (targets.PEAK.amount - 1) * relay_parts.change_traffic(results)
    return (require_total(Budget.RELAY_TRAFFIC, results) + more) / targets.KB


@_requirement(
    'control: bytes of a node in the minute of its start',
    'KB/s',
    targets.NODE_BYTES_PER_S / targets.KB,
    Status.EXTRAPOLATED,
    'compressed table (`full_size`) in 60 s',
)
def _start_traffic(results: Results) -> float:
    return results.full['compressed_b'] / RESTART_S / targets.KB


@_requirement(
    '12 VM failures a day: time until a dead parent is replaced',
    's',
    targets.IN_FORCE_S,
    Status.ARGUED,
    'two heartbeats and a new link; callers try the next VM named at once',
)
def _failure(_results: Results) -> float:
    return fleet_parts.silence_delay_s()


@_requirement(
    '2,000 restarts a day: start from nothing, the table in memory',
    's',
    RESTART_S,
    Status.MEASURED,
    'at full size (`full_size`); the fetch and the platform not counted',
)
def _start(results: Results) -> float:
    return results.full['start_s']


@_requirement(
    '2,000 restarts a day: VMs down at any time',
    'VMs',
    targets.NODES,
    Status.ARGUED,
    '60 s each',
)
def _restarting_vms(_results: Results) -> float:
    return targets.RESTARTS_PER_DAY * RESTART_S / targets.DAY_S


@_requirement(
    'a rack or switch each week: part of a failure domain lost',
    '%',
    100,
    Status.ARGUED,
    '20 VMs; their shares come back when loans and leases end',
)
def _lost_rack(_results: Results) -> float:
    return RACK_VMS / targets.VMS_PER_DOMAIN * 100


@_requirement(
    'a failure domain restarts: its tables over one 1 Gbit/s link',
    's',
    RESTART_S,
    Status.EXTRAPOLATED,
    'compressed tables of 171 VMs; from peers once a few have it',
)
def _domain_recovery(results: Results) -> float:
    domain_b = targets.VMS_PER_DOMAIN * results.full['compressed_b']
    return domain_b / LINK_B_PER_S


@_requirement(
    'regions cut off for minutes: rate of an account in one cut-off domain',
    '%',
    100,
    Status.ARGUED,
    'an equal share of 41; what it borrowed before goes back in seconds',
)
def _partition(_results: Results) -> float:
    return 100 / targets.FAILURE_DOMAINS


@_requirement(
    'platform: writes',
    '/s',
    targets.STORE_WRITES_PER_S,
    Status.ARGUED,
    'table of the platform',
)
def _writes(results: Results) -> float:
    return require_total(Budget.WRITES, results)


@_requirement(
    'platform: reads',
    '/s',
    targets.STORE_READS_PER_S,
    Status.ARGUED,
    'table of the platform',
)
def _reads(results: Results) -> float:
    return require_total(Budget.READS, results)
