"""Estimates for the platform's load and for the delay of a change."""

import math

from bench.capacity import targets
from bench.capacity.estimates import Budget, Results, Status, part
from chestnutshift.conf import defaults

RENEWALS_PER_LEASE = 3
ROWS_PER_CHANGE = 3
HOP_DELAY_S = 0.001
REGION_DELAY_S = 0.035
RECONNECT_S = 0.25


def tree_depth() -> int:
    """Return the hops from a relay to the last VM of its failure domain."""
    vms = targets.VMS_PER_DOMAIN / targets.RELAYS.amount
    return math.ceil(math.log(vms, targets.FIRST_CHILDREN.amount))


@part(
    Budget.READS,
    'polls by relays',
    Status.ARGUED,
    'one small row: numbers of configuration, list and table',
)
def _poll_reads(_results: Results) -> float:
    relays = targets.FAILURE_DOMAINS * targets.RELAYS.amount
    return relays / targets.POLL_S.amount


@part(
    Budget.READS,
    'rows of changes',
    Status.ARGUED,
    'each relay reads each change, in a peak',
)
def _change_reads(_results: Results) -> float:
    relays = targets.FAILURE_DOMAINS * targets.RELAYS.amount
    changes = targets.CHANGES_PER_DAY / targets.DAY_S * targets.PEAK.amount
    return relays * changes


@part(
    Budget.READS,
    'leases of shares',
    Status.ARGUED,
    'each failure domain reads its row before it renews',
)
def _lease_reads(results: Results) -> float:
    return _lease_writes(results)


@part(
    Budget.READS,
    'tables of restarts',
    Status.ARGUED,
    'one object each, in a peak of ten times the mean',
)
def _restart_reads(_results: Results) -> float:
    return targets.PEAK.amount * targets.RESTARTS_PER_DAY / targets.DAY_S


@part(
    Budget.WRITES,
    'leases of shares',
    Status.ARGUED,
    'one row for each failure domain, three renewals in a lease',
)
def _lease_writes(_results: Results) -> float:
    period_s = defaults.SEAT_LEASE_S / RENEWALS_PER_LEASE
    return targets.FAILURE_DOMAINS / period_s


@part(
    Budget.WRITES,
    'records of runs',
    Status.ARGUED,
    'group commits, one failure domain each',
)
def _run_writes(_results: Results) -> float:
    return targets.FAILURE_DOMAINS / targets.GROUP_COMMIT_S.amount


@part(
    Budget.WRITES,
    'changes of configuration',
    Status.ARGUED,
    'number, change and audit row of each, in a peak',
)
def _change_writes(_results: Results) -> float:
    changes = targets.CHANGES_PER_DAY / targets.DAY_S * targets.PEAK.amount
    return changes * ROWS_PER_CHANGE


@part(
    Budget.WRITES,
    'places of VMs taken over',
    Status.ARGUED,
    'one row for each restart and failure, in a peak',
)
def _place_writes(_results: Results) -> float:
    changes = targets.RESTARTS_PER_DAY + targets.FAILURES_PER_DAY
    return targets.PEAK.amount * changes / targets.DAY_S


@part(
    Budget.IN_FORCE,
    'poll by a relay, at worst',
    Status.ARGUED,
    'the relays take turns, and one of them is dead',
)
def _poll_delay(_results: Results) -> float:
    return 2 * targets.POLL_S.amount / targets.RELAYS.amount


@part(
    Budget.IN_FORCE,
    "platform's answers",
    Status.ARGUED,
    'number, then change; plus the delay between regions, there and back',
)
def _read_delay(_results: Results) -> float:
    return 2 * (targets.READ_S.amount + 2 * REGION_DELAY_S)


@part(
    Budget.IN_FORCE,
    'hops down the tree',
    Status.EXTRAPOLATED,
    '`hop_time`, `child_time`, and 1 ms of network delay for each hop',
)
def _hop_delay(results: Results) -> float:
    children = targets.FIRST_CHILDREN.amount * results.per_unit('child_time')
    return tree_depth() * (
        HOP_DELAY_S + results.per_unit('hop_time') + children
    )


@part(
    Budget.IN_FORCE,
    'read and check at the VM',
    Status.EXTRAPOLATED,
    '`key_adoption` of the whole document, as today',
)
def _adoption_delay(results: Results) -> float:
    return results.at('key_adoption', targets.KEYS.amount)


def silence_delay_s() -> float:
    """Return the seconds until a node has replaced its dead parents."""
    silence_s = targets.MISSED_HEARTBEATS.amount * targets.HEARTBEAT_S.amount
    return silence_s + RECONNECT_S
