"""Leases of seats, each with an equal share of every account's limits.

A seat is a VM's position in its failure domain. Its row in the platform's
seats table names the holder, a VM incarnation, which may spend the seat's
share for `floor_s` after the start of its last confirmed renewal. Another
incarnation may take the seat if the holder released it; if the row did not
change for `lease_s` and the holder is known to be gone; or if the row did not
change for `floor_s`. It measures these times by its own monotonic clock only.
"""

import enum
import math

import attrs

from chestnutshift.accounts.exceptions import InvalidSeatRecordError

SEATS_TABLE = 'seats'

# Allowed drift between two clocks during one lease.
CLOCK_MARGIN_S = 0.5


@attrs.frozen
class SeatRecord:
    """The content of one row of the seats table.

    lease_s, floor_s and settle_s are the values that the holder uses;
    settle_s is how long its loans may outlive the lease.
    """

    holder: str
    fence: int
    lease_s: float
    floor_s: float
    settle_s: float
    released: bool = False

    @classmethod
    def from_row(cls, row: dict[str, object]) -> 'SeatRecord':
        """Parse a row; raise InvalidSeatRecordError if it is malformed."""
        try:
            return cls(**row)  # type: ignore[arg-type]
        except TypeError as error:
            raise InvalidSeatRecordError(str(error)) from error

    def as_row(self) -> dict[str, object]:
        """Return the record as a JSON-serializable dictionary."""
        return attrs.asdict(self)


@attrs.frozen
class SeatLease:
    """When the holder of a seat may spend the seat's share, in seconds.

    started is when the renewal was started, starts and ends bound the time
    for spending. settle_s is how long, by the row, loans may outlive the
    lease. lease_s is the time without a renewal after which another VM may
    take the seat if the holder is known to be gone.
    """

    started: float = -math.inf
    starts: float = math.inf
    ends: float = -math.inf
    settle_s: float = 0
    lease_s: float = math.inf

    def covers(self, moment: float) -> bool:
        """Return whether the share may be spent at this moment."""
        return self.starts <= moment < self.ends


NO_LEASE = SeatLease()


class SeatStep(enum.Enum):
    """The next step of a VM for its seat, given the row."""

    RENEW = 'renew'
    TAKE = 'take'
    WAIT = 'wait'


@attrs.define
class RowWatch:
    """Measures by this VM's clock how long a row stays unchanged."""

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
    """Return the next step of the VM for its seat.

    vm is the caller's incarnation. holder_gone is true if the holder is known
    to have ended, by a check made after this version was first seen.
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
