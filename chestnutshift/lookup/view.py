"""The state that look-ups use: entry VMs, table, drains and shifts."""

import attrs

from chestnutshift.lookup.ranking import (
    BUCKETS,
    EMPTY_RANKING,
    EntryState,
    EntryVM,
    Ranking,
)
from chestnutshift.lookup.table import ClientTable

# The order in which an answer names VMs if none is live.
FALLBACK_STATES = (EntryState.LEAVING, EntryState.DRAINED, EntryState.SILENT)

# A region and the state of its entry VMs.
Group = tuple[str, EntryState]


@attrs.frozen
class Shift:
    """A move of a fraction of the source region's callers to the target."""

    source: str
    target: str
    fraction: float

    def covers(self, source: str, bucket: int) -> bool:
        """Return whether the shift moves this bucket of the region."""
        return source == self.source and bucket < self.fraction * BUCKETS


def _rank_groups(view: 'LookupView') -> dict[Group, Ranking]:
    groups: dict[Group, list[EntryVM]] = {}
    for entry in view.entries:
        state = entry.state
        drained = entry.region in view.drained_regions
        if drained and state is EntryState.LIVE:
            state = EntryState.DRAINED
        groups.setdefault((entry.region, state), []).append(entry)
    return {group: Ranking(tuple(groups[group])) for group in groups}


def _cache_field(default: object) -> object:
    return attrs.field(default=default, init=False, eq=False, repr=False)


@attrs.frozen
class LookupView:
    """A consistent snapshot of everything that an answer depends on.

    orders lists, by order index of the table, preference orders of regions,
    nearest first; default_order applies to callers outside the table. A
    planned drain of a region moves its callers by a shift first;
    drained_regions removes a region from every answer at once, unless no VM
    elsewhere is live.
    """

    entries: tuple[EntryVM, ...]
    table: ClientTable
    orders: tuple[tuple[str, ...], ...] = ()
    default_order: tuple[str, ...] = ()
    drained_regions: frozenset[str] = frozenset()
    shifts: tuple[Shift, ...] = ()
    _rankings: dict[Group, Ranking] = _cache_field(
        attrs.Factory(_rank_groups, takes_self=True),
    )
    _complete_orders: dict[tuple[str, ...], tuple[str, ...]] = _cache_field(
        attrs.Factory(dict),
    )

    @property
    def without_shifts(self) -> 'LookupView':
        """The view for callers that a capped shift can't move.

        A drained region still serves them: the cap takes precedence over the
        drain.
        """
        if not self.shifts:
            return self
        without_shifts = attrs.evolve(
            self, shifts=(), drained_regions=frozenset()
        )
        without_shifts.reuse_rankings(self)
        return without_shifts

    def reuse_rankings(self, previous: 'LookupView') -> None:
        """Copy the rankings of the previous view that still apply."""
        for group, ranking in previous._rankings.items():
            current = self._rankings.get(group)
            if current == ranking:
                self._rankings[group] = ranking
            elif current is not None:
                current.reuse(ranking)

    def is_moving(self, region: str) -> bool:
        """Return whether a drain or a shift affects the region."""
        if any(region in {shift.source, shift.target} for shift in self.shifts):
            return True
        return any(
            (region, state) in self._rankings
            for state in (EntryState.LEAVING, EntryState.DRAINED)
        )

    def order_at(self, index: int | None) -> tuple[str, ...]:
        """Return all regions in the preference order of an order index."""
        if index is None or index >= len(self.orders):
            return self.complete(self.default_order)
        return self.complete(self.orders[index])

    def complete(self, order: tuple[str, ...]) -> tuple[str, ...]:
        """Return the order with every missing region appended."""
        completed = self._complete_orders.get(order)
        if completed is None:
            regions = sorted({entry.region for entry in self.entries})
            completed = tuple(dict.fromkeys((*order, *regions)))
            self._complete_orders[order] = completed
        return completed

    def ranked(
        self,
        region: str,
        state: EntryState,
        bucket: int,
    ) -> tuple[EntryVM, ...]:
        """Return the best VMs of a region and state for a bucket."""
        return self._rankings.get((region, state), EMPTY_RANKING).first(bucket)

    def shift_of(self, region: str, bucket: int) -> Shift | None:
        """Return the shift that moves this bucket of the region, if any."""
        for shift in self.shifts:
            if shift.covers(region, bucket):
                return shift
        return None
