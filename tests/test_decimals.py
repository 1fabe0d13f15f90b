"""Tests of reading the numbers that other programs print."""

from decimal import Decimal

from hypothesis import example, given, settings
from hypothesis import strategies as st
from nose2.tools import params

from chestnutshift.decimals import (
    TEXT_MAX,
    UnreadableNumberError,
    parse_decimal,
    read_decimal,
    read_digits,
    read_whole,
)

EXAMPLES = 500
BOUND = 1e15
NUMBERS = st.floats(0, BOUND)
# Outside them Java prints numbers with an exponent.
JAVA_MIN = 0.001
JAVA_MAX = 10_000_000


def _is_unreadable(read, *args: object) -> bool:
    try:
        read(*args)
    except UnreadableNumberError:
        return True
    return False


def _java(number: float) -> str:
    """Print a number as 5.0E-4, 1.0E7 or 12.5, the shortest that is exact."""
    if not number or JAVA_MIN <= number < JAVA_MAX:
        return repr(number)
    digits, exponent = f'{Decimal(repr(number)):E}'.split('E')
    fraction = '' if '.' in digits else '.0'
    return f'{digits}{fraction}E{int(exponent)}'


# What writers print: the shortest text, 17 digits, all digits of the double,
# an exponent, one digit for the rest, none before the point.
NOTATIONS = (
    repr,
    '{0:.17g}'.format,
    '{0:.16e}'.format,
    '{0:.1074f}'.format,
    _java,
    lambda number: f'+{number!r}',
    lambda number: f'000000000000000000000{number:.1074f}000',
    lambda number: str(Decimal(number)),
    lambda number: f'{Decimal(repr(number)):f}',
    lambda number: f'{Decimal(repr(number)):f}'.removeprefix('0') or '0',
)


# Guards against a number that is refused for how a sound writer prints it.
@settings(max_examples=EXAMPLES, deadline=None)
@given(NUMBERS)
@example(5e-324)
@example(BOUND)
def test_every_notation_of_a_number(number: float) -> None:
    """The value read is the value printed, to the last bit."""
    for write in NOTATIONS:
        assert read_decimal(write(number), BOUND) == number, write(number)


# Guards against another reading than the grammar's, and against any other
# exception, which would end the task that reads.
@settings(max_examples=EXAMPLES, deadline=None)
@given(st.one_of(st.text(max_size=30), st.floats().map(repr), st.none()))
def test_any_other_text_is_unreadable(text: object) -> None:
    """A text is read as the number that Decimal reads, or not at all."""
    if not _is_unreadable(parse_decimal, text):
        assert parse_decimal(text) == float(Decimal(text))
    if not _is_unreadable(read_decimal, text, BOUND):
        assert 0 <= read_decimal(text, BOUND) <= BOUND


@params(
    '', ' 1', '1 ', '1s', 'nan', 'inf', 'Infinity', '1_000',
    '1,5', '3, 4', '0x10', '1e', 'e5', '.', '+', '+-1', '1.2.3', '\u0661',
    '1\n', '0' * (TEXT_MAX + 1), None, 1.5, b'1',
)  # fmt: skip
def test_texts_that_are_no_numbers(text: object) -> None:
    """Each reader refuses them."""
    assert _is_unreadable(parse_decimal, text)
    assert _is_unreadable(read_decimal, text, BOUND)
    assert _is_unreadable(read_whole, text, 10)
    assert _is_unreadable(read_digits, text, 10)


@params(
    ('.5', 0.5), ('8.', 8), ('+8', 8), ('1e3', 1000), ('1E+3', 1000),
    ('5.0E-4', 0.0005), ('-0.0', 0), ('007', 7), ('1e-999', 0),
)  # fmt: skip
def test_notations(text: str, number: float) -> None:
    """The less usual ones have one reading each."""
    assert read_decimal(text, BOUND) == number


@params('1e16', '9' * 400, '1e999', '-1', '-1e-9', '-1e999')
def test_range(text: str) -> None:
    """What is out of range is a number all the same."""
    number = parse_decimal(text)
    assert number > BOUND or number < 0
    assert _is_unreadable(read_decimal, text, BOUND)


def test_whole_numbers() -> None:
    """They may be written with a fraction of 0, digits alone may not."""
    assert read_whole('3.0', 5) == 3
    assert read_whole('3e0', 5) == 3
    assert _is_unreadable(read_whole, '3.5', 5)
    assert _is_unreadable(read_whole, '6', 5)
    assert read_digits('0000000000000000000012', 12) == 12
    assert read_digits('0000000C', 12, 16) == 12
    for text in ('3.0', '+3', '-3', '3e0', '13', '0x1'):
        assert _is_unreadable(read_digits, text, 12)
