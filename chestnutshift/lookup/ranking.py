"""Entry VMs, and their order for each bucket of client blocks."""

import enum
import hashlib
import math

import attrs

# Client blocks fall into buckets; a bucket is what a shift moves.
BUCKETS = 1024
# VMs of one region that one answer may name.
RANKED_MAX = 4
# Steps of headroom, so that small changes of load move no caller.
HEADROOM_STEPS = 4
# With more VMs new to a region than this, ranking anew is as quick.
ADDED_MAX = 8
HASH_SIZE_B = 8
HASH_RANGE = 1 << (HASH_SIZE_B * 8)


class EntryState(enum.Enum):
    """What membership says of an entry VM."""

    LIVE = 'live'
    LEAVING = 'leaving'
    DRAINED = 'drained'
    SILENT = 'silent'


def headroom_steps(headroom: float) -> int:
    """Return the weight of a free share of 0 to 1, in whole steps."""
    return max(1, math.ceil(headroom * HEADROOM_STEPS))


@attrs.frozen
class EntryVM:
    """One entry VM: headroom is its free share, last_heard in seconds.

    Two are equal if they rank the same, whenever they were heard.
    """

    name: str
    url: str
    region: str
    failure_domain: str
    state: EntryState = EntryState.LIVE
    headroom: float = attrs.field(default=1.0, eq=headroom_steps)
    last_heard: float = attrs.field(default=0, eq=False)


@attrs.frozen
class Ranking:
    """The VMs of one region and state, ordered for each bucket once."""

    entries: tuple[EntryVM, ...]
    _ranked: dict[int, tuple[EntryVM, ...]] = attrs.field(
        init=False,
        factory=dict,
        eq=False,
        repr=False,
    )

    def first(self, bucket: int) -> tuple[EntryVM, ...]:
        """Return the VMs to name for a bucket, the best first."""
        found = self._ranked.get(bucket)
        if found is None:
            found = rank(self.entries, bucket)
            self._ranked[bucket] = found
        return found

    def reuse(self, previous: 'Ranking') -> None:
        """Take over every order that the changed VMs have no part in."""
        removed = set(previous.entries) - set(self.entries)
        added = set(self.entries) - set(previous.entries)
        if len(added) > ADDED_MAX:
            return
        for bucket, ranked in previous._ranked.items():
            if removed.isdisjoint(ranked) and _is_unaffected(
                ranked, added, bucket
            ):
                self._ranked[bucket] = ranked


EMPTY_RANKING = Ranking(())


def _is_unaffected(
    ranked: tuple[EntryVM, ...],
    added: set[EntryVM],
    bucket: int,
) -> bool:
    """Tell whether the order is the same with the added VMs."""
    if not added:
        return True
    if len(ranked) < RANKED_MAX or _is_one_domain(ranked):
        return False
    worst = max(_score(entry, bucket) for entry in ranked)
    return all(_score(entry, bucket) > worst for entry in added)


def _is_one_domain(ranked: tuple[EntryVM, ...]) -> bool:
    return len({entry.failure_domain for entry in ranked}) == 1


def rank(entries: tuple[EntryVM, ...], bucket: int) -> tuple[EntryVM, ...]:
    """Order VMs by weighted rendezvous hashing for one bucket.

    The second VM is of another failure domain than the first where there
    is one, so that an answer outlives the loss of a failure domain.
    """
    scored = sorted(entries, key=lambda entry: _score(entry, bucket))
    if not scored:
        return ()
    first = scored[0]
    for index, entry in enumerate(scored):
        if entry.failure_domain != first.failure_domain:
            scored.insert(1, scored.pop(index))
            break
    return tuple(scored[:RANKED_MAX])


def _score(entry: EntryVM, bucket: int) -> float:
    packed = f'{entry.name}|{bucket}'.encode()
    digest = hashlib.blake2b(packed, digest_size=HASH_SIZE_B).digest()
    uniform = (int.from_bytes(digest) + 1) / (HASH_RANGE + 1)
    return -math.log(uniform) / headroom_steps(entry.headroom)
