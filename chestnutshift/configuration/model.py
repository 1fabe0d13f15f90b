"""Typed content of a numbered configuration.

Times are in seconds, sizes in bytes, rates per second. Configurations are
immutable: every change makes a new one with the next number.
"""

import attrs

from chestnutshift.conf import defaults


@attrs.frozen
class Service:
    """A service that upstreams offer under a path prefix."""

    name: str
    path: str
    open: bool = False
    idempotent: bool = True


@attrs.frozen
class AccountLimit:
    """Rate and burst of one client account, over all VMs together."""

    rate: float
    burst: float


@attrs.frozen
class LookupPreset:
    """The lifetimes of look-up answers, ordinary and during a move."""

    lifetime_s: float = defaults.LOOKUP_LIFETIME_S
    moving_lifetime_s: float = defaults.LOOKUP_MOVING_LIFETIME_S


@attrs.frozen
class KeysPreset:
    """The time for which a VM trusts keys after their last confirmation."""

    trust_s: float = defaults.KEY_TRUST_S


@attrs.frozen
class SharesPreset:
    """The lease, floor and loan times of dividing account rates over VMs."""

    lease_s: float = defaults.SEAT_LEASE_S
    floor_s: float = defaults.SEAT_FLOOR_S
    loan_s: float = defaults.LOAN_S


@attrs.frozen
class RetriesPreset:
    """Retries allowed per first attempt, and the reserve of an idle budget."""

    ratio: float = defaults.RETRY_RATIO
    reserve: float = defaults.RETRY_RESERVE


@attrs.frozen
class ShiftPreset:
    """Cap and ramp of a shift, for each source and target region."""

    requests_per_s: float = defaults.SHIFT_REQUEST_RATE
    bytes_per_s: float = defaults.SHIFT_BYTES_RATE
    ramp_s: float = defaults.SHIFT_RAMP_S
    region_ceiling: float = defaults.REGION_CEILING


@attrs.frozen
class UpstreamsPreset:
    """Connections to one upstream, its warm-up and the age of its reports."""

    connection_pace_s: float = defaults.CONNECTION_PACE_S
    connections_max: int = defaults.CONNECTIONS_MAX
    warm_up_s: float = defaults.WARM_UP_S
    report_age_s: float = defaults.REPORT_AGE_S
    policy: str = 'observed'


@attrs.frozen
class Preset:
    """A named set of all values that operators can adjust."""

    accounts: dict[str, AccountLimit]
    deadline_s: float = defaults.REQUEST_DEADLINE_S
    body_limit_b: int = defaults.BODY_LIMIT_B
    lookup: LookupPreset = attrs.field(factory=LookupPreset)
    keys: KeysPreset = attrs.field(factory=KeysPreset)
    shares: SharesPreset = attrs.field(factory=SharesPreset)
    retries: RetriesPreset = attrs.field(factory=RetriesPreset)
    shift: ShiftPreset = attrs.field(factory=ShiftPreset)
    upstreams: UpstreamsPreset = attrs.field(factory=UpstreamsPreset)


@attrs.frozen
class KeyRecord:
    """The client account and label of a key that is known by its digest."""

    account: str
    label: str
    withdrawn: bool = False


@attrs.frozen
class Configuration:
    """A numbered configuration; higher numbers replace lower ones."""

    number: int
    deployment: str
    services: tuple[Service, ...]
    presets: dict[str, Preset]
    in_force: str
    keys: dict[str, KeyRecord] = attrs.field(factory=dict)
    drains: frozenset[str] = frozenset()

    @property
    def preset(self) -> Preset:
        """The preset in force."""
        return self.presets[self.in_force]
