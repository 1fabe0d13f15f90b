"""The memory of the requests that a VM serves."""

import attrs

from chestnutshift.clocks import boot_time
from chestnutshift.memory.budget import Kind, Reservation


@attrs.frozen
class ReservedBody:
    """Counts the buffered bytes of one request's body."""

    _reservation: Reservation

    def reserve(self, more_b: int) -> None:
        """Count more bytes; raises MemoryFullError."""
        self._reservation.reserve(Kind.BODY, more_b, boot_time())

    def release(self) -> None:
        """Count none any more."""
        self._reservation.release(Kind.BODY)
