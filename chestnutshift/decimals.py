"""Numbers that other programs print: which texts are read, and their values.

Any language's notation counts, with all its digits: 8.333333333333334, 1e-05,
5.0E-4, .5, +8. A number is bounded by its value, never by how it is written.
"""

import re
from collections.abc import Callable, Collection, Iterable
from typing import TypeVar

import attrs

from chestnutshift.exceptions import CodedError

# More than the digits of any double; a longer text only takes time to read.
TEXT_MAX = 2048
_DECIMAL = re.compile(
    r'[+-]?(?:[0-9]+(?:\.[0-9]*)?|\.[0-9]+)(?:[eE][+-]?[0-9]+)?'
)
_DIGITS = {10: re.compile('[0-9]+'), 16: re.compile('[0-9a-fA-F]+')}
# Messages between VMs carry integers up to this one, a signed 64-bit number.
INTEGER_MAX = 2**63 - 1
# Characters of a text in an error message.
SHOWN_MAX = 40
Number = TypeVar('Number')


class UnreadableNumberError(CodedError):
    """A text is no number, or one that is out of range."""

    code = 'number.unreadable'


@attrs.define
class NumberReader:
    """Reads numbers of headers; malformed has the others, with the reason."""

    malformed: dict[str, str] = attrs.field(factory=dict)

    def read(
        self,
        header: bytes,
        text: bytes | None,
        parse: Callable[[str], Number],
    ) -> Number | None:
        """Return what the parser makes of a text, None if it has nothing."""
        if text is None:
            return None
        try:
            return parse(text.decode('latin-1').strip())
        except UnreadableNumberError as error:
            self.malformed[header.decode()] = error.detail
            return None

    def read_all(
        self,
        headers: Iterable[tuple[bytes, bytes]],
        names: Collection[bytes],
        parse: Callable[[str], Number],
    ) -> set[Number | None]:
        """Return the numbers of all headers with these names."""
        found = [header for header in headers if header[0] in names]
        return {self.read(name, text, parse) for name, text in found}


def check_number(number: object, maximum: float) -> float:
    """Return a decoded number from 0 to maximum.

    Raise UnreadableNumberError for others and for other types.
    """
    if isinstance(number, bool) or not isinstance(number, (int, float)):
        raise _unreadable(number)
    if not 0 <= number <= maximum:
        raise _unreadable(number, 'out of range')
    return number


def check_integer(number: object, maximum: int) -> int:
    """Return a decoded integer, which some writers print as 2.0.

    Raise UnreadableNumberError as check_number does, and for fractions.
    """
    checked = check_number(number, maximum)
    if checked != int(checked):
        raise _unreadable(number, 'not a whole number')
    return int(checked)


def parse_decimal(text: object) -> float:
    """Return the value of a decimal number, infinite for a huge one.

    Raise UnreadableNumberError for other texts.
    """
    if not isinstance(text, str) or len(text) > TEXT_MAX:
        raise _unreadable(text)
    if _DECIMAL.fullmatch(text) is None:
        raise _unreadable(text)
    return float(text)


def read_decimal(text: object, maximum: float) -> float:
    """Return a number from 0 to maximum; raise UnreadableNumberError."""
    number = parse_decimal(text)
    if not 0 <= number <= maximum:
        raise _unreadable(text, 'out of range')
    # A zero with a minus sign is 0.
    return abs(number)


def read_whole(text: object, maximum: int) -> int:
    """Return a number without a fraction, which may be written as 3.0.

    Raise UnreadableNumberError for others, and for one over maximum.
    """
    if isinstance(text, str) and text.isascii() and text.isdigit():
        # Nearly all are, and this takes a third of the time.
        return read_digits(text, maximum)
    return check_integer(read_decimal(text, maximum), maximum)


def read_digits(text: object, maximum: int, base: int = 10) -> int:
    """Return an integer from 0 to maximum that is written in digits alone.

    base is 10 or 16. Raise UnreadableNumberError for any other text.
    """
    if not isinstance(text, str) or len(text) > TEXT_MAX:
        raise _unreadable(text)
    if _DIGITS[base].fullmatch(text) is None:
        raise _unreadable(text)
    number = int(text, base)
    if number > maximum:
        raise _unreadable(text, 'out of range')
    return number


def _unreadable(
    text: object, reason: str = 'not a number'
) -> UnreadableNumberError:
    # Of a huge integer even the repr raises an exception.
    shown = 'an integer' if isinstance(text, int) else repr(text)
    if len(shown) > SHOWN_MAX:
        shown = f'{shown[:SHOWN_MAX]}...'
    return UnreadableNumberError(f'{shown} is {reason}')
