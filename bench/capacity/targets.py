"""The target size of the system, and the assumptions of the estimates."""

import attrs

DAY_S = 86_400.0
MB = 1_000_000.0
KB = 1_000.0

NODES = 7_000
BLOCKS = 2_300_000
SITES = 1_700
LOOKUPS_PER_S = 2_500_000
REGIONS = 20
FAILURE_DOMAINS = 41
CHANGES_PER_DAY = 4_100
IN_FORCE_S = 7.0
NODE_CORE_SHARE = 0.043
NODE_MEMORY_B = 256 * MB
NODE_BYTES_PER_S = 2 * KB
FAILURES_PER_DAY = 12
RESTARTS_PER_DAY = 2_000
STORE_WRITES_PER_S = 300
STORE_READS_PER_S = 2_000

VMS_PER_DOMAIN = round(NODES / FAILURE_DOMAINS)
DOMAINS_PER_REGION = FAILURE_DOMAINS / REGIONS
LOOKUPS_PER_NODE_S = LOOKUPS_PER_S / NODES


@attrs.frozen
class Assumption:
    """A number that the estimates need and the target does not give."""

    name: str
    amount: float
    unit: str
    reason: str


def _assume(name: str, amount: float, unit: str, reason: str) -> Assumption:
    assumption = Assumption(name, amount, unit, reason)
    ASSUMPTIONS.append(assumption)
    return assumption


ASSUMPTIONS: list[Assumption] = []

ACCOUNTS = _assume(
    'client accounts',
    10_000,
    '',
    'not given; about six for each site',
)
KEYS = _assume('keys', 20_000, '', 'not given; two for each account')
PRESETS = _assume('presets', 3, '', 'as today: ordinary, peak, maintenance')
RELAYS = _assume(
    'relays per failure domain',
    4,
    '',
    'one may die and one may leave; they share the links between domains',
)
CHILDREN = _assume(
    'children of one node',
    4,
    '',
    'bounded by 2 KB/s; it is first parent of two and second parent of two',
)
FIRST_CHILDREN = _assume(
    'children that a node sends changes to',
    2,
    '',
    'the others ask when its heartbeat names a newer number',
)
RELAY_CHILDREN = _assume(
    'children of a relay',
    2,
    '',
    'it also has links to the other relays and to other domains',
)
PARENTS = _assume(
    'parents of one node',
    2,
    '',
    'with a dead first parent, a change comes one heartbeat later',
)
HEARTBEAT_S = _assume('heartbeat on a tree link', 2, 's', 'today 0.25 s')
SUMMARY_S = _assume(
    'summary of a failure domain',
    10,
    's',
    'headroom in quarters, live and leaving VMs, numbers in force',
)
LOAN_S = _assume('batch of loans', 4, 's', 'sent with every second heartbeat')
LOAN_ACCOUNTS = _assume(
    'accounts in a batch of loans',
    10,
    '',
    'accounts whose demand at the node changed within the batch',
)
POLL_S = _assume(
    "one relay's poll of the platform",
    2,
    's',
    'the relays of a domain take turns and tell each other; today 0.5 s',
)
POLL_B = _assume(
    'request and answer of a poll',
    500,
    'B',
    'one small row of numbers, with HTTP headers',
)
READ_S = _assume("the platform's answer", 0.25, 's', 'not measured; slow day')
PEAK = _assume('peak over mean of changes', 10, '', 'office hours and bursts')
CHANGED_SHARE = _assume(
    'part of the summaries that change in a period',
    0.25,
    '',
    'headroom is in quarters; unchanged ones are not sent',
)
SUMMARY_B = _assume(
    'summary of one failure domain',
    24,
    'B',
    'number of the domain, counts, headroom, number in force',
)
MEMBER_B = _assume(
    'record of one VM',
    48,
    'B',
    'name, incarnation, address, state',
)
LOAN_ENTRY_B = _assume(
    'entry of a batch of loans',
    12,
    'B',
    "account's index and three small integers; today's message has its name",
)
ACTIVE_ACCOUNTS = _assume(
    'accounts with demand at a node',
    100,
    '',
    'the others are neither planned nor renewed there',
)
PLAN_S = _assume('plan of loans', 0.25, 's', 'today every 50 ms')
MISSED_HEARTBEATS = _assume(
    'heartbeats missed before a peer is silent', 2, '', 'on a tree link'
)
GROUP_COMMIT_S = _assume(
    'group commit of records of runs',
    0.25,
    's',
    'one write for all bookings of a failure domain in that time',
)
PACKET_B = _assume(
    'headers of one packet',
    66,
    'B',
    'Ethernet, IPv4 and TCP with timestamps; TLS not counted',
)
