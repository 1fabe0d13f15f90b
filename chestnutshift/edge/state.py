"""The state that the tasks of an edge VM share."""

import math
from collections.abc import Mapping, Sequence

import attrs
import trio

from chestnutshift.crashes.register import CrashRegister
from chestnutshift.edge.metrics import EdgeMetrics
from chestnutshift.edge.settings import EdgeSettings, MemoryBudget
from chestnutshift.edge.stopping import StopSchedule
from chestnutshift.edge.table_trust import TableTrust
from chestnutshift.edge.upstream_reports import UpstreamReports
from chestnutshift.events.log import EventLog
from chestnutshift.fleet.deciders import Deciders
from chestnutshift.fleet.heartbeats import Heartbeat, MemberPhase
from chestnutshift.fleet.shares import AccountShares, Tolerance
from chestnutshift.fleet.store_polling import ChangeTracker, StorePosition
from chestnutshift.fleet.view import FleetView
from chestnutshift.routes.matching import RouteIndex
from chestnutshift.routes.model import RouteTable
from chestnutshift.routes.splitting import Splitter
from chestnutshift.steering.choice import POLICIES, ChoicePolicy
from chestnutshift.steering.directory import UpstreamDirectory
from chestnutshift.steering.freshness import TableFreshness
from chestnutshift.steering.retry_budget import FleetRetryBudget, RetryBounds
from chestnutshift.steering.service_time import ServiceTimeEstimate
from chestnutshift.steering.upstream_rates import UpstreamRates

POLICY = 'soonest'
# Allowance for the time between a key's check and the upstream's receipt of
# the request.
FRESHNESS_MARGIN_S = 0.7
# If the store answered no VM for this long, registrations of live upstreams
# may have lapsed; they are renewed within LAPSE_GRACE_S of its return.
STORE_OUTAGE_MIN_S = 4.4
LAPSE_GRACE_S = 2.0
# A VM whose proof of the route table is older than this, and that hears from
# at most half of the fleet, is isolated. Idle polls prove it more often.
ISOLATED_PROOF_AGE_S = 3.0
# A VM without a request for this long counts as one that serves no callers.
SERVING_AGE_MAX_S = 5.0


def _make_shares(state: 'EdgeState') -> AccountShares:
    bounds = state.settings.bounds
    return AccountShares(
        Tolerance(
            bounds.account_window_s,
            bounds.account_over,
            bounds.account_slack,
        ),
        state.settings.vm,
        state.deciders,
    )


