"""Tests of the filter of the timeline."""

from nose2.tools import params

from chestnutshift.operators.exceptions import BadRequestError
from chestnutshift.operators.timeline import read_filter


# Guards against a question that fails within the program for its number.
@params('9' * 5000, '\u00b2', '-1', '1.5', 'x')
def test_malformed_numbers(text: str) -> None:
    """They are refused as a bad request."""
    for name in ('number', 'since'):
        try:
            read_filter({name: text})
        except BadRequestError:
            continue
        raise AssertionError(f'{name} was read')


def test_filter() -> None:
    """Numbers that are missing or empty are 0."""
    event_filter = read_filter({'number': '8001', 'since': ''})
    assert (event_filter.number, event_filter.since) == (8001, 0)
