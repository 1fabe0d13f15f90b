"""What the fleet asks of the platform, and how long a change travels."""

import math

from bench.capacity import targets
from bench.capacity.estimates import Budget, Status, Sums, part
from chestnutshift.conf import defaults

# Rows that a relay reads at each poll: the newest number, the list's number.
ROWS_PER_POLL = 2
RENEWALS_PER_LEASE = 3
ROWS_PER_CHANGE = 3
HOP_DELAY_S = 0.001
REGION_DELAY_S = 0.035
REDIAL_S = 0.25


def tree_depth() -> int:
    """Return the hops from a relay to the last VM of its failure domain."""
    vms = targets.VMS_PER_DOMAIN / targets.RELAYS.amount
    return math.ceil(math.log(vms, targets.FIRST_CHILDREN.amount))


@part(
    Budget.READS,
    'polls by relays',
    Status.ARGUED,
    'two small rows: numbers of configuration and list',
)
def _poll_reads(_sums: Sums) -> float:
    relays = targets.FAILURE_DOMAINS * targets.RELAYS.amount
    return relays * ROWS_PER_POLL / targets.POLL_S.amount


@part(
    Budget.READS,
    'rows of changes',
    Status.ARGUED,
    'each relay reads each change, in a peak',
)
def _change_reads(_sums: Sums) -> float:
    relays = targets.FAILURE_DOMAINS * targets.RELAYS.amount
    changes = targets.CHANGES_PER_DAY / targets.DAY_S * targets.PEAK.amount
    return relays * changes


@part(
    Budget.READS,
    'leases of shares',
    Status.ARGUED,
    'each failure domain reads its row before it renews',
)
def _lease_reads(sums: Sums) -> float:
    return _lease_writes(sums)


@part(
    Budget.READS,
    'tables of restarts',
    Status.ARGUED,
    'one object each, in a peak of ten times the mean',
)
def _restart_reads(_sums: Sums) -> float:
    return targets.PEAK.amount * targets.RESTARTS_PER_DAY / targets.DAY_S


@part(
    Budget.WRITES,
    'leases of shares',
    Status.ARGUED,
    'one row for each failure domain, three renewals in a lease',
)
def _lease_writes(_sums: Sums) -> float:
    period_s = defaults.SEAT_LEASE_S / RENEWALS_PER_LEASE
    return targets.FAILURE_DOMAINS / period_s


@part(
    Budget.WRITES,
    'records of runs',
    Status.ARGUED,
    'group commits, one failure domain each',
)
def _run_writes(_sums: Sums) -> float:
    return targets.FAILURE_DOMAINS / targets.GROUP_COMMIT_S.amount


@part(
    Budget.WRITES,
    'changes of configuration',
    Status.ARGUED,
    'number, change and audit row of each, in a peak',
)
def _change_writes(_sums: Sums) -> float:
    changes = targets.CHANGES_PER_DAY / targets.DAY_S * targets.PEAK.amount
    return changes * ROWS_PER_CHANGE


@part(
    Budget.WRITES,
    'places of VMs taken over',
    Status.ARGUED,
    'one row for each restart and failure, in a peak',
)
def _place_writes(_sums: Sums) -> float:
    changes = targets.RESTARTS_PER_DAY + targets.FAILURES_PER_DAY
    return targets.PEAK.amount * changes / targets.DAY_S


@part(
    Budget.IN_FORCE,
    "relay's poll, at worst",
    Status.ARGUED,
    "the poll's period",
)
def _poll_delay(_sums: Sums) -> float:
    return targets.POLL_S.amount


@part(
    Budget.IN_FORCE,
    "platform's answers",
    Status.ARGUED,
    'number, then change; and the way between regions, there and back',
)
def _read_delay(_sums: Sums) -> float:
    return 2 * (targets.READ_S.amount + 2 * REGION_DELAY_S)


@part(
    Budget.IN_FORCE,
    'hops down the tree',
    Status.EXTRAPOLATED,
    '`hop_time`, `child_time`, and 1 ms of way for each hop',
)
def _hop_delay(sums: Sums) -> float:
    children = targets.FIRST_CHILDREN.amount * sums.per('child_time')
    return tree_depth() * (HOP_DELAY_S + sums.per('hop_time') + children)


@part(
    Budget.IN_FORCE,
    'read and check at the VM',
    Status.EXTRAPOLATED,
    '`key_adoption` of the whole document, as today',
)
def _adoption_delay(sums: Sums) -> float:
    return sums.at('key_adoption', targets.KEYS.amount)


def silence_delay() -> float:
    """Return the seconds until a node leaves two dead parents."""
    beats = targets.SILENT_BEATS.amount * targets.HEARTBEAT_S.amount
    return beats + REDIAL_S
