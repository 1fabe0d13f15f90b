"""The tables of the capacity page, in Markdown."""

import os
from collections.abc import Callable, Iterable

from bench.capacity import targets
from bench.capacity.breaks import BREAKS
from bench.capacity.budgets import REQUIREMENTS
from bench.capacity.estimates import (
    Budget,
    Results,
    Status,
    parts_of,
    total,
)
from bench.capacity.roles import ROLES, service_share
from bench.capacity.slopes import SECONDS
from chestnutshift.registry import Registry

MISSING = str(Status.MISSING)
PREFIXES = ((1, ''), (1e-3, 'm'), (1e-6, 'µ'), (1e-9, 'n'), (1e-12, 'p'))
DIGITS = 3
PERCENT = 1 / 100

Render = Callable[[Results], str]
TABLES: Registry[Render] = Registry('table')


def render(header: Iterable[str], rows: Iterable[Iterable[str]]) -> str:
    """Return a Markdown table."""
    titles = tuple(header)
    lines = [titles, tuple('---' for _ in titles), *rows]
    return '\n'.join(f'| {" | ".join(cells)} |' for cells in lines)


def format_number(amount: float | None) -> str:
    """Format an amount to three digits, with thousands separators."""
    if amount is None:
        return MISSING
    if abs(amount) >= 10**DIGITS:
        return f'{round(amount):,}'
    return f'{amount:.{DIGITS}g}'


def format_seconds(amount: float) -> str:
    """Format a time with a suitable SI prefix."""
    for factor, prefix in PREFIXES:
        if abs(amount) >= factor:
            return f'{format_number(amount / factor)} {prefix}s'
    return f'{format_number(amount)} s'


def format_quantity(amount: float, unit: str) -> str:
    """Format an amount of seconds or of another unit."""
    if unit == SECONDS:
        return format_seconds(amount)
    return f'{format_number(amount)} {unit}'


def format_megabytes(amount: float) -> str:
    """Format bytes as MB."""
    return f'{format_number(amount / targets.MB)} MB'


@TABLES.register('slopes')
def slopes_table(results: Results) -> str:
    """Return every slope of the run."""
    rows = []
    for name, fitted in sorted(results.measured.items()):
        sizes = ', '.join(format_number(point.size) for point in fitted.points)
        slope = format_quantity(fitted.fit.slope, fitted.slope.unit)
        rows.append(
            (
                f'`{name}`',
                fitted.slope.title,
                sizes,
                f'{slope} per {fitted.slope.per}',
                format_quantity(fitted.fit.intercept, fitted.slope.unit),
                f'{fitted.fit.residual * 100:.1f}%',
            ),
        )
    header = ('name', 'what', 'sizes', 'slope', 'at size 0', 'residual')
    return render(header, rows)


@TABLES.register('full')
def full_table(results: Results) -> str:
    """Return the figures of the table at full size."""
    full = results.full
    rows = (
        ('client blocks', format_number(full['blocks'])),
        (
            'build from blocks, including their generation',
            format_seconds(full['build_s']),
        ),
        ('resident memory of the table', format_megabytes(full['resident_b'])),
        ('peak while building and after', format_megabytes(full['peak_b'])),
        ('allocated by a loaded table', format_megabytes(full['allocated_b'])),
        ('bytes of the whole table', format_megabytes(full['packed_b'])),
        ('the same compressed', format_megabytes(full['compressed_b'])),
        ('load and check of the digest', format_seconds(full['load_s'])),
        ('start of a VM, the table in memory', format_seconds(full['start_s'])),
        ('one change in place', format_seconds(full['change_s'])),
        ('one look-up in the table', format_seconds(full['locate_s'])),
        ('look-ups in the table', f'{format_number(1 / full["locate_s"])}/s'),
        ('one answer, chosen and counted', format_seconds(full['answer_s'])),
        ('answers', f'{format_number(1 / full["answer_s"])}/s'),
        (
            'load average of the machine meanwhile, of all its users',
            f'{format_number(full["load_average"])} of {os.cpu_count()} cores',
        ),
    )
    return render(('at full size, one process', 'figure'), rows)


@TABLES.register('assumptions')
def assumptions_table(_results: Results) -> str:
    """Return the assumptions that the target does not give."""
    rows = [
        (
            assumption.name,
            f'{format_number(assumption.amount)} {assumption.unit}'.strip(),
            assumption.reason,
        )
        for assumption in targets.ASSUMPTIONS
    ]
    return render(('assumption', 'amount', 'reason'), rows)


