"""What the VM that answers knows: entry VMs, table, drains and shifts."""

import enum
import hashlib
import math

import attrs

from chestnutshift.lookup.table import ClientTable

# Client blocks fall into buckets; a bucket is what a shift moves.
BUCKETS = 1024
# VMs of one region that one answer may name.
RANKED_MAX = 4
# Steps of headroom, so that small changes of load move no caller.
HEADROOM_STEPS = 4
HASH_BYTES = 8
HASH_RANGE = 1 << (HASH_BYTES * 8)


class EntryState(enum.Enum):
    """What membership says of an entry VM."""

    LIVE = 'live'
    LEAVING = 'leaving'
    DRAINED = 'drained'
    SILENT = 'silent'


# States in the order in which an answer without live VMs names them.
FALLBACK_STATES = (EntryState.LEAVING, EntryState.DRAINED, EntryState.SILENT)


@attrs.frozen
class EntryVM:
    """One entry VM: headroom is its free share, last_heard in seconds."""

    name: str
    url: str
    region: str
    failure_domain: str
    state: EntryState = EntryState.LIVE
    headroom: float = 1.0
    last_heard: float = 0


@attrs.frozen
class Shift:
    """A fraction of the source region's callers answered with the target."""

    source: str
    target: str
    fraction: float

    def covers(self, source: str, bucket: int) -> bool:
        """Tell whether the shift moves this bucket of the region."""
        return source == self.source and bucket < self.fraction * BUCKETS


def _group(view: 'LookupView') -> dict[tuple[str, EntryState], list[EntryVM]]:
    groups: dict[tuple[str, EntryState], list[EntryVM]] = {}
    for entry in view.entries:
        state = entry.state
        drained = entry.region in view.drained_regions
        if drained and state is EntryState.LIVE:
            state = EntryState.DRAINED
        groups.setdefault((entry.region, state), []).append(entry)
    return groups


def _private(default: object) -> object:
    return attrs.field(default=default, init=False, eq=False, repr=False)


@attrs.frozen
class LookupView:
    """One consistent state of everything that an answer depends on.

    orders holds, by the table's order index, regions with the nearest first;
    default_order serves callers that the table does not know. A planned
    drain of a region moves its callers by a shift first; drained_regions
    takes a region out of every answer at once.
    """

    entries: tuple[EntryVM, ...]
    table: ClientTable
    orders: tuple[tuple[str, ...], ...] = ()
    default_order: tuple[str, ...] = ()
    drained_regions: frozenset[str] = frozenset()
    shifts: tuple[Shift, ...] = ()
    _groups: dict[tuple[str, EntryState], list[EntryVM]] = _private(
        attrs.Factory(_group, takes_self=True),
    )
    _ranked: dict[tuple[str, EntryState, int], tuple[EntryVM, ...]] = _private(
        attrs.Factory(dict),
    )
    _completed: dict[tuple[str, ...], tuple[str, ...]] = _private(
        attrs.Factory(dict),
    )

    @property
    def without_shifts(self) -> 'LookupView':
        """The same view with every caller answered at home."""
        if not self.shifts:
            return self
        return attrs.evolve(self, shifts=())

    def moving(self, region: str) -> bool:
        """Tell whether a drain or a shift concerns the region."""
        if any(region in {one.source, one.target} for one in self.shifts):
            return True
        return any(
            (region, state) in self._groups
            for state in (EntryState.LEAVING, EntryState.DRAINED)
        )

    def order_at(self, index: int | None) -> tuple[str, ...]:
        """Return all regions in the order of a table's index."""
        if index is None or index >= len(self.orders):
            return self.complete(self.default_order)
        return self.complete(self.orders[index])

    def complete(self, order: tuple[str, ...]) -> tuple[str, ...]:
        """Return the order followed by every region that it lacks."""
        completed = self._completed.get(order)
        if completed is None:
            regions = sorted({entry.region for entry in self.entries})
            completed = tuple(dict.fromkeys((*order, *regions)))
            self._completed[order] = completed
        return completed

    def ranked(
        self,
        region: str,
        state: EntryState,
        bucket: int,
    ) -> tuple[EntryVM, ...]:
        """Return the first VMs of a region and state for a bucket."""
        place = (region, state, bucket)
        found = self._ranked.get(place)
        if found is None:
            found = rank(self._groups.get((region, state), []), bucket)
            self._ranked[place] = found
        return found

    def shift_of(self, region: str, bucket: int) -> Shift | None:
        """Return the shift that moves this bucket of the region, if any."""
        for shift in self.shifts:
            if shift.covers(region, bucket):
                return shift
        return None


def rank(entries: list[EntryVM], bucket: int) -> tuple[EntryVM, ...]:
    """Order VMs by weighted rendezvous hashing for one bucket.

    The second VM is of another failure domain than the first where there
    is one, so that an answer outlives the loss of a failure domain.
    """
    scored = sorted(entries, key=lambda entry: _score(entry, bucket))
    if not scored:
        return ()
    first = scored[0]
    for place, entry in enumerate(scored):
        if entry.failure_domain != first.failure_domain:
            scored.insert(1, scored.pop(place))
            break
    return tuple(scored[:RANKED_MAX])


def _score(entry: EntryVM, bucket: int) -> float:
    packed = f'{entry.name}|{bucket}'.encode()
    digest = hashlib.blake2b(packed, digest_size=HASH_BYTES).digest()
    uniform = (int.from_bytes(digest) + 1) / (HASH_RANGE + 1)
    steps = math.ceil(entry.headroom * HEADROOM_STEPS)
    return -math.log(uniform) / max(steps, 1)
