"""Leases of seats: who holds a VM's place and the shares that go with it.

A seat is a VM's place in its failure domain. Its row in the platform's table
names the holder. A holder spends the seat's share for `floor_s` after the
start of its last confirmed renewal. Another VM may take the seat when the
holder gave it up; when the row did not change for `lease_s` and the
platform's list says that the holder is gone; or when the row did not change
for `floor_s`. A taker measures this by its own monotonic clock only.
"""

import enum
import math

import attrs

from chestnutshift.accounts.exceptions import InvalidSeatRecordError

SEATS_TABLE = 'seats'

# Seconds by which two clocks may drift apart during one lease.
CLOCK_MARGIN_S = 0.5


@attrs.frozen
class SeatRecord:
    """The content of one row of the table of seats.

    settle_s is how long loans of the holder may go on after its own right
    ended; lease_s, floor_s and settle_s are those that the holder uses.
    """

    holder: str
    fence: int
    lease_s: float
    floor_s: float
    settle_s: float
    released: bool = False

    @classmethod
    def from_row(cls, row: dict[str, object]) -> 'SeatRecord':
        """Read a row; raise InvalidSeatRecordError if it is malformed."""
        try:
            return cls(**row)  # type: ignore[arg-type]
        except TypeError as error:
            raise InvalidSeatRecordError(str(error)) from error

    def as_row(self) -> dict[str, object]:
        """Return the record as a dictionary fit for JSON."""
        return attrs.asdict(self)


@attrs.frozen
class SeatRight:
    """When the holder of a seat may spend the seat's share, in seconds.

    started is when the renewal that gave this right was started; settle_s
    is how long, by the row, loans may go on after the holder, and lease_s
    when another VM may take the seat of a holder that the list has lost.
    """

    started: float = -math.inf
    starts: float = math.inf
    ends: float = -math.inf
    settle_s: float = 0
    lease_s: float = math.inf

    def covers(self, moment: float) -> bool:
        """Tell whether the share may be spent at this moment."""
        return self.starts <= moment < self.ends


NO_RIGHT = SeatRight()


class SeatStep(enum.Enum):
    """What a VM can do about its seat, given the row."""

    RENEW = 'renew'
    TAKE = 'take'
    WAIT = 'wait'


@attrs.define
class RowWatch:
    """How long a row has been seen unchanged, by this VM's clock."""

    _version: int | None = None
    _since: float = math.inf

    def observe(self, version: int, now: float) -> float:
        """Return the seconds since this version was first seen."""
        if version != self._version:
            self._version = version
            self._since = now
        return now - self._since


def next_step(
    record: SeatRecord | None,
    vm: str,
    unchanged_s: float,
    *,
    holder_gone: bool,
) -> SeatStep:
    """Decide what the VM does about its seat.

    vm is the incarnation that asks. holder_gone says that the platform's
    list, read after the row was first seen, no longer has the holder.
    """
    if record is None or record.released:
        return SeatStep.TAKE
    if record.holder == vm:
        return SeatStep.RENEW
    if unchanged_s > record.floor_s + CLOCK_MARGIN_S:
        return SeatStep.TAKE
    if holder_gone and unchanged_s > record.lease_s + CLOCK_MARGIN_S:
        return SeatStep.TAKE
    return SeatStep.WAIT
