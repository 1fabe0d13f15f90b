"""Every line of the target, with the figure that answers it."""

from collections.abc import Callable

import attrs

from bench.capacity import fleet_parts, node_parts, targets
from bench.capacity.estimates import (
    Budget,
    MissingSlopeError,
    Status,
    Sums,
    whole,
)

Compute = Callable[[Sums], float]
RACK_VMS = 20
LINK_B_PER_S = 125 * targets.MB

DOWN_S = 60.0


@attrs.frozen
class Line:
    """One line of the target: figure and limit in the same unit."""

    name: str
    unit: str
    limit: float
    status: Status
    basis: str
    compute: Compute

    def figure(self, sums: Sums) -> float | None:
        """Return the figure, None where a slope was not measured."""
        try:
            return self.compute(sums)
        except MissingSlopeError:
            return None


LINES: list[Line] = []


def _line(
    name: str,
    unit: str,
    limit: float,
    status: Status,
    basis: str,
) -> Callable[[Compute], Compute]:
    def decorator(compute: Compute) -> Compute:
        LINES.append(Line(name, unit, limit, status, basis, compute))
        return compute

    return decorator


@_line(
    '7,000 nodes: links of one node',
    'links',
    targets.NODES - 1,
    Status.ARGUED,
    'parents and children of the tree; the target sets no limit',
)
def _links(_sums: Sums) -> float:
    return node_parts.LINKS


@_line(
    '2.3 million client blocks: memory of the table',
    'MB',
    targets.NODE_MEMORY_B / targets.MB,
    Status.MEASURED,
    'resident at full size (`full_size`)',
)
def _table(sums: Sums) -> float:
    return sums.full['resident_b'] / targets.MB


@_line(
    '1,700 sites: order indexes of the table',
    'sites',
    0xFFFF,
    Status.MEASURED,
    'two bytes a block; all sites are in the full table',
)
def _sites(_sums: Sums) -> float:
    return targets.SITES


@_line(
    "2.5 million look-ups/s: a node's core share without HTTP",
    '%',
    100,
    Status.MEASURED,
    'rate of answers at full size (`full_size`), 357/s a node',
)
def _lookups(sums: Sums) -> float:
    return targets.LOOKUPS_PER_NODE_S * sums.full['answer_s'] * 100


@_line(
    "2.5 million look-ups/s: a node's core share with HTTP",
    '%',
    100,
    Status.EXTRAPOLATED,
    '`http_answer`, 357/s a node; no control work, so beside the 4.3%',
)
def _http_lookups(sums: Sums) -> float:
    return targets.LOOKUPS_PER_NODE_S * sums.per('http_answer') * 100


@_line(
    '20 regions, 41 failure domains: summaries at a node',
    'KB/s',
    targets.NODE_BYTES_PER_S / targets.KB,
    Status.ARGUED,
    'part of the 2 KB/s below',
)
def _summaries(_sums: Sums) -> float:
    changed = targets.FAILURE_DOMAINS * targets.CHANGED_SHARE.amount
    frame = changed * targets.SUMMARY_B.amount + node_parts.HEADERS_B
    return node_parts.COPIES * frame / targets.SUMMARY_S.amount / targets.KB


@_line(
    '4,100 changes a day: one in force everywhere',
    's',
    targets.IN_FORCE_S,
    Status.EXTRAPOLATED,
    'table of the way of a change',
)
def _in_force(sums: Sums) -> float:
    return whole(Budget.IN_FORCE, sums)


@_line(
    'the same below a node whose first parent is dead',
    's',
    targets.IN_FORCE_S,
    Status.EXTRAPOLATED,
    'and the heartbeat of its second parent',
)
def _in_force_second(sums: Sums) -> float:
    return whole(Budget.IN_FORCE, sums) + targets.HEARTBEAT_S.amount


@_line(
    'the same below a node whose two parents die at once',
    's',
    targets.IN_FORCE_S,
    Status.EXTRAPOLATED,
    'and the silence after which it takes another parent',
)
def _in_force_after_loss(sums: Sums) -> float:
    return whole(Budget.IN_FORCE, sums) + fleet_parts.silence_delay()


