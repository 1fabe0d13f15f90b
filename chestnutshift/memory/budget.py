"""A budget of buffered bytes, and who gives way when it is used up."""

import enum
import math
import operator
from collections.abc import Callable, Mapping

import attrs

from chestnutshift.memory.exceptions import MemoryFullError

# Parts of the budget that bodies, and buffered answers, may use, so that short
# requests are served beside any number of uploads and slow readers.
BODY_RATIO = 0.6
ANSWER_RATIO = 0.25
# An upload without a byte for this long gives way before those that go on.
STALLED_S = 1.0
# By how much the ceiling is lowered. Beside open connections a few requests are
# always served, in this much or half of the budget.
LOWER_RATIO = 0.9
CEILING_MIN_B = 4_000_000
# Bytes that are read at a time; from half of the budget on; and when it is
# used up. Smaller buffers leave fewer holes in the heap.
READ_B = 65_536
SHORT_READ_B = 16_384
FULL_READ_B = 8192
# A request without body and answer.
REQUEST_B = 32_000
# A part of an answer that is being written exists twice.
ANSWER_COPIES = 2
FULL_DETAIL = 'this VM has no memory for the request; it was not sent'
GAVE_WAY_DETAIL = (
    'this VM is short of memory, and the request, which was not sent, gave way'
)

_RANK = operator.itemgetter(0)


class Kind(enum.StrEnum):
    """What bytes are used for."""

    CONNECTION = 'connection'
    # Tasks and parsers of a request, and its connection to an upstream.
    REQUEST = 'request'
    BODY = 'body'
    # Answers that are not written yet.
    ANSWER = 'answer'
    # Bytes from callers that are not parsed yet.
    READ_AHEAD = 'read_ahead'


_RATIOS = {Kind.BODY: BODY_RATIO, Kind.ANSWER: ANSWER_RATIO}


@attrs.define(eq=False)
class MemoryBudget:
    """The bytes that callers may use, and those that they do, by kind.

    ceiling_b is below total_b while the process is larger than these bytes
    explain. refused_count counts requests that were refused or gave way.
    """

    total_b: float = math.inf
    ceiling_b: float = math.inf
    refused_count: int = 0
    _sum_b: int = 0
    _used_b: dict[Kind, int] = attrs.field(
        factory=lambda: dict.fromkeys(Kind, 0)
    )
    # Requests that may give way.
    _yielding: set['Reservation'] = attrs.field(factory=set)

    def __attrs_post_init__(self) -> None:
        """Start with all of the budget."""
        self.ceiling_b = self.total_b

    @property
    def used_b(self) -> Mapping[Kind, int]:
        """The bytes in use, by kind."""
        return self._used_b

    @property
    def sum_b(self) -> int:
        """The bytes in use."""
        return self._sum_b

    @property
    def allowed_b(self) -> float:
        """The bytes that may be used now; some are left by connections."""
        least_b = min(CEILING_MIN_B, self.total_b / 2)
        return max(self.ceiling_b, self._used_b[Kind.CONNECTION] + least_b)

    @property
    def is_full(self) -> bool:
        """Whether as little as possible is to be read ahead."""
        return self._sum_b >= self.allowed_b

    def lower(self) -> None:
        """Allow less than is in use, since the process is too large."""
        allowed_b = min(self.ceiling_b, self._sum_b) * LOWER_RATIO
        self.ceiling_b = max(CEILING_MIN_B, allowed_b)

    def restore(self) -> None:
        """Allow all of the budget again."""
        self.ceiling_b = self.total_b

    def read_b(self) -> int:
        """Return how many bytes to read from a caller at a time."""
        return _read_b(self._sum_b, self.allowed_b)

    def answer_read_b(self) -> int:
        """Return how many bytes of an answer to read at a time."""
        share_b = self.allowed_b * ANSWER_RATIO
        used_b = _read_b(self._used_b[Kind.ANSWER], share_b)
        # All requests may be about to read; the size is chosen before.
        requests = self._used_b[Kind.REQUEST] / REQUEST_B
        each_b = FULL_READ_B
        if requests * ANSWER_COPIES * READ_B <= share_b:
            each_b = READ_B
        elif requests * ANSWER_COPIES * SHORT_READ_B <= share_b:
            each_b = SHORT_READ_B
        return min(self.read_b(), used_b, each_b)

    def has_room(self, kind: Kind, more_b: int) -> bool:
        """Return whether more_b further bytes may be used."""
        allowed_b = self.allowed_b
        if self._sum_b + more_b > allowed_b:
            return False
        ratio = _RATIOS.get(kind, 1)
        return self._used_b[kind] + more_b <= allowed_b * ratio

    def add(self, kind: Kind, more_b: int) -> None:
        """Count bytes in use; more_b is negative for some that are free."""
        self._used_b[kind] += more_b
        self._sum_b += more_b

    def make_room(
        self, asker: 'Reservation', kind: Kind, more_b: int, now: float
    ) -> None:
        """Let uploads give way until more_b bytes are free.

        Raises MemoryFullError if the asker is the next one to go.
        """
        asker_rank = asker.rank(now)
        while not self.has_room(kind, more_b):
            self.refused_count += 1
            ranked = [(held.rank(now), held) for held in self._yielding]
            rank, last = max(ranked, key=_RANK, default=(asker_rank, asker))
            if rank <= asker_rank:
                raise MemoryFullError(FULL_DETAIL)
            last.give_way()

    def let_yield(self, reservation: 'Reservation', *, may: bool) -> None:
        """Set whether a request may give way."""
        if may:
            self._yielding.add(reservation)
        else:
            self._yielding.discard(reservation)


