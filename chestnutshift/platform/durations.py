"""The platform's notation of durations: a number and its unit."""

import math

from chestnutshift.decimals import read_decimal
from chestnutshift.platform.exceptions import MalformedError
from chestnutshift.platform.fields import read_as

# Durations are added to times; with a larger one the sum is no longer exact.
DURATION_MAX_S = 1e15
# The longer name first: both end in the shorter one.
_UNITS_PER_S = {'ms': 1000, 's': 1}


def read_duration(text: object, name: str = 'duration') -> float:
    """Parse a duration into seconds; raise MalformedError, with the name."""
    if isinstance(text, str):
        for unit, per_s in _UNITS_PER_S.items():
            if text.endswith(unit):
                number = text.removesuffix(unit)
                maximum = DURATION_MAX_S * per_s
                return read_as(name, read_decimal, number, maximum) / per_s
    raise MalformedError(f'{name}: {text!r} is not a number with a unit')


def write_duration(duration_s: float) -> str:
    """Format a duration in whole milliseconds, rounded down."""
    return f'{math.floor(duration_s * 1000)}ms'
