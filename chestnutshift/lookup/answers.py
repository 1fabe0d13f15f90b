"""Selection of entry VMs for a caller, and the lifetime of the answer."""

import zlib

import attrs

from chestnutshift.configuration.model import Preset
from chestnutshift.lookup.exceptions import NoEntryKnownError
from chestnutshift.lookup.prefixes import Family, Prefix, parse_address
from chestnutshift.lookup.view import (
    BUCKETS,
    FALLBACK_STATES,
    EntryState,
    EntryVM,
    LookupView,
    Shift,
)

# Maximum numbers of VMs in one answer: live ones in all, live ones of each
# region after the first that has a live one, and silent ones in addition.
ENTRIES_MAX = 8
NEXT_REGION_ENTRIES_MAX = 2
SILENT_ENTRIES_MAX = 2
# Low bits of a key that do not affect the bucket: all callers in one IPv4 /24
# or IPv6 /48 share a bucket.
BUCKET_SHIFT_BITS = {Family.V4: 8, Family.V6: 16}
KEY_SIZE_B = 8


@attrs.frozen
class Question:
    """A look-up request: the client's address or block, and a region hint.

    block takes precedence over address, and a known region over the region
    that the table gives.
    """

    address: str
    block: str = ''
    region: str = ''


@attrs.frozen
class LookupAnswer:
    """Entry VMs in the order to try them, cacheable for lifetime_s seconds.

    home is the first region in the preference order of the caller's block or
    hint; region is the region of the first entry VM. They differ while a
    shift moves the caller, or while home has no live VM.
    """

    entries: tuple[EntryVM, ...]
    lifetime_s: float
    expires_at: float
    home: str
    region: str
    shift: Shift | None = None

    @property
    def moved(self) -> bool:
        """Whether a shift, a drain or a loss of VMs moves the caller."""
        return self.home != self.region


def choose(
    question: Question,
    view: LookupView,
    preset: Preset,
    now: float,
) -> LookupAnswer:
    """Answer one look-up at the time now, in seconds.

    Raise InvalidAddressError or InvalidBlockError for a malformed question,
    and NoEntryKnownError if the view contains no VM.
    """
    family, key = _client_key(question)
    bucket = bucket_of(family, key)
    order = _order_regions(question, view, family, key)
    home = order[0] if order else ''
    shift = view.shift_of(home, bucket)
    if shift is not None:
        order = view.complete((shift.target, *order))
    entries = _select_entries(view, order, bucket)
    if not entries:
        raise NoEntryKnownError('no entry VM is known')
    lifetime = _lifetime(view, preset, home, entries[0])
    return LookupAnswer(
        entries=entries,
        lifetime_s=lifetime,
        expires_at=now + lifetime,
        home=home,
        region=entries[0].region,
        shift=shift,
    )


def bucket_of(family: Family, key: int) -> int:
    """Return the bucket of the client block that contains the key."""
    block = key >> BUCKET_SHIFT_BITS[family]
    return zlib.crc32(block.to_bytes(KEY_SIZE_B), family) % BUCKETS


def _client_key(question: Question) -> tuple[Family, int]:
    if question.block:
        prefix = Prefix.parse(question.block)
        return prefix.family, prefix.first_key
    return parse_address(question.address)


def _order_regions(
    question: Question,
    view: LookupView,
    family: Family,
    key: int,
) -> tuple[str, ...]:
    order = view.order_at(view.table.locate_key(family, key))
    if question.region in order:
        return view.complete((question.region, *order))
    return order


def _select_entries(
    view: LookupView,
    order: tuple[str, ...],
    bucket: int,
) -> tuple[EntryVM, ...]:
    live: list[EntryVM] = []
    for region in order:
        ranked = view.ranked(region, EntryState.LIVE, bucket)
        live.extend(ranked[:NEXT_REGION_ENTRIES_MAX] if live else ranked)
        if len(live) >= ENTRIES_MAX:
            break
    if live:
        serving = tuple(
            region for region in order if region not in view.drained_regions
        )
        silent = _entries_in_state(view, serving, bucket, EntryState.SILENT)
        return (*live[:ENTRIES_MAX], *silent[:SILENT_ENTRIES_MAX])
    known: list[EntryVM] = []
    for state in FALLBACK_STATES:
        known.extend(_entries_in_state(view, order, bucket, state))
    return tuple(known[:ENTRIES_MAX])


def _entries_in_state(
    view: LookupView,
    order: tuple[str, ...],
    bucket: int,
    state: EntryState,
) -> list[EntryVM]:
    entries: list[EntryVM] = []
    for region in order:
        entries.extend(view.ranked(region, state, bucket))
    return entries


def _lifetime(
    view: LookupView,
    preset: Preset,
    home: str,
    first: EntryVM,
) -> float:
    ordinary = preset.lookup.lifetime_s
    is_live_at_home = first.state is EntryState.LIVE and first.region == home
    if is_live_at_home and not view.is_moving(home):
        return ordinary
    return min(ordinary, preset.lookup.moving_lifetime_s)
