"""Estimates for one node's control work: memory, bytes and processor.

The node is an inner node of a distribution tree. It has the most links, to
its parents and its children. Bytes include those sent and those received.
"""

from bench.capacity import targets
from bench.capacity.estimates import Budget, Results, Status, part
from chestnutshift.events.log import KEPT_EVENTS

LINKS = targets.CHILDREN.amount + targets.PARENTS.amount
# One from the first parent, and one to each child whose first parent this is.
COPIES = 1 + targets.FIRST_CHILDREN.amount
HEADERS_B = 2 * targets.PACKET_B.amount
CHANGES_PER_S = targets.CHANGES_PER_DAY / targets.DAY_S
MEMBER_CHANGES_PER_S = (
    2 * (targets.RESTARTS_PER_DAY + targets.FAILURES_PER_DAY) / targets.DAY_S
)
# The answer to a batch of loan requests is as long as the batch.
LOAN_DIRECTIONS = 2


def accounts_of_presets() -> float:
    """Return the number of account limits in the configuration."""
    return targets.ACCOUNTS.amount * targets.PRESETS.amount


def exchanges_per_s() -> float:
    """Return the heartbeats per second that a node sends or answers."""
    return LINKS / targets.HEARTBEAT_S.amount


@part(
    Budget.MEMORY,
    'process with all modules',
    Status.MEASURED,
    'resident after import (`start`)',
)
def _base_memory(results: Results) -> float:
    return results.full['base_b']


@part(
    Budget.MEMORY,
    'table of client blocks',
    Status.MEASURED,
    'resident at full size (`full_size`)',
)
def _table_memory(results: Results) -> float:
    return results.full['resident_b']


@part(
    Budget.MEMORY,
    'entry VMs',
    Status.EXTRAPOLATED,
    '`view_memory` at 7,000 VMs',
)
def _view_memory(results: Results) -> float:
    return results.at('view_memory', targets.NODES)


@part(
    Budget.MEMORY,
    'counts of cached answers',
    Status.EXTRAPOLATED,
    '`outstanding_memory` for the VMs of three regions',
)
def _outstanding_memory(results: Results) -> float:
    named = 3 * targets.NODES / targets.REGIONS
    return results.at('outstanding_memory', named)


@part(
    Budget.MEMORY,
    'configuration',
    Status.EXTRAPOLATED,
    '`key_memory`, `account_memory`; twice while a new one replaces it',
)
def _configuration_memory(results: Results) -> float:
    keys = results.per_unit('key_memory') * targets.KEYS.amount
    accounts = results.per_unit('account_memory') * accounts_of_presets()
    return 2 * (keys + accounts)


@part(
    Budget.MEMORY,
    'shares of accounts',
    Status.EXTRAPOLATED,
    '`share_memory` for every account',
)
def _share_memory(results: Results) -> float:
    return results.per_unit('share_memory') * targets.ACCOUNTS.amount


@part(
    Budget.MEMORY,
    'kept events',
    Status.EXTRAPOLATED,
    '`event_memory` for the events kept',
)
def _event_memory(results: Results) -> float:
    return results.at('event_memory', KEPT_EVENTS)


@part(
    Budget.TRAFFIC,
    'heartbeats on tree links',
    Status.EXTRAPOLATED,
    '`short_heartbeat_size` and headers',
)
def _heartbeat_traffic(results: Results) -> float:
    exchange = results.per_unit('short_heartbeat_size') + HEADERS_B
    return exchanges_per_s() * exchange


@part(
    Budget.TRAFFIC,
    'changes of configuration and blocks',
    Status.EXTRAPOLATED,
    '`change_size`: one copy in, one to each first child',
)
def _change_traffic(results: Results) -> float:
    change = results.per_unit('change_size') + HEADERS_B
    return CHANGES_PER_S * COPIES * change


@part(
    Budget.TRAFFIC,
    'VMs that come and go',
    Status.ARGUED,
    'record of one VM, passed on like changes',
)
def _member_traffic(_results: Results) -> float:
    return MEMBER_CHANGES_PER_S * COPIES * (targets.MEMBER_B.amount + HEADERS_B)


