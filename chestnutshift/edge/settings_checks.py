"""Checks of an edge VM's settings, independent of the file format."""

import os
from ipaddress import ip_address

import attrs

from chestnutshift.edge.exceptions import UnusableSettingsError
from chestnutshift.edge.settings import EdgeSettings, Endpoint

FILE_MAX_B = 262_144
# Names stand in every heartbeat, which is one datagram.
NAME_MAX_B = 255
# With fewer file descriptors a VM has no room for its own ports, the store, a
# few upstreams and peers, and callers.
DESCRIPTORS_MIN = 64


def read_settings_file(path: str) -> bytes:
    """Read a file without waiting for a writer, if it is a pipe.

    Raise OSError and UnusableSettingsError.
    """
    descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC)
    with open(descriptor, 'rb') as file:
        content = file.read(FILE_MAX_B + 1)
    if content is None or len(content) > FILE_MAX_B:
        raise UnusableSettingsError(f'{path} is no file of a usual size')
    return content


def check_settings(settings: EdgeSettings) -> None:
    """Raise UnusableSettingsError if a VM can't run with the settings."""
    domains = settings.regions.items()
    names = [settings.vm, settings.failure_domain, settings.region]
    for name in (*names, *(name for pair in domains for name in pair)):
        _check_name(name)
    try:
        ip_address(settings.address)
    except ValueError as error:
        raise UnusableSettingsError(f'not an IP address: {error}') from error
    _check_ports(settings)
    if settings.descriptors_max < DESCRIPTORS_MIN:
        raise UnusableSettingsError(
            f'{settings.descriptors_max} descriptors are allowed, and '
            f'{DESCRIPTORS_MIN} are needed'
        )


def _check_name(name: str) -> None:
    if not name.isprintable() or name != name.strip():
        raise UnusableSettingsError(f'{name!r} can not be sent in a header')
    if len(name.encode()) > NAME_MAX_B:
        raise UnusableSettingsError(f'a name has more than {NAME_MAX_B} bytes')


def _check_ports(settings: EdgeSettings) -> None:
    """Require ports that differ, but for those of readiness and look-ups."""
    endpoints = own_endpoints(settings)
    ports = (settings.peer_port, settings.store.endpoint.port)
    if not all((*ports, *(endpoint.port for endpoint in endpoints))):
        raise UnusableSettingsError('a port is 0')
    if len(set(endpoints)) < len(endpoints):
        raise UnusableSettingsError('several servers would share a port')


def own_endpoints(settings: EdgeSettings) -> list[Endpoint]:
    """Return the TCP endpoints on which a VM listens."""
    metrics = attrs.evolve(settings.callers, port=settings.metrics_port)
    entries = {settings.readiness, settings.lookups}
    return [settings.callers, settings.crossings, metrics, *entries]
