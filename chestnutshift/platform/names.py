"""Names of the platform's headers, tables, keys and paths."""

REQUEST_ID = b'x-chestnutshift-request-id'
DEADLINE = b'x-chestnutshift-deadline-ms'
# The key of the object that a request concerns, not of a caller's session.
OBJECT_KEY = b'x-chestnutshift-affinity-key'
ACCOUNT = b'x-chestnutshift-tenant'
EXPECTED_UPSTREAM = b'x-chestnutshift-expect-instance'
UPSTREAM = b'x-chestnutshift-instance-id'
# Proves that an upstream produced the answer.
SEAL = b'x-chestnutshift-server-seal'
# Running requests, waiting requests and slots, separated by commas.
LOAD = b'x-chestnutshift-server-load'
NOT_RUN = b'x-chestnutshift-not-executed'
COLD_MS = b'x-chestnutshift-cold-ms'
# Rises when the store returns from an older copy; named with or without the
# prefix.
STORE_ERA = (b'store-era', b'x-chestnutshift-store-era')
RESERVED_PREFIX = b'x-chestnutshift-'
# Requests a second that an upstream accepts from all VMs together; named with
# or without the prefix.
RATE_LIMIT = (b'server-limit', b'x-chestnutshift-server-limit')
# Whether the upstream leaves; named with or without the prefix.
LEAVING = (b'server-leaving', b'x-chestnutshift-server-leaving')
IS_LEAVING = b'1'
# Headers of an upstream's answer that are read or need no reading.
ANSWER_HEADERS = frozenset(
    (
        REQUEST_ID,
        UPSTREAM,
        SEAL,
        LOAD,
        NOT_RUN,
        COLD_MS,
        *RATE_LIMIT,
        *LEAVING,
        b'connection',
        b'content-encoding',
        b'content-length',
        b'content-type',
        b'date',
        b'keep-alive',
        b'retry-after',
        b'server',
        b'transfer-encoding',
    )
)
KEY_SCHEME = b'token'

OPERATOR_TABLE = 'op'
UPSTREAM_TABLE = 'servers'
# The whole route table is stored in one row.
ROUTE_TABLE_KEY = 'config'
EVACUATION_PREFIX = 'evacuate/'
VM_TABLE = 'vms'

READ_ROWS_PATH = '/-/rows-get'
FOLLOW_ROWS_PATH = '/-/rows-feed'
CHANGE_ROWS_PATH = '/-/rows-tx'
READINESS_PATH = '/-/readyz'
LOOKUP_PATH = '/-/resolve'

SETTINGS_VARIABLE = 'CHESTNUTSHIFT_SETTINGS'