@part(
    Budget.TRAFFIC,
    'summaries of the failure domains',
    Status.ARGUED,
    'changed ones only, in one frame, passed on like changes',
)
def _summary_traffic(_results: Results) -> float:
    changed = targets.FAILURE_DOMAINS * targets.CHANGED_SHARE.amount
    frame = changed * targets.SUMMARY_B.amount + HEADERS_B
    return COPIES * frame / targets.SUMMARY_S.amount


@part(
    Budget.TRAFFIC,
    'loans of shares',
    Status.ARGUED,
    'batches with the first parent and first children, in heartbeats',
)
def _loan_traffic(_results: Results) -> float:
    batch = targets.LOAN_ACCOUNTS.amount * targets.LOAN_ENTRY_B.amount
    return COPIES * LOAN_DIRECTIONS * batch / targets.LOAN_S.amount


@part(
    Budget.TRAFFIC,
    "tables of restarts, a day's mean",
    Status.EXTRAPOLATED,
    'bytes of the whole table (`full_size`) for 2,000 restarts',
)
def _restart_traffic(results: Results) -> float:
    restarts = targets.RESTARTS_PER_DAY / targets.NODES
    return restarts * results.full['compressed_b'] / targets.DAY_S


@part(
    Budget.PEAK_TRAFFIC,
    'changes in a peak',
    Status.EXTRAPOLATED,
    '`change_size`, as above',
)
def _peak_traffic(results: Results) -> float:
    return _change_traffic(results) * targets.PEAK.amount


@part(
    Budget.PEAK_TRAFFIC,
    'everything else',
    Status.EXTRAPOLATED,
    'the parts above',
)
def _other_traffic(results: Results) -> float:
    return (
        _heartbeat_traffic(results)
        + _member_traffic(results)
        + _summary_traffic(results)
        + _loan_traffic(results)
        + _restart_traffic(results)
    )


@part(
    Budget.PROCESSOR,
    'heartbeats on tree links',
    Status.EXTRAPOLATED,
    '`heartbeat_time`, both sides of each exchange',
)
def _heartbeat_processor(results: Results) -> float:
    return exchanges_per_s() * results.per_unit('heartbeat_time')


@part(
    Budget.PROCESSOR,
    'changes passed on',
    Status.EXTRAPOLATED,
    '`hop_time`, `child_time`, in a peak',
)
def _change_processor(results: Results) -> float:
    hop = results.per_unit('hop_time') + COPIES * results.per_unit('child_time')
    return CHANGES_PER_S * targets.PEAK.amount * hop


@part(
    Budget.PROCESSOR,
    'changes put in force',
    Status.EXTRAPOLATED,
    '`key_adoption`: each as a whole document, as today',
)
def _adoption_processor(results: Results) -> float:
    adoption = results.at('key_adoption', targets.KEYS.amount)
    return CHANGES_PER_S * adoption


@part(
    Budget.PROCESSOR,
    'blocks changed in the table',
    Status.MEASURED,
    'one change at full size (`full_size`), in a peak',
)
def _block_processor(results: Results) -> float:
    return CHANGES_PER_S * targets.PEAK.amount * results.full['change_s']


@part(
    Budget.PROCESSOR,
    'ranks after VMs came and went',
    Status.EXTRAPOLATED,
    '`rerank` for every region, with every bucket asked for',
)
def _rank_processor(results: Results) -> float:
    rerank = results.at('rerank', targets.NODES / targets.REGIONS)
    return MEMBER_CHANGES_PER_S * rerank


@part(
    Budget.PROCESSOR,
    'plans and renewals of shares',
    Status.EXTRAPOLATED,
    '`share_plan`, `share_renewal` of the accounts with demand',
)
def _share_processor(results: Results) -> float:
    plans = results.per_unit('share_plan') / targets.PLAN_S.amount
    renewals = results.per_unit('share_renewal') / targets.LOAN_S.amount
    return targets.ACTIVE_ACCOUNTS.amount * (plans + renewals)


@part(
    Budget.PROCESSOR,
    'numbered events of control',
    Status.EXTRAPOLATED,
    '`event_time`, one for each message',
)
def _event_processor(results: Results) -> float:
    messages = exchanges_per_s() + LINKS * CHANGES_PER_S * targets.PEAK.amount
    return messages * results.per_unit('event_time')
