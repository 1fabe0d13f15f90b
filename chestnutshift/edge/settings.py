"""Settings of an edge VM, independent of the file format."""

from collections.abc import Mapping

import attrs

from chestnutshift.memory.budget import MemoryBudget
from chestnutshift.memory.sizes import make_budget


@attrs.frozen
class Endpoint:
    """An IP address and a port."""

    address: str
    port: int

    def __str__(self) -> str:
        """Return address:port."""
        return f'{self.address}:{self.port}'


@attrs.frozen
class StoreSettings:
    """The store's endpoint and the call rates that it permits.

    Rates are calls per second of all VMs together. Live upstreams renew their
    registration every registration_period_s.
    """

    endpoint: Endpoint
    reads_rate: float
    writes_rate: float
    registration_period_s: float


@attrs.frozen
class Bounds:
    """Service-level bounds of a deployment.

    Names that end in _s are durations in seconds, counted from the store's
    confirmation of the change. account_over is the tolerated excess over an
    account's limit as a fraction of it. Bounds that a deployment does not set
    keep the defaults here.
    """

    contact_s: float = 3
    drain_s: float = 2.5
    grace_s: float = 6
    table_s: float = 2.5
    withdrawal_s: float = 5
    bounds_withdrawals: bool = True
    evacuation_s: float = 5
    address_reuse_s: float = 2
    lookup_lifetime_s: float = 5
    retry_ratio: float = 0.2
    retry_slack: float = 64
    retry_window_s: float = 10
    account_over: float = 0.1
    account_slack: float = 20
    account_window_s: float = 5
    cold_over: float = 1.5
    cold_slack: float = 5
    region_shift_max: float = 0.15


@attrs.frozen
class EdgeSettings:
    """Location, addresses, store and bounds of one edge VM.

    regions maps each failure domain to its region. link_mbps is the bandwidth
    of the VM's network link in megabits per second, 0 if unknown. memory_b is
    the size beyond which the process is killed, 0 if unknown.
    crossings_port is for requests that peers pass on.
    """

    vm: str
    address: str
    failure_domain: str
    region: str
    callers: Endpoint
    readiness: Endpoint
    lookups: Endpoint
    peer_port: int
    metrics_port: int
    crossings_port: int
    regions: Mapping[str, str]
    descriptors_max: int
    store: StoreSettings
    bounds: Bounds
    link_mbps: float = 0
    memory_b: int = 0

    def make_budget(self) -> MemoryBudget:
        """Return a budget of what callers may use of the memory."""
        return make_budget(self.memory_b)

    @property
    def crossings(self) -> Endpoint:
        """The endpoint for requests that peers pass on."""
        return attrs.evolve(self.callers, port=self.crossings_port)
