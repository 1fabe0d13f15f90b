"""Tests of line fitting and of the tables of the capacity page."""

import pathlib
import unittest

from bench.capacity.estimates import Results
from bench.capacity.fits import Point, fit_line
from bench.capacity.page import PageError, replace_tables
from bench.capacity.tables import TABLES

CASE = unittest.TestCase()
PAGE = pathlib.Path(__file__).parents[2] / 'docs' / 'CAPACITY.md'
FULL_SIZE_NAMES = (
    'resident_b',
    'peak_b',
    'allocated_b',
    'packed_b',
    'compressed_b',
)
TIME_NAMES = (
    'build_s',
    'load_s',
    'locate_s',
    'answer_s',
    'change_s',
    'start_s',
)


def make_tables() -> dict[str, str]:
    """Return all tables of a run in which no slope was measured."""
    full = dict.fromkeys(
        (*FULL_SIZE_NAMES, *TIME_NAMES, 'base_b', 'load_average'), 1
    )
    results = Results({}, {**full, 'blocks': 2_300_000})
    return {name: TABLES.get(name)(results) for name in TABLES}


def test_fit():
    """Points on a line give that line; other points leave a residual."""
    exact = fit_line([Point(size, 5 + 2 * size) for size in (1, 2, 4)])
    CASE.assertAlmostEqual(exact.slope, 2)
    CASE.assertAlmostEqual(exact.at(100), 205)
    CASE.assertAlmostEqual(exact.residual, 0)
    bent = fit_line([Point(1, 1), Point(2, 4), Point(3, 1)])
    CASE.assertAlmostEqual(bent.slope, 0)
    CASE.assertGreater(bent.residual, 0.5)


def test_page_has_markers_for_each_table():
    """The page has markers for each table; replacing is idempotent."""
    tables = make_tables()
    once = replace_tables(PAGE.read_text(), tables)
    assert replace_tables(once, tables) == once
    for table in tables.values():
        assert table in once


def test_page_with_wrong_markers_is_refused():
    """A missing or unknown marker raises PageError."""
    for text in ('', '<!-- table:other -->\n<!-- end -->'):
        with CASE.assertRaises(PageError):
            replace_tables(text, {'one': 'table'})


def test_total_without_slopes_has_no_figure():
    """A total with an unmeasured part has no figure."""
    assert 'not measured yet' in make_tables()['traffic']
    assert '**sum** | **not measured yet**' in make_tables()['memory']
