"""Tests that the reference pages list every key and every check."""

import pathlib
import typing

import attrs
from nose2.tools import params

from chestnutshift.checks import configurations, drains, settings  # noqa: F401
from chestnutshift.checks.registry import CONFIGURATION, DRAINS, SETTINGS
from chestnutshift.conf.settings import PeerAddress, Settings
from chestnutshift.configuration.model import AccountLimit, Preset

REFERENCE = pathlib.Path(__file__).parent.parent.parent / 'docs/reference'


def rows(page):
    """Return the first cell of each row of the page's tables."""
    lines = (REFERENCE / page).read_text(encoding='utf-8').splitlines()
    cells = [line.split('|')[1].strip() for line in lines if line[:1] == '|']
    return [cell.strip('`') for cell in cells[2:]]


def keys(target, prefix=''):
    """Iterate over the dotted names of all plain fields of a class."""
    hints = typing.get_type_hints(target)
    for field in attrs.fields(target):
        name = f'{prefix}{field.name}'
        if attrs.has(hints[field.name]):
            yield from keys(hints[field.name], f'{name}.')
        else:
            yield name


@params(
    (
        'settings.md',
        Settings,
        ('peers.vms.', PeerAddress),
    ),
    (
        'presets.md',
        Preset,
        ('accounts.NAME.', AccountLimit),
    ),
)
def test_keys_are_documented(page, target, inner):
    """A page has exactly one row for each key."""
    prefix, inner_target = inner
    expected = [*keys(target), *keys(inner_target, prefix)]
    assert sorted(rows(page)) == sorted(expected)


def test_checks_are_documented():
    """The page of checks has exactly one row for each check."""
    expected = [*SETTINGS, *CONFIGURATION, *DRAINS]
    assert sorted(rows('checks.md')) == sorted(expected)
