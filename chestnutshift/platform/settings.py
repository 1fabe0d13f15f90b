"""Decoding of the settings file that the platform writes per process."""

import os
import pathlib
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
from chestnutshift.platform.upstream_rows import split_address

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

    Raise MalformedError, and OSError if the file can't be read.
    """
    path = os.environ.get(names.SETTINGS_VARIABLE)
    if not path:
        raise MalformedError(f'{names.SETTINGS_VARIABLE} is not set')
    return decode_settings(pathlib.Path(path).read_bytes())


def decode_settings(content: bytes) -> EdgeSettings:
    """Decode the settings of this VM; raise MalformedError."""
    try:
        document = tomllib.loads(content.decode())
    except ValueError as error:
        raise MalformedError(f'the settings are not TOML: {error}') from error
    this_vm = object_of(document, 'self')
    network = object_of(document, 'network')
    listen = object_of(network, 'listen')
    limits = object_of(this_vm, 'limits')
    ports = network.get('internal_ports')
    if not isinstance(ports, list) or not ports:
        raise MalformedError('internal_ports is missing or not a list')
    return EdgeSettings(
        vm=required_text(this_vm, 'node'),
        address=required_text(this_vm, 'ip'),
        failure_domain=required_text(this_vm, 'zone'),
        region=required_text(this_vm, 'region'),
        callers=_endpoint(listen, 'front'),
        readiness=_endpoint(listen, 'ready'),
        lookups=_endpoint(listen, 'directory'),
        peer_port=int(ports[0]),
        metrics_port=int(ports[0]) + 1,
        crossings_port=int(ports[0]) + 2,
        regions=_regions(object_of(network, 'zones')),
        descriptors_max=integer_of(limits, 'max_fds', 1024),
        store=_store(object_of(document, 'platform')),
        bounds=_bounds(object_of(object_of(document, 'terms'), 'bounds')),
        link_mbps=number_of(limits, 'link_mbps', 0),
    )


def _endpoint(listen: Mapping[str, Any], name: str) -> Endpoint:
    return Endpoint(*split_address(required_text(listen, name)))


def _regions(zones: Mapping[str, Any]) -> dict[str, str]:
    """Map each failure domain to its region."""
    return {zone: required_text(zones, zone) for zone in zones}


def _store(platform: Mapping[str, Any]) -> StoreSettings:
    store = object_of(platform, 'platform')
    period = platform.get('beat')
    return StoreSettings(
        endpoint=Endpoint(*split_address(required_text(store, 'addr'))),
        reads_rate=number_of(store, 'reads_per_s', 1000),
        writes_rate=number_of(store, 'writes_per_s', 100),
        registration_period_s=1 if period is None else read_duration(period),
    )


def _bounds(bounds: Mapping[str, Any]) -> Bounds:
    changes: dict[str, float | bool] = {
        bound: read_duration(bounds[name])
        for bound, name in _DURATION_NAMES.items()
        if name in bounds
    }
    for bound, name in _NUMBER_NAMES.items():
        if name in bounds:
            changes[bound] = number_of(bounds, name)
    strict = flag_of(bounds, 'strict_revoke')
    return attrs.evolve(Bounds(), bounds_withdrawals=strict, **changes)