@attrs.define(eq=False)
class EdgeState:
    """Route table, upstreams, peers, limits and settings of one VM."""

    settings: EdgeSettings
    incarnation: int
    event_log: EventLog
    metrics: EdgeMetrics = attrs.field(factory=EdgeMetrics)
    phase: MemberPhase = MemberPhase.STARTING
    stop: StopSchedule = attrs.field(factory=StopSchedule)
    table: RouteTable | None = None
    index: RouteIndex | None = None
    splitter: Splitter = attrs.field(factory=Splitter)
    # How late this VM's timers fire, as a moving average in seconds.
    delay_s: float = 0
    # When the last request was admitted.
    admitted_at: float = -math.inf
    # Names of the live peers, as of the last refresh.
    live_peer_names: Sequence[str] = ()
    operators_changes: ChangeTracker = attrs.field(factory=ChangeTracker)
    upstreams_changes: ChangeTracker = attrs.field(factory=ChangeTracker)
    # Set when the store is found to lack this VM's row.
    registration_lost: trio.Event = attrs.field(factory=trio.Event)
    # The newest era that the store named.
    store_era: int = 0
    # The settings as last read; some take effect only after a restart.
    _settings_read: EdgeSettings | None = None
    # When the store last answered this VM or a peer (boot time).
    _store_answered_at: float | None = None
    directory: UpstreamDirectory = attrs.field(init=False)
    upstream_reports: UpstreamReports = attrs.field(init=False)
    policy: ChoicePolicy = attrs.field(init=False)
    fleet: FleetView = attrs.field(init=False)
    trust: TableTrust = attrs.field(init=False)
    deciders: Deciders = attrs.field(init=False)
    shares: AccountShares = attrs.field(init=False)
    retries: FleetRetryBudget = attrs.field(init=False)
    upstream_rates: UpstreamRates = attrs.field(init=False)
    freshness: TableFreshness = attrs.field(init=False)
    crashes: CrashRegister = attrs.field(init=False)
    memory: MemoryBudget = attrs.field(init=False)
    service_time_estimates: dict[tuple[str, str], ServiceTimeEstimate] = (
        attrs.field(factory=dict)
    )

    @property
    def settings_read(self) -> EdgeSettings:
        """The settings as last read."""
        return self._settings_read or self.settings

    @property
    def table_version(self) -> int:
        """The version of the route table in force, 0 for none."""
        return self.table.version if self.table else 0

    def __attrs_post_init__(self) -> None:
        """Create the parts that depend on the settings."""
        settings = self.settings
        bounds = settings.bounds
        self.directory = UpstreamDirectory(settings.regions)
        self.upstream_reports = UpstreamReports(
            self.directory,
            self.event_log,
            self.metrics.attempts.headers_malformed,
        )
        self.policy = POLICIES.get(POLICY)(
            self.directory,
            settings.failure_domain,
            settings.region,
        )
        self.fleet = FleetView(settings.vm)
        self.trust = TableTrust(self)
        self.deciders = Deciders(settings.vm, settings.region)
        self.shares = _make_shares(self)
        self.retries = FleetRetryBudget(
            RetryBounds(
                bounds.retry_window_s,
                bounds.retry_ratio,
                bounds.retry_slack,
            ),
        )
        self.upstream_rates = UpstreamRates(settings.vm, self.is_isolated)
        self.crashes = CrashRegister(settings.vm)
        self.memory = settings.make_budget()
        self.freshness = TableFreshness(
            bounds.withdrawal_s,
            FRESHNESS_MARGIN_S,
        )

    def reload(self, settings: EdgeSettings) -> list[str]:
        """Apply the bounds of new settings; return the names of changes.

        Other settings take effect only after a restart.
        """
        before = attrs.asdict(self.settings_read, recurse=False)
        after = attrs.asdict(settings, recurse=False)
        self._settings_read = settings
        changed = [name for name in before if before[name] != after[name]]
        if 'bounds' in changed:
            self.settings = attrs.evolve(self.settings, bounds=settings.bounds)
            self.freshness.bound_s = settings.bounds.withdrawal_s
        return changed

    def is_isolated(self, now: float) -> bool:
        """Return whether reports on upstreams may not reach this VM.

        If most VMs are connected, one of them notices what happens to an
        upstream and tells the others, even while the store is away.
        """
        if self.freshness.age_s(now) <= ISOLATED_PROOF_AGE_S:
            return False
        live = len(self.fleet.live_peers(now)) + 1
        return 2 * live <= len(self.fleet.names)

    def is_serving_callers(self, now: float) -> bool:
        """Return whether a request was admitted lately."""
        return now - self.admitted_at < SERVING_AGE_MAX_S

    def is_ready(self, now: float) -> bool:
        """Return whether this VM is ready for callers."""
        if self.phase is not MemberPhase.SERVING or self.table is None:
            return False
        if self.trust.table_problem:
            return False
        return not self.table.needs_keys or self.trust.accepts_keys(now)

    def adopt(self, table: RouteTable) -> bool:
        """Put a route table in force if it is newer; tell whether it was."""
        if self.table is not None and table.version <= self.table.version:
            return False
        self.table = table
        self.index = RouteIndex(table)
        return True

    def record_proof(self, sent_at: float, now: float) -> None:
        """Record that at sent_at the route table was the newest."""
        self.freshness.record_proof(sent_at)
        self.record_store_answer(sent_at, now)

    def record_store_answer(self, answered_at: float, now: float) -> None:
        """Record that the store answered this VM or a peer.

        After an outage, registrations of live upstreams may have lapsed.
        """
        last = self._store_answered_at
        if last is None or answered_at > last:
            self._store_answered_at = answered_at
        if last is not None and answered_at - last > STORE_OUTAGE_MIN_S:
            self.directory.defer_removals(now + LAPSE_GRACE_S)

    def record_era(self, era: int) -> bool:
        """Record the era of an answer; return whether the store returned.

        An answer may name no era: 0.
        """
        before = self.store_era
        self.store_era = max(before, era)
        return bool(before) and era > before

    def cold_s(self) -> Mapping[str, float]:
        """Return how long upstreams stay cold, by service."""
        if self.table is None:
            return {}
        return {
            service.name: service.cold_s
            for service in self.table.services.values()
        }

    def record_heartbeat(self, heartbeat: Heartbeat, now: float) -> None:
        """Record a peer's heartbeat and apply its reports on upstreams."""
        if self.fleet.record_heartbeat(heartbeat, now):
            self.trust.record_named(heartbeat.table_version, now)
            self.upstream_reports.apply(heartbeat, now)
            self.crashes.apply(heartbeat.suspects, now)

    def update_known_changes(self, now: float) -> None:
        """Update the newest store changes that any peer reports."""
        heartbeats = self.fleet.heartbeats(now)
        operators = [heartbeat.operators_changed_at for heartbeat in heartbeats]
        upstreams = [heartbeat.upstreams_changed_at for heartbeat in heartbeats]
        none = StorePosition()
        self.operators_changes.record_peers(max(operators, default=none), now)
        self.upstreams_changes.record_peers(max(upstreams, default=none), now)
