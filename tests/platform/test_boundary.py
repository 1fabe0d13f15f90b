"""Tests that keep the platform's names within the platform adapter."""

import pathlib
import re

import chestnutshift

PACKAGE = pathlib.Path(chestnutshift.__file__).parent
ADAPTER = PACKAGE / 'platform'
GENERATED = PACKAGE / 'wire' / 'generated'
WIRE_NAMES = re.compile(
    'x-chestnutshift-|/-/|server-seal|not-executed|expect-instance|cold_left'
    '_?[\'"]|home_regions|rows-(tx|get|feed)|strict_revoke|api_keys|'
    'base_ver|[\'"]cols[\'"]|internal_ports',
    re.IGNORECASE,
)


def test_wire_names_stay_in_the_adapter() -> None:
    """No other module contains a wire name or settings name."""
    violations = [
        f'{path.relative_to(PACKAGE)}: {line.strip()}'
        for path in PACKAGE.rglob('*.py')
        if ADAPTER not in path.parents and GENERATED not in path.parents
        for line in path.read_text(encoding='utf-8').splitlines()
        if WIRE_NAMES.search(line)
    ]
    assert not violations


def test_adapter_stays_small() -> None:
    """The size limit keeps decisions out of the adapter."""
    lines = sum(
        len(path.read_text(encoding='utf-8').splitlines())
        for path in ADAPTER.rglob('*.py')
    )
    assert lines < 1500
