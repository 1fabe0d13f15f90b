"""Estimates for the traffic of a relay, the root of a distribution tree."""

from bench.capacity import targets
from bench.capacity.estimates import Budget, Results, Status, part
from bench.capacity.node_parts import (
    CHANGES_PER_S,
    HEADERS_B,
    LOAN_DIRECTIONS,
    MEMBER_CHANGES_PER_S,
)

OTHER_RELAYS = targets.RELAYS.amount - 1
LINKS = targets.RELAY_CHILDREN.amount + OTHER_RELAYS
COPIES = LINKS
# The links to the other domains are divided over the relays.
DOMAIN_LINKS = (targets.FAILURE_DOMAINS - 1) / targets.RELAYS.amount


@part(
    Budget.RELAY_TRAFFIC,
    'heartbeats with children and relays',
    Status.EXTRAPOLATED,
    '`short_heartbeat_size` and headers',
)
def _heartbeat_traffic(results: Results) -> float:
    exchange = results.per_unit('short_heartbeat_size') + HEADERS_B
    return LINKS * exchange / targets.HEARTBEAT_S.amount


@part(
    Budget.RELAY_TRAFFIC,
    'summaries with other domains',
    Status.EXTRAPOLATED,
    '`short_heartbeat_size`, a summary each way, headers',
)
def _domain_traffic(results: Results) -> float:
    summaries = 2 * targets.SUMMARY_B.amount
    exchange = results.per_unit('short_heartbeat_size') + summaries + HEADERS_B
    return DOMAIN_LINKS * exchange / targets.SUMMARY_S.amount


@part(
    Budget.RELAY_TRAFFIC,
    'summaries to children and relays',
    Status.ARGUED,
    'changed ones only, in one frame',
)
def _summary_traffic(_results: Results) -> float:
    changed = targets.FAILURE_DOMAINS * targets.CHANGED_SHARE.amount
    frame = changed * targets.SUMMARY_B.amount + HEADERS_B
    return COPIES * frame / targets.SUMMARY_S.amount


@part(
    Budget.RELAY_TRAFFIC,
    'polls of the platform',
    Status.ARGUED,
    "one relay's turn",
)
def _poll_traffic(_results: Results) -> float:
    return (targets.POLL_B.amount + HEADERS_B) / targets.POLL_S.amount


@part(
    Budget.RELAY_TRAFFIC,
    'changes, VMs that come and go',
    Status.EXTRAPOLATED,
    '`change_size`, record of a VM; to children and relays',
)
def change_traffic(results: Results) -> float:
    """Return the bytes per second of changes; raise MissingSlopeError."""
    change = CHANGES_PER_S * (results.per_unit('change_size') + HEADERS_B)
    member = MEMBER_CHANGES_PER_S * (targets.MEMBER_B.amount + HEADERS_B)
    return COPIES * (change + member)


@part(
    Budget.RELAY_TRAFFIC,
    'loans of shares',
    Status.ARGUED,
    'batches with children and relays, in heartbeats',
)
def _loan_traffic(_results: Results) -> float:
    batch = targets.LOAN_ACCOUNTS.amount * targets.LOAN_ENTRY_B.amount
    return COPIES * LOAN_DIRECTIONS * batch / targets.LOAN_S.amount
