"""Where a VM reads the fleet's shared state, whatever keeps it."""

import abc
from typing import Generic, TypeVar

import attrs

State = TypeVar('State')


@attrs.frozen
class Evacuation:
    """A failure domain whose upstreams are to get nothing."""

    failure_domain: str


@attrs.frozen
class Change(Generic[State]):
    """A row as it is now; state is None where it is removed or malformed.

    problem says why a row that is there could not be decoded.
    """

    key: str
    state: State | None
    problem: str = ''


@attrs.frozen
class View(Generic[State]):
    """Changes up to a version of the store.

    Everything that was confirmed before asked_at (boot time, seconds) is in
    it. is_whole tells whether it lists every row. store_now is the store's
    steady clock at the answer, None if it did not say. changed_at is the
    version of the newest change, 0 where there is none.
    """

    changes: tuple[Change[State], ...]
    version: int
    asked_at: float
    is_whole: bool
    store_now: float | None = None
    changed_at: int = 0


class Source(abc.ABC, Generic[State]):
    """One table of the store, decoded."""

    @abc.abstractmethod
    async def read(self) -> View[State]:
        """Return every row; raises CodedError."""

    @abc.abstractmethod
    async def follow(self, after: int, wait_s: float) -> View[State]:
        """Return what changed after the version, waiting for a change.

        Raises LostHistoryError when the table must be read afresh, and other
        CodedErrors.
        """
