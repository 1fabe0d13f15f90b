"""Checks of one VM's settings; each yields key, problem, what is allowed."""

import ipaddress
import pathlib
import stat
from collections.abc import Iterator

from chestnutshift.checks.registry import SETTINGS, Finding
from chestnutshift.conf.settings import Settings

LOG_LEVELS = frozenset(('debug', 'info', 'warning', 'error'))
LOG_FORMS = frozenset(('plain', 'json'))


@SETTINGS.register('S001')
def ports_distinct(settings: Settings) -> Iterator[Finding]:
    """The VM's three ports are valid and distinct."""
    ports = {
        'callers.port': settings.callers.port,
        'operators.port': settings.operators.port,
        'peers.port': settings.peers.port,
    }
    for key, port in ports.items():
        if not 0 < port < 2**16:
            yield key, f'{port} is not a port number', 'allowed: 1 to 65535'
        if list(ports.values()).count(port) > 1:
            yield key, f'{port} is used twice', 'allowed: three different ports'


@SETTINGS.register('S002')
def secrets_private(settings: Settings) -> Iterator[Finding]:
    """Secret files exist and are accessible to their owner only."""
    paths = {
        'operators.secret_file': settings.operators.secret_file,
        'peers.secret_file': settings.peers.secret_file,
    }
    for key, path in paths.items():
        if not pathlib.Path(path).is_file():
            yield key, f'there is no file {path}', 'allowed: a file'
            continue
        mode = stat.S_IMODE(pathlib.Path(path).stat().st_mode)
        if mode & (stat.S_IRWXG | stat.S_IRWXO):
            yield (
                key,
                f'mode {mode:o} grants access to others',
                'allowed: 600 or 400',
            )


@SETTINGS.register('S003')
def addresses_numeric(settings: Settings) -> Iterator[Finding]:
    """Addresses are IP addresses, not host names."""
    addresses = {
        'callers.address': settings.callers.address,
        'operators.address': settings.operators.address,
        'peers.address': settings.peers.address,
    }
    for peer in settings.peers.vms:
        addresses[f'peers.vms.{peer.name}.address'] = peer.address
    for key, address in addresses.items():
        try:
            ipaddress.ip_address(address)
        except ValueError:
            yield (
                key,
                f'{address!r} is not an IP address',
                'allowed: an IP address',
            )


@SETTINGS.register('S004')
def peer_names_unique(settings: Settings) -> Iterator[Finding]:
    """No two VMs share a name, and this VM is not its own peer."""
    names = [peer.name for peer in settings.peers.vms]
    for name in sorted({name for name in names if names.count(name) > 1}):
        yield 'peers.vms', f'{name!r} is listed twice', 'allowed: once'
    if settings.vm.name in names:
        yield 'peers.vms', 'this VM is its own peer', 'allowed: other VMs only'


@SETTINGS.register('S005')
def logging_known(settings: Settings) -> Iterator[Finding]:
    """The log level and the log form are known."""
    if settings.logging.level not in LOG_LEVELS:
        allowed = ', '.join(sorted(LOG_LEVELS))
        yield 'logging.level', settings.logging.level, f'allowed: {allowed}'
    if settings.logging.form not in LOG_FORMS:
        allowed = ', '.join(sorted(LOG_FORMS))
        yield 'logging.form', settings.logging.form, f'allowed: {allowed}'


@SETTINGS.register('S006')
def certificates_paired(settings: Settings) -> Iterator[Finding]:
    """A port has both a certificate and a key file, or neither."""
    ports = {'callers': settings.callers, 'operators': settings.operators}
    for name, port in ports.items():
        files = (port.tls.certificate_file, port.tls.key_file)
        if any(files) and not all(files):
            yield f'{name}.tls', 'one file is missing', 'allowed: both or none'


@SETTINGS.register('S007')
def silence_exceeds_heartbeats(settings: Settings) -> Iterator[Finding]:
    """A peer counts as silent only after several missed heartbeats."""
    peers = settings.peers
    if peers.silence_s < 3 * peers.heartbeat_s:
        problem = f'{peers.silence_s} s is under three heartbeats'
        low = 3 * peers.heartbeat_s
        yield 'peers.silence_s', problem, f'allowed: {low} s or more'


@SETTINGS.register('S008')
def platform_url_is_http(settings: Settings) -> Iterator[Finding]:
    """The platform is reached over HTTP."""
    if not settings.platform.url.startswith(('http://', 'https://')):
        yield 'platform.url', settings.platform.url, 'allowed: http(s)://...'


@SETTINGS.register('S009')
def numbers_in_range(settings: Settings) -> Iterator[Finding]:
    """Times, sizes and counts are within their ranges."""
    for key, number, low, high in _ranges(settings):
        # Written so that NaN, which fails every comparison, is refused.
        if not low <= number <= high:
            yield key, f'{number} is out of range', f'allowed: {low} to {high}'


def _ranges(
    settings: Settings,
) -> Iterator[tuple[str, float, float, float]]:
    callers = settings.callers
    yield 'callers.header_limit_b', callers.header_limit_b, 1024, 2**20
    yield 'callers.connections_max', callers.connections_max, 1, 100_000
    yield 'callers.header_timeout_s', callers.header_timeout_s, 0.1, 600.0
    yield 'peers.heartbeat_s', settings.peers.heartbeat_s, 0.05, 5.0
    yield 'peers.silence_s', settings.peers.silence_s, 0.15, 60.0
    yield 'platform.poll_s', settings.platform.poll_s, 0.05, 60.0
    yield 'platform.timeout_s', settings.platform.timeout_s, 0.1, 60.0
    yield 'statsd.port', settings.statsd.port, 1, 65_535
    yield 'grace_s', settings.grace_s, 0, 600.0
