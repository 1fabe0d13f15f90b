"""Checks of a configuration; each yields key, problem and what is allowed."""

from collections.abc import Iterator

from chestnutshift.checks.registry import CONFIGURATION, Finding
from chestnutshift.configuration.model import Configuration, Preset

RESERVED_PREFIX = '/steering'
LOOKUP_LIFETIME_MAX_S = 300.0
KEY_TRUST_MAX_S = 60.0


@CONFIGURATION.register('C001')
def preset_in_force_exists(configuration: Configuration) -> Iterator[Finding]:
    """Exactly one preset that exists is in force."""
    if configuration.in_force in configuration.presets:
        return
    known = ', '.join(sorted(configuration.presets)) or 'no presets'
    problem = f'there is no preset {configuration.in_force!r}'
    yield 'in_force', problem, f'allowed: {known}'


@CONFIGURATION.register('C002')
def service_paths(configuration: Configuration) -> Iterator[Finding]:
    """Service paths are absolute, distinct and not reserved."""
    seen: set[str] = set()
    for service in configuration.services:
        key = f'services.{service.name}.path'
        path = service.path
        if not path.startswith('/') or path.endswith('/'):
            yield key, f'{path!r} is no prefix', 'allowed: /name'
        if path == RESERVED_PREFIX or path.startswith(f'{RESERVED_PREFIX}/'):
            yield key, f'{path!r} is reserved', f'not under {RESERVED_PREFIX}'
        if path in seen:
            yield key, f'{path!r} is taken', 'allowed: one service a path'
        seen.add(path)


@CONFIGURATION.register('C003')
def limits_positive(configuration: Configuration) -> Iterator[Finding]:
    """Rates and bursts are above zero, and a burst is at least 1."""
    for name, preset in configuration.presets.items():
        for account, limit in preset.accounts.items():
            key = f'presets.{name}.accounts.{account}'
            if limit.rate <= 0:
                yield f'{key}.rate', f'{limit.rate} per s', 'allowed: above 0'
            if limit.burst < 1:
                yield f'{key}.burst', f'{limit.burst}', 'allowed: 1 or more'


@CONFIGURATION.register('C004')
def same_accounts(configuration: Configuration) -> Iterator[Finding]:
    """Every preset names every account, so that no switch locks one out."""
    every = {
        account
        for preset in configuration.presets.values()
        for account in preset.accounts
    }
    for name, preset in configuration.presets.items():
        for account in sorted(every - preset.accounts.keys()):
            yield (
                f'presets.{name}.accounts',
                f'{account!r} is missing',
                'allowed: the same accounts in every preset',
            )


@CONFIGURATION.register('C005')
def keys_have_accounts(configuration: Configuration) -> Iterator[Finding]:
    """A key speaks for an account that the preset in force knows."""
    preset = configuration.presets.get(configuration.in_force)
    accounts = preset.accounts if preset else {}
    for digest, record in configuration.keys.items():
        if record.account in accounts or record.withdrawn:
            continue
        problem = f'speaks for {record.account!r}, which is no account'
        known = ', '.join(sorted(accounts))
        yield f'keys.{digest[:12]}', problem, f'allowed: {known}'


@CONFIGURATION.register('C006')
def durations_in_range(configuration: Configuration) -> Iterator[Finding]:
    """Times, sizes and ratios of a preset are within their ranges."""
    for name, preset in configuration.presets.items():
        for key, number, low, high in _ranges(preset):
            if low <= number <= high:
                continue
            problem = f'{number} is out of range'
            yield f'presets.{name}.{key}', problem, f'allowed: {low} to {high}'


def _ranges(preset: Preset) -> Iterator[tuple[str, float, float, float]]:
    fraction = (0.05, 1.0)
    yield 'deadline_s', preset.deadline_s, 0.1, 600.0
    yield 'body_limit_b', preset.body_limit_b, 1024, 2**33
    lifetime_s = preset.lookup.lifetime_s
    yield 'lookup.lifetime_s', lifetime_s, 1.0, LOOKUP_LIFETIME_MAX_S
    yield 'keys.trust_s', preset.keys.trust_s, 1.0, KEY_TRUST_MAX_S
    shares = preset.shares
    yield 'shares.lease_s', shares.lease_s, 2.0, 60.0
    yield 'shares.floor_s', shares.floor_s, shares.lease_s, 86400.0
    yield 'shares.floor_fraction', shares.floor_fraction, 0, 1.0
    yield 'shares.loan_s', shares.loan_s, 0.5, shares.lease_s
    yield 'retries.ratio', preset.retries.ratio, 0, 0.5
    yield 'shift.region_ceiling', preset.shift.region_ceiling, *fraction
    yield 'shift.ramp_s', preset.shift.ramp_s, 1.0, 3600.0
    upstreams = preset.upstreams
    yield 'upstreams.warm_up_s', upstreams.warm_up_s, 0, 600.0
    yield 'upstreams.report_age_s', upstreams.report_age_s, 0.5, 60.0
    connections = float(upstreams.connections_max)
    yield 'upstreams.connections_max', connections, 1.0, 400.0


@CONFIGURATION.register('C007')
def drains_leave_something(configuration: Configuration) -> Iterator[Finding]:
    """A drain names something, by letters, digits, dots and dashes."""
    for target in sorted(configuration.drains):
        plain = target.replace('-', '').replace('.', '').replace('_', '')
        if not plain.isalnum():
            yield 'drains', f'{target!r} is no name', 'allowed: a-z 0-9 . - _'


@CONFIGURATION.register('C008')
def numbers_grow(configuration: Configuration) -> Iterator[Finding]:
    """Configurations are numbered from 1."""
    if configuration.number < 1:
        yield 'number', str(configuration.number), 'allowed: 1 or more'


@CONFIGURATION.register('C009')
def services_exist(configuration: Configuration) -> Iterator[Finding]:
    """There is a service, and no two share a name."""
    names = [service.name for service in configuration.services]
    if not names:
        yield 'services', 'there is none', 'allowed: one or more'
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield f'services.{name}', 'the name is taken', 'allowed: once'
