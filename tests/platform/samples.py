"""Sample documents in the platform's formats."""

import copy
import json
from typing import Any

ROUTE_TABLE: dict[str, Any] = {
    'version': '0000000c',
    'base_ver': '0000000a',
    'routes': {
        'cols': [
            'name',
            'host',
            'prefix',
            'kind',
            'timeout',
            'goal',
            'priority',
            'split',
            'attempts',
            'public',
            'sticky',
            'home_regions',
            'service',
        ],
        'rows': [
            [
                'search',
                'One.example',
                '/a/',
                'safe',
                '1500ms',
                '600ms',
                2,
                None,
                2,
                False,
                True,
                [],
                's1',
            ],
            [
                'book',
                'one.example',
                '/a/b/',
                'unsafe',
                '2.5s',
                '800ms',
                1,
                [
                    {'service': 's1', 'weight': 90},
                    {'service': 's2', 'weight': 10},
                ],
                1,
                True,
                False,
                ['north'],
                None,
            ],
        ],
    },
    'services': {
        'cols': ['name', 'health_path', 'max_conns', 'cold', 'cold_per_s'],
        'rows': [
            ['s1', '/healthz', 390, '3s', 6.1],
            ['s2', '/healthz', 390, '3s', 6.1],
        ],
    },
    'limits': {
        'max_header_bytes': 16384,
        'max_body_bytes': 1000000,
        'header_timeout': '3000ms',
        'idle_timeout': '15000ms',
    },
    'tenants': {
        'cols': ['name', 'api_keys', 'priority', 'rate_per_s', 'burst'],
        'rows': [['konya', ['k1', 'k2'], 1, 156, 160]],
    },
}
REGISTRATION: dict[str, Any] = {
    'addr': '127.0.0.9:8080',
    'born': 1782362216345,
    'info': {'service': 's1', 'version': 'v1', 'zone': 'a1', 'slots': 9},
    'status': {'state': 'ready', 'seq': 4, 'cold_left': '1500ms'},
}


def route_table(**changes: object) -> bytes:
    """Return the sample route table with some top-level fields replaced."""
    return json.dumps(copy.deepcopy(ROUTE_TABLE) | changes).encode()


def registration(path: str = '', content: object = None) -> bytes:
    """Return the sample registration with the field at path replaced.

    path is dotted, as in info.zone; content None removes the field.
    """
    document = copy.deepcopy(REGISTRATION)
    if path:
        *parents, name = path.split('.')
        container = document
        for parent in parents:
            container = container[parent]
        if content is None:
            container.pop(name)
        else:
            container[name] = content
    return json.dumps(document).encode()
