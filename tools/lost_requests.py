"""Print which requests were refused, failed or late, and why.

Usage: python -m tools.lost_requests [--period SECONDS] LOG...
"""

import argparse
import fileinput
import sys
from collections.abc import Iterator

from chestnutshift.logs.lost_requests import LossReport, report_losses

PERIOD_S = 5.0
HEADINGS = ('from', 'ended', 'lost')


def main() -> None:
    """Read the logs, standard input if none is named, and print a table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--period', type=float, default=PERIOD_S)
    parser.add_argument('logs', nargs='*')
    arguments = parser.parse_args()
    with fileinput.input(arguments.logs, errors='replace') as texts:
        report = report_losses(texts, arguments.period)
    for line in format_report(report):
        sys.stdout.write(f'{line}\n')


def format_report(report: LossReport) -> Iterator[str]:
    """Yield the lines of a table: a row for each period, then the totals."""
    causes = report.causes
    for number, cause in enumerate(causes, 1):
        yield f'{number:2} {cause.value}'
    yield ' '.join(
        f'{heading:>6}' for heading in (*HEADINGS, *range(1, len(causes) + 1))
    )
    for period in sorted(report.ended):
        lost = report.lost[period]
        counts = [lost[cause] for cause in causes]
        yield _row(f'{period:g} s', report.ended[period], counts)
    totals = [
        sum(lost[cause] for lost in report.lost.values()) for cause in causes
    ]
    yield _row('all', sum(report.ended.values()), totals)
    if report.dropped_lines:
        yield f'{report.dropped_lines} log lines were dropped'


def _row(name: str, ended: int, counts: list[int]) -> str:
    cells = (name, ended, sum(counts), *counts)
    return ' '.join(f'{cell:>6}' for cell in cells)


if __name__ == '__main__':
    main()
