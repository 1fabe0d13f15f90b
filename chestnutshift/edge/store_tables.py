"""Interface to the store's tables, independent of the store's kind."""

import abc
from typing import Generic, TypeVar

import attrs

from chestnutshift.fleet.store_polling import StorePosition

State = TypeVar('State')


@attrs.frozen
class Evacuation:
    """A failure domain whose upstreams must receive no requests."""

    failure_domain: str


@attrs.frozen
class Change(Generic[State]):
    """The current content of a row.

    state is None for a row that is removed, malformed or of no interest;
    problem says why a malformed row could not be decoded. fault is the
    unexpected exception that its decoding raised, None for none.
    """

    key: str
    state: State | None
    problem: str = ''
    fault: Exception | None = None


@attrs.frozen
class View(Generic[State]):
    """The changes of a table up to a version of the store.

    Includes every change that was confirmed before requested_at (boot time,
    seconds). is_whole tells whether the view lists every row. store_now is
    the store's monotonic clock at the answer, None if the answer lacks it.
    changed_at is the version of the newest change in the view, 0 if there is
    none. era is the store's: it rises when the store returns from an older
    copy, and versions are then given out again; 0 if the store names none.
    """

    changes: tuple[Change[State], ...]
    version: int
    requested_at: float
    is_whole: bool
    store_now: float | None = None
    changed_at: int = 0
    era: int = 0

    @property
    def position(self) -> StorePosition:
        """The store's position up to which the view is complete."""
        return StorePosition(self.era, self.version)

    @property
    def changed_position(self) -> StorePosition:
        """The store's position of the newest change in the view."""
        return StorePosition(self.era, self.changed_at)


class Source(abc.ABC, Generic[State]):
    """One table of the store, with decoded rows."""

    @abc.abstractmethod
    async def read(self) -> View[State]:
        """Return every row; raises CodedError."""

    @abc.abstractmethod
    async def follow(self, after: int, wait_s: float) -> View[State]:
        """Long-poll for changes after a version, for at most wait_s.

        Raises LostHistoryError if the whole table must be read again, and
        other CodedErrors.
        """
