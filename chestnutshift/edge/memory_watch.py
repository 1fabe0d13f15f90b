"""Watch the size of the process, and give freed memory back."""

import math
from collections.abc import Callable

import attrs

from chestnutshift.edge import events
from chestnutshift.edge.state import EdgeState
from chestnutshift.memory.heap import trim_heap
from chestnutshift.memory.sizes import PROGRAM_B
from chestnutshift.memory.usage import read_resident_b

# Parts of the limit from which on memory is short, and below which it is no
# more.
SHORT_RATIO = 0.85
ENOUGH_RATIO = 0.75
# What is resident beyond what is in use, in bytes, before it is given back.
TRIM_MIN_B = 16_000_000
# It is tried again at once while that helps, and less often if it doesn't.
TRIM_PERIOD_S = 0.2
TRIM_USELESS_PERIOD_S = 5.0
TRIM_USEFUL_B = 4_000_000


@attrs.define
class MemoryWatch:
    """Measures the process, and lowers the budget while it is too large."""

    _state: EdgeState
    _read_resident_b: Callable[[], int | None] = read_resident_b
    _trim_heap: Callable[[], bool] = trim_heap
    _trim_at: float = -math.inf
    _is_short: bool = False

    def check(self, now: float) -> None:
        """Measure, and act on it; without a known limit do nothing."""
        limit_b = self._state.settings.memory_b
        if not limit_b:
            return
        resident_b = self._read_resident_b()
        if resident_b is None:
            return
        if self._is_trim_due(resident_b, now):
            resident_b = self._trim(resident_b, now)
        self._judge(resident_b, limit_b)

    def _is_trim_due(self, resident_b: int, now: float) -> bool:
        excess_b = resident_b - PROGRAM_B - self._state.memory.sum_b
        return now >= self._trim_at and excess_b > TRIM_MIN_B

    def _trim(self, resident_b: int, now: float) -> int:
        """Give freed memory back; return what is resident then."""
        self._trim_heap()
        left_b = self._read_resident_b() or resident_b
        is_useful = resident_b - left_b >= TRIM_USEFUL_B
        period_s = TRIM_PERIOD_S if is_useful else TRIM_USELESS_PERIOD_S
        self._trim_at = now + period_s
        return left_b

    def _judge(self, resident_b: int, limit_b: int) -> None:
        memory = self._state.memory
        if resident_b > limit_b * SHORT_RATIO:
            memory.lower()
            self._log(resident_b, is_short=True)
        elif resident_b < limit_b * ENOUGH_RATIO:
            memory.restore()
            self._log(resident_b, is_short=False)

    def _log(self, resident_b: int, *, is_short: bool) -> None:
        if is_short is self._is_short:
            return
        self._is_short = is_short
        memory = self._state.memory
        event = events.MEMORY_SHORT if is_short else events.MEMORY_ENOUGH
        self._state.event_log.emit(
            event,
            resident_b=resident_b,
            limit_b=self._state.settings.memory_b,
            budget_b=round(memory.total_b),
            refused=memory.refused_count,
            **{f'{kind}_b': used for kind, used in memory.used_b.items()},
        )
