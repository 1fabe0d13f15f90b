"""Checks of a configuration; each yields key, problem and what is allowed."""

from collections.abc import Iterator

from chestnutshift.checks.registry import CONFIGURATION, Finding
from chestnutshift.configuration.model import (
    Configuration,
    Preset,
    SharesPreset,
    ShiftPreset,
    UpstreamsPreset,
)
from chestnutshift.upstreams.choice import POLICIES

RESERVED_PREFIX = '/steering'
LOOKUP_LIFETIME_MAX_S = 300.0
KEY_TRUST_MAX_S = 60.0
RATE_MAX_PER_S = 1e6
# In requests.
BURST_MAX = 1e6
SHIFT_REQUESTS_MAX_PER_S = 1e6
SHIFT_BYTES_MAX_PER_S = 1e10


@CONFIGURATION.register('C001')
def preset_in_force_exists(configuration: Configuration) -> Iterator[Finding]:
    """The preset in force exists."""
    if configuration.in_force in configuration.presets:
        return
    known = ', '.join(sorted(configuration.presets)) or 'no presets'
    problem = f'there is no preset {configuration.in_force!r}'
    yield 'in_force', problem, f'allowed: {known}'


@CONFIGURATION.register('C002')
def service_paths(configuration: Configuration) -> Iterator[Finding]:
    """Service paths are absolute, distinct and not reserved."""
    used_paths: set[str] = set()
    for service in configuration.services:
        key = f'services.{service.name}.path'
        path = service.path
        if not path.startswith('/') or path.endswith('/'):
            yield key, f'{path!r} is not a path prefix', 'allowed: /name'
        if path == RESERVED_PREFIX or path.startswith(f'{RESERVED_PREFIX}/'):
            yield (
                key,
                f'{path!r} is reserved',
                f'allowed: not under {RESERVED_PREFIX}',
            )
        if path in used_paths:
            yield (
                key,
                f'{path!r} is used twice',
                'allowed: one service per path',
            )
        used_paths.add(path)


@CONFIGURATION.register('C003')
def limits_in_range(configuration: Configuration) -> Iterator[Finding]:
    """Rates and bursts of accounts are within their ranges."""
    for name, preset in configuration.presets.items():
        for account, limit in preset.accounts.items():
            key = f'presets.{name}.accounts.{account}'
            # Written so that NaN, which fails every comparison, is refused.
            if not 0 < limit.rate <= RATE_MAX_PER_S:
                allowed = f'allowed: above 0, up to {RATE_MAX_PER_S:g}'
                yield (
                    f'{key}.rate',
                    f'{limit.rate} per s is out of range',
                    allowed,
                )
            if not 1 <= limit.burst <= BURST_MAX:
                allowed = f'allowed: 1 to {BURST_MAX:g}'
                yield f'{key}.burst', f'{limit.burst} is out of range', allowed


@CONFIGURATION.register('C004')
def same_accounts(configuration: Configuration) -> Iterator[Finding]:
    """All presets have the same accounts: choosing one locks no account out."""
    all_accounts = {
        account
        for preset in configuration.presets.values()
        for account in preset.accounts
    }
    for name, preset in configuration.presets.items():
        for account in sorted(all_accounts - preset.accounts.keys()):
            yield (
                f'presets.{name}.accounts',
                f'{account!r} is missing',
                'allowed: the same accounts in every preset',
            )


@CONFIGURATION.register('C005')
def keys_have_accounts(configuration: Configuration) -> Iterator[Finding]:
    """Every key belongs to an account of the preset in force."""
    preset = configuration.presets.get(configuration.in_force)
    accounts = preset.accounts if preset else {}
    for digest, record in configuration.keys.items():
        if record.account in accounts or record.withdrawn:
            continue
        problem = f'belongs to {record.account!r}, which is not an account'
        known = ', '.join(sorted(accounts))
        yield f'keys.{digest[:12]}', problem, f'allowed: {known}'


@CONFIGURATION.register('C006')
def preset_numbers_in_range(configuration: Configuration) -> Iterator[Finding]:
    """Times, sizes and ratios of a preset are within their ranges."""
    for name, preset in configuration.presets.items():
        for key, number, low, high in _ranges(preset):
            if low <= number <= high:
                continue
            problem = f'{number} is out of range'
            yield f'presets.{name}.{key}', problem, f'allowed: {low} to {high}'


