"""A fake of the platform's table of seats."""

from collections.abc import Callable, Coroutine

import attrs

from chestnutshift.accounts.seat_manager import SeatRow
from chestnutshift.accounts.seats import SeatRecord
from chestnutshift.exceptions import CodedError


@attrs.define
class FakeSeatTable:
    """The table of seats as one VM reaches it, without real waiting."""

    rows: dict[str, SeatRow]
    is_reachable: Callable[[], bool]
    loses_answer: Callable[[], bool]

    async def read(self, seat: str) -> SeatRow | None:
        """Return the row; raise CodedError while unreachable."""
        self._check()
        return self.rows.get(seat)

    async def write(
        self,
        seat: str,
        record: SeatRecord,
        version: int | None,
        operation_id: str,
    ) -> None:
        """Write the row if its version matches.

        CodedError is raised for a conflict, for an unreachable table and for
        a lost answer, whose write has taken effect.
        """
        self._check()
        row = self.rows.get(seat)
        if version != (row and row.version):
            raise CodedError('conflict')
        self.rows[seat] = SeatRow(record, (version or 0) + 1)
        if self.loses_answer():
            raise CodedError('outcome unknown')

    def _check(self) -> None:
        if not self.is_reachable():
            raise CodedError('unavailable')


def run_without_waiting(step: Coroutine) -> object:
    """Return the result of a coroutine that never waits."""
    try:
        step.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError(
        'a coroutine waited although the fake platform never does'
    )
