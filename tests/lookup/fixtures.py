"""Factories of tables, entry VMs and views for the look-up tests."""

import itertools

from chestnutshift.configuration.model import Preset
from chestnutshift.lookup.prefixes import Prefix
from chestnutshift.lookup.table import ClientTable, TableBuilder
from chestnutshift.lookup.view import EntryState, EntryVM, LookupView

REGIONS = ('east', 'north', 'west')
ORDERS = (
    ('east', 'north', 'west'),
    ('north', 'west', 'east'),
    ('west', 'east', 'north'),
)
PRESET = Preset(accounts={})
BLOCKS = {'10.0.0.0/8': 0, '10.1.0.0/16': 1, '2001:db8::/32': 2}


def make_table(blocks: dict[str, int], number: int = 1) -> ClientTable:
    """Build a table from blocks in CIDR notation."""
    builder = TableBuilder()
    for text, order in blocks.items():
        builder.add(Prefix.parse(text), order)
    return builder.build(number)


def make_entries(**states: EntryState) -> tuple[EntryVM, ...]:
    """Return 12 VMs in three regions with two failure domains each."""
    positions = itertools.product(REGIONS, (1, 2), (1, 2))
    names = [
        (region, domain, f'{region}{domain}{index}')
        for region, domain, index in positions
    ]
    return tuple(
        EntryVM(
            name=name,
            url=f'http://{name}',
            region=region,
            failure_domain=f'{region}-{domain}',
            state=states.get(name, EntryState.LIVE),
        )
        for region, domain, name in names
    )


def make_view(**changes: object) -> LookupView:
    """Return a view of 12 live VMs, with the given fields changed."""
    fields = {
        'entries': make_entries(),
        'table': make_table(BLOCKS),
        'orders': ORDERS,
        'default_order': ORDERS[0],
    }
    return LookupView(**(fields | changes))
