"""Decoding of the settings file that the platform writes per process."""

import os
import tomllib
from collections.abc import Mapping
from typing import Any

import attrs

from chestnutshift.edge.settings import (
    Bounds,
    EdgeSettings,
    Endpoint,
    StoreSettings,
)
from chestnutshift.edge.exceptions import UnusableSettingsError
from chestnutshift.edge.settings_checks import (
    check_settings,
    read_settings_file,
)
from chestnutshift.platform import names
from chestnutshift.platform.durations import read_duration
from chestnutshift.platform.exceptions import MalformedError
from chestnutshift.platform.fields import (
    flag_of,
    integer_of,
    number_of,
    object_of,
    required_text,
)
from chestnutshift.platform.upstream_rows import PORT_MAX, split_address

# Ports for traffic between VMs, after the first one.
FURTHER_PORTS = 2
# Rates and windows divide; none of them is 0.
QUANTITY_MIN = 0.001

MEGABYTE_B = 1_000_000
# The platform's name of each field of Bounds.
_DURATION_NAMES = {
    'contact_s': 'contact',
    'drain_s': 'drain',
    'grace_s': 'grace',
    'table_s': 'config',
    'withdrawal_s': 'revoke',
    'evacuation_s': 'evac',
    'retry_window_s': 'retry_window',
    'account_window_s': 'quota_window',
    'address_reuse_s': 'reuse_after',
    'lookup_lifetime_s': 'ttl_max',
}
_NUMBER_NAMES = {
    'retry_ratio': 'retry_ratio',
    'retry_slack': 'retry_slack',
    'account_over': 'quota_over',
    'account_slack': 'quota_slack',
    'cold_over': 'cold_over',
    'cold_slack': 'cold_slack',
    'region_shift_max': 'shift_most',
}


def load_settings() -> EdgeSettings:
    """Load the file that the environment variable names.

    Raise CodedError, and OSError if the file can't be read.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE)
    if not path:
        raise MalformedError(f'{names.SETTINGS_VARIABLE} is not set')
    return decode_settings(read_settings_file(path))


def decode_settings(content: bytes) -> EdgeSettings:
    """Decode the settings of this VM; raise MalformedError."""
    try:
        document = tomllib.loads(content.decode())
    except (ValueError, RecursionError) as error:
        raise MalformedError(f'the settings are not TOML: {error}') from error
    settings = decode_document(document)
    try:
        check_settings(settings)
    except UnusableSettingsError as error:
        raise MalformedError(error.detail) from error
    return settings


def decode_document(document: Mapping[str, Any]) -> EdgeSettings:
    """Decode the tables of the settings; raise MalformedError."""
    this_vm = object_of(document, 'self')
    network = object_of(document, 'network')
    listen = object_of(network, 'listen')
    limits = object_of(this_vm, 'limits')
    first_port = _first_port(network)
    return EdgeSettings(
        vm=required_text(this_vm, 'node'),
        address=required_text(this_vm, 'ip'),
        failure_domain=required_text(this_vm, 'zone'),
        region=required_text(this_vm, 'region'),
        callers=_endpoint(listen, 'front'),
        readiness=_endpoint(listen, 'ready'),
        lookups=_endpoint(listen, 'directory'),
        peer_port=first_port,
        metrics_port=first_port + 1,
        crossings_port=first_port + 2,
        regions=_regions(object_of(network, 'zones')),
        descriptors_max=integer_of(limits, 'max_fds', 1024),
        store=_store(object_of(document, 'platform')),
        bounds=_bounds(object_of(object_of(document, 'terms'), 'bounds')),
        link_mbps=number_of(limits, 'link_mbps', 0),
        memory_b=_memory_b(limits),
    )


def _first_port(network: Mapping[str, Any]) -> int:
    """Return the first of the ports for traffic between VMs."""
    ports = network.get('internal_ports')
    if not isinstance(ports, list) or not ports or isinstance(ports[0], float):
        raise MalformedError('internal_ports is not a list of integers')
    fields = {'internal_ports': ports[0]}
    first_max = PORT_MAX - FURTHER_PORTS
    return integer_of(fields, 'internal_ports', maximum=first_max)


def _memory_b(limits: Mapping[str, Any]) -> int:
    """Return the memory limit in bytes, 0 for none."""
    return max(0, round(number_of(limits, 'memory_mb', 0) * MEGABYTE_B))


def _endpoint(listen: Mapping[str, Any], name: str) -> Endpoint:
    return Endpoint(*split_address(required_text(listen, name)))


def _regions(zones: Mapping[str, Any]) -> dict[str, str]:
    """Map each failure domain to its region."""
    return {zone: required_text(zones, zone) for zone in zones}


def _store(platform: Mapping[str, Any]) -> StoreSettings:
    store = object_of(platform, 'platform')
    return StoreSettings(
        endpoint=Endpoint(*split_address(required_text(store, 'addr'))),
        reads_rate=max(QUANTITY_MIN, number_of(store, 'reads_per_s', 1000)),
        writes_rate=max(QUANTITY_MIN, number_of(store, 'writes_per_s', 100)),
        registration_period_s=_duration_s(platform, 'beat', '1s'),
    )


def _duration_s(
    fields: Mapping[str, Any], name: str, default: str = ''
) -> float:
    return max(QUANTITY_MIN, read_duration(fields.get(name, default), name))


def _bounds(bounds: Mapping[str, Any]) -> Bounds:
    changes: dict[str, float | bool] = {
        bound: _duration_s(bounds, name)
        for bound, name in _DURATION_NAMES.items()
        if name in bounds
    }
    for bound, name in _NUMBER_NAMES.items():
        if name in bounds:
            changes[bound] = number_of(bounds, name)
    strict = flag_of(bounds, 'strict_revoke')
    return attrs.evolve(Bounds(), bounds_withdrawals=strict, **changes)
