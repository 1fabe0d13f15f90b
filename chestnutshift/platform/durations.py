"""The platform's notation of durations: a number and its unit."""

import math
import re

from chestnutshift.platform.exceptions import MalformedError

# With so many digits a duration is finite, and a float exact to the unit.
_DURATION = re.compile(r'([0-9]{1,15}(?:\.[0-9]{1,9})?)(ms|s)')
_SECONDS = {'ms': 0.001, 's': 1.0}


def read_duration(text: object) -> float:
    """Parse a duration into seconds; raise MalformedError."""
    match = _DURATION.fullmatch(text) if isinstance(text, str) else None
    if match is None:
        raise MalformedError(f'{text!r} is not a duration')
    number, unit = match.groups()
    return float(number) * _SECONDS[unit]


def write_duration(duration_s: float) -> str:
    """Format a duration in whole milliseconds, rounded down."""
    return f'{math.floor(duration_s * 1000)}ms'
