"""Status page as lines of text for a terminal."""

from collections.abc import Iterable
from typing import Any

from chestnutshift.management.output import table

SECTIONS = frozenset(('peers', 'drains', 'shares', 'measures'))
PEER_COLUMNS = ('vm', 'heard', 'phase', 'configuration', 'headroom')
DRAIN_COLUMNS = (
    'target',
    'running_s',
    'moved',
    'in_flight',
    'cached_s',
    'finished',
    'drain_s',
)
SHARE_COLUMNS = ('account', 'demand', 'rate', 'level', 'lent_rate')
LATENCY_COLUMNS = ('service', 'count', 'p50_s', 'p99_s')


def status_lines(status: dict[str, Any]) -> list[str]:
    """Return the lines of the page, which fit on one screen."""
    lines = [
        f'{name}: {field}'
        for name, field in status.items()
        if name not in SECTIONS
    ]
    return [
        *lines,
        *_section('drains', status['drains'], DRAIN_COLUMNS),
        *_section('shares of this VM', status['shares'], SHARE_COLUMNS),
        *_measure_lines(status['measures']),
        *_section('other VMs', status['peers'], PEER_COLUMNS),
    ]


def _measure_lines(measures: dict[str, Any]) -> Iterable[str]:
    latencies = [
        {'service': service, **latency}
        for service, latency in measures['latency'].items()
    ]
    yield from _section('answers of this VM', latencies, LATENCY_COLUMNS)
    refusals = [
        {'code': code, 'count': count}
        for code, count in measures['refusals'].items()
    ]
    yield from _section('refusals of this VM', refusals, ('code', 'count'))
    yield f'refused inside the rate: {measures["refused_inside_rate"]}'
    worst = measures['worst_account']
    if worst:
        share = worst['share']
        yield f'worst-served account: {worst["account"]}, {share:.1%} answered'


def _section(
    title: str,
    entries: list[dict[str, Any]],
    columns: tuple[str, ...],
) -> list[str]:
    if not entries:
        return [f'{title}: none']
    rows = [[_cell(entry[name]) for name in columns] for entry in entries]
    return [f'{title}:', *table([list(columns), *rows])]


def _cell(field: object) -> object:
    if isinstance(field, float):
        return f'{field:.4g}'
    return '-' if field is None else field