def _ranges(preset: Preset) -> Iterator[tuple[str, float, float, float]]:
    yield 'deadline_s', preset.deadline_s, 0.1, 600.0
    yield 'body_limit_b', preset.body_limit_b, 1024, 2**33
    lookup = preset.lookup
    yield 'lookup.lifetime_s', lookup.lifetime_s, 1.0, LOOKUP_LIFETIME_MAX_S
    moving_s = lookup.moving_lifetime_s
    yield 'lookup.moving_lifetime_s', moving_s, 0.5, LOOKUP_LIFETIME_MAX_S
    yield 'keys.trust_s', preset.keys.trust_s, 1.0, KEY_TRUST_MAX_S
    yield 'retries.ratio', preset.retries.ratio, 0, 0.5
    yield 'retries.reserve', preset.retries.reserve, 0, 1000.0
    yield from _share_ranges(preset.shares)
    yield from _shift_ranges(preset.shift)
    yield from _upstream_ranges(preset.upstreams)


def _share_ranges(
    shares: SharesPreset,
) -> Iterator[tuple[str, float, float, float]]:
    yield 'shares.lease_s', shares.lease_s, 2.0, 60.0
    yield 'shares.floor_s', shares.floor_s, shares.lease_s, 86400.0
    yield 'shares.loan_s', shares.loan_s, 0.5, shares.lease_s


def _shift_ranges(
    shift: ShiftPreset,
) -> Iterator[tuple[str, float, float, float]]:
    rate = shift.requests_per_s
    yield 'shift.requests_per_s', rate, 0, SHIFT_REQUESTS_MAX_PER_S
    yield 'shift.bytes_per_s', shift.bytes_per_s, 0, SHIFT_BYTES_MAX_PER_S
    yield 'shift.region_ceiling', shift.region_ceiling, 0.05, 1.0
    yield 'shift.ramp_s', shift.ramp_s, 1.0, 3600.0


def _upstream_ranges(
    upstreams: UpstreamsPreset,
) -> Iterator[tuple[str, float, float, float]]:
    pace_s = upstreams.connection_pace_s
    yield 'upstreams.connection_pace_s', pace_s, 0, 1.0
    yield 'upstreams.warm_up_s', upstreams.warm_up_s, 0, 600.0
    yield 'upstreams.report_age_s', upstreams.report_age_s, 0.5, 60.0
    yield 'upstreams.connections_max', upstreams.connections_max, 1, 400


@CONFIGURATION.register('C007')
def drain_names_valid(configuration: Configuration) -> Iterator[Finding]:
    """Drain targets consist of letters, digits, dots, dashes, underscores."""
    for target in sorted(configuration.drains):
        stripped = target.replace('-', '').replace('.', '').replace('_', '')
        if not stripped.isalnum():
            yield (
                'drains',
                f'{target!r} is not a valid name',
                'allowed: a-z 0-9 . - _',
            )


@CONFIGURATION.register('C008')
def number_positive(configuration: Configuration) -> Iterator[Finding]:
    """Configurations are numbered from 1."""
    if configuration.number < 1:
        yield 'number', str(configuration.number), 'allowed: 1 or more'


@CONFIGURATION.register('C009')
def services_exist(configuration: Configuration) -> Iterator[Finding]:
    """There is at least one service, and service names are unique."""
    names = [service.name for service in configuration.services]
    if not names:
        yield 'services', 'no service is defined', 'allowed: one or more'
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f'services.{name}', 'the name is used twice', 'allowed: once'


@CONFIGURATION.register('C010')
def policies_known(configuration: Configuration) -> Iterator[Finding]:
    """The policy that chooses upstreams is a registered one."""
    for name, preset in configuration.presets.items():
        policy = preset.upstreams.policy
        if policy not in set(POLICIES):
            key = f'presets.{name}.upstreams.policy'
            allowed = ', '.join(POLICIES)
            yield key, f'{policy!r} is unknown', f'allowed: {allowed}'