@TABLES.register('budgets')
def budgets_table(results: Results) -> str:
    """Return all requirements with figure, limit and ratio."""
    rows = []
    for requirement in REQUIREMENTS:
        figure = requirement.figure(results)
        ratio = None if figure is None else figure / requirement.limit
        status = MISSING if figure is None else str(requirement.status)
        verdict = ' **over**' if ratio is not None and ratio > 1 else ''
        rows.append(
            (
                requirement.name,
                _format_with_unit(figure, requirement.unit),
                _format_with_unit(requirement.limit, requirement.unit),
                f'{format_number(ratio)}{verdict}',
                status,
                requirement.basis,
            ),
        )
    header = ('requirement', 'figure', 'limit', 'ratio', 'how', 'from')
    return render(header, rows)


@TABLES.register('roles')
def roles_table(results: Results) -> str:
    """Return the state, messages and costs of each role at one node."""
    rows = [
        (
            role.name,
            role.state,
            _format_scaled(
                role.amount(Budget.MEMORY, results), targets.MB, 'MB'
            ),
            f'{format_number(role.messages)}/s ({role.messages_of})',
            _format_scaled(role.amount(Budget.TRAFFIC, results), 1, 'B/s'),
            _format_scaled(
                role.amount(Budget.PROCESSOR, results), PERCENT, '% of a core'
            ),
            role.carried_by,
        )
        for role in ROLES
    ]
    rows.append(_answering_row(results))
    rows.append(_platform_row(results))
    header = (
        'role',
        'state',
        'memory',
        'messages',
        'bytes',
        'processor',
        'carried by',
    )
    return render(header, rows)


def _answering_row(results: Results) -> list[str]:
    share = _format_scaled(service_share(results), PERCENT, '% of a core')
    return [
        'the answering of look-ups',
        'none of its own',
        '-',
        f'{format_number(targets.LOOKUPS_PER_NODE_S)}/s (answers)',
        "the callers' own",
        share,
        'service, not control: `lookup`, `callers`',
    ]


def _platform_row(results: Results) -> list[str]:
    writes = _format_scaled(total(Budget.WRITES, results), 1, 'writes/s')
    reads = _format_scaled(total(Budget.READS, results), 1, 'reads/s')
    return [
        'load on the platform',
        'rows of configuration, leases, runs; the list; one table',
        '-',
        f'{writes}, {reads} (of the whole fleet)',
        '-',
        '-',
        'relays, group commits: `platform`, `idempotency`',
    ]


@TABLES.register('breaks')
def breaks_table(results: Results) -> str:
    """Return the sizes at which present choices use up their budgets."""
    rows = [
        (
            entry.choice,
            entry.module,
            entry.budget,
            _format_with_unit(entry.size(results), entry.unit),
            str(entry.status),
            entry.carried_by,
        )
        for entry in BREAKS
    ]
    header = ('today', 'module', 'budget', 'used up at', 'how', 'carried by')
    return render(header, rows)


def _register_parts(budget: Budget, name: str, unit: str, scale: float) -> None:
    @TABLES.register(name)
    def parts_table(results: Results) -> str:
        rows = [
            (
                entry.name,
                _format_scaled(entry.amount(results), scale, unit),
                str(entry.status),
                entry.basis,
            )
            for entry in parts_of(budget)
        ]
        summed = _format_scaled(total(budget, results), scale, unit)
        rows.append(('**sum**', f'**{summed}**', '', ''))
        return render(('part', 'at the target', 'how', 'from'), rows)


def _format_scaled(amount: float | None, scale: float, unit: str) -> str:
    return _format_with_unit(None if amount is None else amount / scale, unit)


def _format_with_unit(amount: float | None, unit: str) -> str:
    if amount is None:
        return MISSING
    return f'{format_number(amount)} {unit}'


_register_parts(Budget.MEMORY, 'memory', 'MB', targets.MB)
_register_parts(Budget.TRAFFIC, 'traffic', 'B/s', 1)
_register_parts(Budget.PEAK_TRAFFIC, 'peak-traffic', 'B/s', 1)
_register_parts(Budget.RELAY_TRAFFIC, 'relay-traffic', 'B/s', 1)
_register_parts(Budget.PROCESSOR, 'processor', '% of a core', PERCENT)
_register_parts(Budget.WRITES, 'writes', '/s', 1)
_register_parts(Budget.READS, 'reads', '/s', 1)
_register_parts(Budget.IN_FORCE, 'in-force', 's', 1)
