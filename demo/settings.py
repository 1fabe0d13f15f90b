"""Write the settings files of a demonstration's processes."""

import json
import os
import pathlib
import secrets
from typing import Any

from demo.plan import (
    CALLERS_PORT,
    OPERATORS_PORT,
    PEERS_PORT,
    PLATFORM_PORT,
    Plan,
)


def write_settings(plan: Plan) -> None:
    """Write the secrets and the settings file of every process."""
    plan.directory.mkdir(parents=True, exist_ok=True)
    for name in ('operators.secret', 'peers.secret'):
        write_private(plan.directory / name, secrets.token_urlsafe())
    for vm in plan.vms:
        write_private(plan.settings_path(vm['name']), _vm_toml(plan, vm))
    for _region, domain in plan.domains:
        domain_upstreams = [
            upstream
            for upstream in plan.upstreams
            if upstream['failure_domain'] == domain
        ]
        fields = ('name', 'service', 'address', 'port', 'slots')
        tables = [
            _table('[upstreams]', {field: upstream[field] for field in fields})
            for upstream in domain_upstreams
        ]
        plan.settings_path(f'upstreams-{domain}').write_text('\n'.join(tables))
    platform = {'address': plan.platform_address, 'port': PLATFORM_PORT}
    path = plan.settings_path('platform')
    path.write_text(_assignments(platform))


def _settings_path(plan: Plan, name: str) -> pathlib.Path:
    return plan.directory / f'{name}.toml'


def write_private(path: pathlib.Path, text: str) -> None:
    """Write a file that only its owner may read or write."""
    path.unlink(missing_ok=True)
    descriptor = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600)
    with os.fdopen(descriptor, 'w') as private:
        private.write(text)


def _assignments(values: dict[str, Any]) -> str:
    # The JSON form of strings and numbers is valid TOML.
    return ''.join(
        f'{name} = {json.dumps(value)}\n' for name, value in values.items()
    )


def _table(header: str, values: dict[str, Any]) -> str:
    return f'[{header}]\n{_assignments(values)}'


def _vm_toml(plan: Plan, vm: dict[str, Any]) -> str:
    directory = plan.directory
    identity = {key: vm[key] for key in ('name', 'region', 'failure_domain')}
    tables = [
        _table('vm', identity),
        _table(
            'callers',
            {
                'address': vm['address'],
                'port': CALLERS_PORT,
                'url': vm['url'],
            },
        ),
        _table(
            'operators',
            {
                'address': vm['address'],
                'port': OPERATORS_PORT,
                'secret_file': str(directory / 'operators.secret'),
            },
        ),
        _table(
            'peers',
            {
                'address': vm['address'],
                'port': PEERS_PORT,
                'secret_file': str(directory / 'peers.secret'),
            },
        ),
        *(_peer_table(peer) for peer in plan.vms if peer is not vm),
        _table('platform', {'url': plan.platform_url}),
        _table('logging', {'level': 'warning'}),
    ]
    return '\n'.join(tables)


def _peer_table(peer: dict[str, Any]) -> str:
    fields = ('name', 'region', 'failure_domain', 'address', 'url')
    values = {field: peer[field] for field in fields}
    return _table('[peers.vms]', {**values, 'port': PEERS_PORT})