def _read_b(used_b: float, share_b: float) -> int:
    """Return how many bytes to read at a time, less the more are in use."""
    if used_b >= share_b:
        return FULL_READ_B
    return READ_B if used_b < share_b / 2 else SHORT_READ_B


def _do_nothing() -> None:
    """Do nothing."""


@attrs.define(eq=False)
class Reservation:
    """The bytes of one request in the budget.

    priority is that of its route, 0 the most urgent; progressed_at is when its
    last byte came. end is called when it gives way: it drops the body and ends
    the request.
    """

    _budget: MemoryBudget
    priority: int
    progressed_at: float
    end: Callable[[], None] = _do_nothing
    has_given_way: bool = False
    _is_kept: bool = False
    _used_b: dict[Kind, int] = attrs.field(factory=dict)

    def rank(self, now: float) -> tuple[bool, int, float]:
        """Return the order in which requests give way, the highest first."""
        silent_s = now - self.progressed_at
        return (silent_s >= STALLED_S, self.priority, silent_s)

    def reserve(self, kind: Kind, more_b: int, now: float) -> None:
        """Count more bytes of a request that is not sent yet.

        Raises MemoryFullError if there is no room, even if others give way.
        """
        self.progressed_at = now
        if not self._budget.has_room(kind, more_b):
            self._budget.make_room(self, kind, more_b, now)
        self.add(kind, more_b)
        if kind is Kind.BODY and not self._is_kept:
            self._budget.let_yield(self, may=True)

    def try_add(self, kind: Kind, more_b: int) -> bool:
        """Count more bytes if there is room; nobody gives way to them."""
        if not self._budget.has_room(kind, more_b):
            return False
        self.add(kind, more_b)
        return True

    def add(self, kind: Kind, more_b: int) -> None:
        """Count more bytes, whether or not there is room."""
        self._used_b[kind] = self._used_b.get(kind, 0) + more_b
        self._budget.add(kind, more_b)

    def release(self, kind: Kind) -> None:
        """Count no bytes of the kind any more."""
        self._budget.add(kind, -self._used_b.pop(kind, 0))

    def keep(self) -> None:
        """Let the request give way no more, since it is sent now.

        Raises MemoryFullError if it has given way.
        """
        if self.has_given_way:
            raise MemoryFullError(GAVE_WAY_DETAIL)
        self._is_kept = True
        self._budget.let_yield(self, may=False)

    def give_way(self) -> None:
        """End the request for others."""
        self.has_given_way = True
        self._budget.let_yield(self, may=False)
        self.end()
        self.release(Kind.BODY)

    def close(self) -> None:
        """Count nothing of the request any more."""
        self._budget.let_yield(self, may=False)
        for kind in tuple(self._used_b):
            self.release(kind)
