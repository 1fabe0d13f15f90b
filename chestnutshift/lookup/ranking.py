"""Entry VMs, and their ranking for each bucket of client blocks."""

import enum
import hashlib
import math

import attrs

# Client blocks are hashed into buckets; a shift moves whole buckets.
BUCKETS = 1024
# VMs of one region in one answer.
RANKED_MAX = 4
# Headroom is rounded up to steps, so that small load changes move no callers.
HEADROOM_STEPS = 4
# With more added VMs than this, ranking again takes no longer than checking
# whether each ranking is unaffected.
ADDED_MAX = 8
HASH_SIZE_B = 8
HASH_RANGE = 1 << (HASH_SIZE_B * 8)


class EntryState(enum.Enum):
    """The state of an entry VM, from membership and drains."""

    LIVE = 'live'
    LEAVING = 'leaving'
    DRAINED = 'drained'
    SILENT = 'silent'


def headroom_steps(headroom: float) -> int:
    """Return the weight of a headroom between 0 and 1, in whole steps."""
    return max(1, math.ceil(headroom * HEADROOM_STEPS))


@attrs.frozen
class EntryVM:
    """One entry VM.

    headroom is the free share of its capacity, 0 to 1; last_heartbeat_at is in
    seconds. Values that rank the same compare equal: only whole steps of
    headroom count, and last_heartbeat_at does not.
    """

    name: str
    url: str
    region: str
    failure_domain: str
    state: EntryState = EntryState.LIVE
    headroom: float = attrs.field(default=1.0, eq=headroom_steps)
    last_heartbeat_at: float = attrs.field(default=0, eq=False)


@attrs.frozen
class Ranking:
    """The VMs of one region and state, ranked for each bucket on demand."""

    entries: tuple[EntryVM, ...]
    _ranked: dict[int, tuple[EntryVM, ...]] = attrs.field(
        init=False,
        factory=dict,
        eq=False,
        repr=False,
    )

    def first(self, bucket: int) -> tuple[EntryVM, ...]:
        """Return the VMs for a bucket, the best first."""
        ranked = self._ranked.get(bucket)
        if ranked is None:
            ranked = rank(self.entries, bucket)
            self._ranked[bucket] = ranked
        return ranked

    def reuse(self, previous: 'Ranking') -> None:
        """Copy every cached ranking that the changed VMs do not affect."""
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
    """Return whether the added VMs leave the ranking as it is."""
    if not added:
        return True
    if len(ranked) < RANKED_MAX or _is_one_domain(ranked):
        return False
    worst = max(_score(entry, bucket) for entry in ranked)
    return all(_score(entry, bucket) > worst for entry in added)


def _is_one_domain(ranked: tuple[EntryVM, ...]) -> bool:
    return len({entry.failure_domain for entry in ranked}) == 1


def rank(entries: tuple[EntryVM, ...], bucket: int) -> tuple[EntryVM, ...]:
    """Rank VMs by weighted rendezvous hashing for one bucket.

    The second VM is in another failure domain than the first if there is
    one, so that an answer stays usable when a failure domain is lost.
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
