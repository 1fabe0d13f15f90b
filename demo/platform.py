"""Initial contents of the stand-in platform in a demonstration."""

import secrets
import tomllib
from typing import Any

import httpx

from chestnutshift.keys import credentials
from demo.plan import CALLERS_PORT, EXAMPLES, Plan

PRESETS = ('ordinary', 'peak', 'maintenance')


def first_configuration(plan: Plan) -> dict[str, Any]:
    """Return configuration 1; add one key per client account to the plan."""
    deployment = plan.deployment
    examples = EXAMPLES / plan.name
    presets = {
        name: tomllib.loads((examples / f'{name}.toml').read_text())
        for name in PRESETS
    }
    accounts = presets[deployment['in_force']]['accounts']
    plan.keys.update({account: credentials.generate() for account in accounts})
    fields = ('name', 'path', 'open', 'idempotent')
    return {
        'number': 1,
        'deployment': plan.name,
        'services': [
            {field: service[field] for field in fields}
            for service in deployment['services']
        ],
        'presets': presets,
        'in_force': deployment['in_force'],
        'keys': {
            credentials.digest(key): {'account': account, 'label': account}
            for account, key in plan.keys.items()
        },
    }


def seed_platform(plan: Plan, client: httpx.Client) -> None:
    """Write the VM list and configuration 1 to the stand-in platform."""
    for vm in plan.vms:
        record = {
            'role': 'entry',
            'failure_domain': vm['failure_domain'],
            'region': vm['region'],
            'address': f'{vm["address"]}:{CALLERS_PORT}',
        }
        _raise_if_error(client.put(f'/standin/vms/{vm["name"]}', json=record))
    for upstream in plan.upstreams:
        record = {
            'role': 'upstream',
            'failure_domain': upstream['failure_domain'],
            'region': upstream['region'],
            'address': f'{upstream["address"]}:{upstream["port"]}',
            'service': upstream['service'],
            'slots': upstream['slots'],
        }
        _raise_if_error(
            client.put(f'/standin/vms/{upstream["name"]}', json=record)
        )
    row = {
        'table': 'configuration',
        'key': 'current',
        'value': first_configuration(plan),
    }
    transaction = {
        'operation_id': secrets.token_hex(),
        'conditions': [],
        'writes': [row],
    }
    _raise_if_error(client.post('/transactions', json=transaction))


def _raise_if_error(answer: httpx.Response) -> None:
    if answer.is_error:
        raise RuntimeError(f'{answer.request.url}: {answer.text}')