@_line(
    'control: processor of a node',
    '% of a core',
    targets.NODE_CORE_SHARE * 100,
    Status.EXTRAPOLATED,
    'table of the processor',
)
def _processor(sums: Sums) -> float:
    return whole(Budget.PROCESSOR, sums) * 100


@_line(
    'control: memory of a node',
    'MB',
    targets.NODE_MEMORY_B / targets.MB,
    Status.EXTRAPOLATED,
    'table of the memory',
)
def _memory(sums: Sums) -> float:
    return whole(Budget.MEMORY, sums) / targets.MB


@_line(
    'control: bytes of a node, sent and received',
    'KB/s',
    targets.NODE_BYTES_PER_S / targets.KB,
    Status.EXTRAPOLATED,
    'table of the bytes',
)
def _traffic(sums: Sums) -> float:
    return whole(Budget.TRAFFIC, sums) / targets.KB


@_line(
    'control: the same in a peak of changes',
    'KB/s',
    targets.NODE_BYTES_PER_S / targets.KB,
    Status.EXTRAPOLATED,
    'table of the bytes in a peak',
)
def _peak_traffic(sums: Sums) -> float:
    return whole(Budget.PEAK_TRAFFIC, sums) / targets.KB


@_line(
    'control: bytes of a node in the minute of its start',
    'KB/s',
    targets.NODE_BYTES_PER_S / targets.KB,
    Status.EXTRAPOLATED,
    'compressed table (`full_size`) in 60 s',
)
def _start_traffic(sums: Sums) -> float:
    return sums.full['compressed_b'] / DOWN_S / targets.KB


@_line(
    '12 VM failures a day: silence until a node is left',
    's',
    targets.IN_FORCE_S,
    Status.ARGUED,
    'two beats and a new link; callers try the next VM named at once',
)
def _failure(_sums: Sums) -> float:
    return fleet_parts.silence_delay()


@_line(
    '2,000 restarts a day: start from nothing, the table in memory',
    's',
    DOWN_S,
    Status.MEASURED,
    'at full size (`full_size`); the fetch and the platform not counted',
)
def _start(sums: Sums) -> float:
    return sums.full['start_s']


@_line(
    '2,000 restarts a day: VMs away at any time',
    'VMs',
    targets.NODES,
    Status.ARGUED,
    '60 s each',
)
def _away(_sums: Sums) -> float:
    return targets.RESTARTS_PER_DAY * DOWN_S / targets.DAY_S


@_line(
    'a rack or switch each week: part of a failure domain lost',
    '%',
    100,
    Status.ARGUED,
    '20 VMs; their shares come back when loans and leases end',
)
def _rack(_sums: Sums) -> float:
    return RACK_VMS / targets.VMS_PER_DOMAIN * 100


@_line(
    'a failure domain back: its tables over one 1 Gbit/s link',
    's',
    DOWN_S,
    Status.EXTRAPOLATED,
    'compressed tables of 171 VMs; from peers once a few have it',
)
def _domain_back(sums: Sums) -> float:
    whole_domain = targets.VMS_PER_DOMAIN * sums.full['compressed_b']
    return whole_domain / LINK_B_PER_S


@_line(
    'regions cut off for minutes: rate of an account in one cut-off domain',
    '%',
    100,
    Status.ARGUED,
    'an equal share of 41; what it borrowed before goes back in seconds',
)
def _cut_off(_sums: Sums) -> float:
    return 100 / targets.FAILURE_DOMAINS


@_line(
    'platform: writes',
    '/s',
    targets.STORE_WRITES_PER_S,
    Status.ARGUED,
    'table of the platform',
)
def _writes(sums: Sums) -> float:
    return whole(Budget.WRITES, sums)


@_line(
    'platform: reads',
    '/s',
    targets.STORE_READS_PER_S,
    Status.ARGUED,
    'table of the platform',
)
def _reads(sums: Sums) -> float:
    return whole(Budget.READS, sums)
