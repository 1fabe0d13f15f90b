"""Slopes of look-ups: table, deltas, answers, ranks and counts."""

import functools

import attrs

from bench.capacity import clients, probes, targets
from bench.capacity.fits import Point
from bench.capacity.slopes import BYTES, SECONDS, slope
from chestnutshift.configuration.model import Preset
from chestnutshift.events.log import EventLog
from chestnutshift.lookup.answers import Question
from chestnutshift.lookup.deltas import BlockChange, Delta
from chestnutshift.lookup.directory import LookupDirectory
from chestnutshift.lookup.outstanding import OutstandingAnswers
from chestnutshift.lookup.prefixes import Family, Prefix
from chestnutshift.lookup.ranking import BUCKETS, EntryVM, Ranking, rank
from chestnutshift.lookup.table import load_table
from chestnutshift.lookup.view import LookupView

BLOCK_COUNTS = (100_000, 200_000, 400_000)
VM_COUNTS = (200, 400, 800)
REGION_VM_COUNTS = (50, 100, 200, 350)
CHANGE_COUNTS = (1, 10, 100, 1_000)
ADDRESSES = 20_000
ANSWERS = 20_000
ANSWER_COUNTS = (5_000, 10_000, 20_000)
DELTAS = 200
RANKED_BUCKETS = 64
PRESET = Preset(accounts={})


@functools.cache
def dumped_table(count: int) -> bytes:
    """Return the serialized table of about count blocks."""
    return clients.make_table(count).dump()


def make_view(count: int, table) -> LookupView:
    """Return a view of count VMs in the target's regions and domains."""
    names = [f'region-{index}' for index in range(targets.REGIONS)]
    entries = tuple(
        EntryVM(
            name=f'vm-{index}',
            url=f'http://10.{index >> 8}.{index & 255}.1:8080',
            region=names[index % targets.REGIONS],
            failure_domain=f'domain-{index % targets.FAILURE_DOMAINS}',
        )
        for index in range(count)
    )
    orders = tuple(
        _rotate(names, index % targets.REGIONS)
        for index in range(targets.SITES)
    )
    return LookupView(entries, table, orders, orders[0])


def _rotate(names: list[str], start: int) -> tuple[str, ...]:
    return (*names[start:], *names[:start])


def make_directory(count: int, table) -> LookupDirectory:
    """Return the look-up directory of a VM that knows count VMs."""
    outstanding = OutstandingAnswers(0, PRESET.lookup.lifetime_s)
    return LookupDirectory(
        make_view(count, table),
        outstanding,
        EventLog('vm'),
    )


@slope('table_memory', 'memory of the table', 'client block', BYTES)
def measure_table_memory() -> list[Point]:
    """Measure the bytes allocated for loaded tables."""
    return [
        Point(
            count,
            probes.allocated_bytes(
                functools.partial(load_table, dumped_table(count)),
            ),
        )
        for count in BLOCK_COUNTS
    ]


@slope('table_size', 'bytes of the whole table', 'client block', BYTES)
def measure_table_size() -> list[Point]:
    """Measure the size of serialized tables."""
    return [Point(count, len(dumped_table(count))) for count in BLOCK_COUNTS]


@slope('table_build', 'build of the table', 'client block', SECONDS)
def measure_table_build() -> list[Point]:
    """Measure the time to generate blocks and build tables of them."""
    return [
        Point(
            count,
            probes.cpu_seconds(
                functools.partial(clients.make_table, count),
                repeats=2,
            ),
        )
        for count in BLOCK_COUNTS
    ]


@slope('table_load', 'load and check of the table', 'client block', SECONDS)
def measure_table_load() -> list[Point]:
    """Measure the time to load serialized tables."""
    return [
        Point(
            count,
            probes.cpu_seconds(
                functools.partial(load_table, dumped_table(count)),
            ),
        )
        for count in BLOCK_COUNTS
    ]


def _apply_deltas(count: int) -> float:
    table = load_table(dumped_table(count))
    deltas = [
        Delta(
            number,
            number + 1,
            (BlockChange(Prefix(Family.V4, 24, number * 2), number),),
        )
        for number in range(1, DELTAS + 1)
    ]

    def work() -> None:
        for delta in deltas:
            table.apply(delta)

    return probes.cpu_seconds(work, repeats=1) / DELTAS


@slope('table_change', 'one change of the table', 'client block', SECONDS)
def measure_table_change() -> list[Point]:
    """Measure the time of one insert near the start of the longest array."""
    return [Point(count, _apply_deltas(count)) for count in BLOCK_COUNTS]


@slope('delta_size', 'a delta of the table', 'changed block', BYTES)
def measure_delta_size() -> list[Point]:
    """Measure the size of serialized deltas of IPv6 blocks."""
    prefix = Prefix(Family.V6, 48, 1)
    return [
        Point(count, len(Delta(1, 2, (BlockChange(prefix, 1),) * count).dump()))
        for count in CHANGE_COUNTS
    ]


def time_locate(table) -> float:
    """Return the seconds of one look-up in the table."""
    addresses = clients.make_addresses(table, ADDRESSES)

    def work() -> None:
        for address in addresses:
            table.locate(address)

    return probes.cpu_seconds(work) / len(addresses)


@slope('locate', 'one look-up in the table', 'client block', SECONDS)
def measure_locate() -> list[Point]:
    """Measure the time to locate addresses all over the table."""
    return [
        Point(count, time_locate(load_table(dumped_table(count))))
        for count in BLOCK_COUNTS
    ]


def _time_answers(directory: LookupDirectory, count: int) -> float:
    addresses = clients.make_addresses(directory.table, count)
    questions = [Question(address) for address in addresses]

    def work() -> None:
        for index, question in enumerate(questions):
            directory.answer(question, PRESET, index / ANSWERS)

    return probes.cpu_seconds(work, repeats=3)


def time_answer(directory: LookupDirectory) -> float:
    """Return the seconds of one counted answer, with cached ranks."""
    return _time_answers(directory, ANSWERS) / ANSWERS


@slope('answer', 'answers of the directory', 'answer', SECONDS)
def measure_answer() -> list[Point]:
    """Measure the time to choose and count answers, with cached ranks."""
    table = load_table(dumped_table(BLOCK_COUNTS[0]))
    directory = make_directory(VM_COUNTS[0], table)
    return [
        Point(count, _time_answers(directory, count)) for count in ANSWER_COUNTS
    ]


@slope('view_memory', 'memory of the entry VMs', 'known VM', BYTES)
def measure_view_memory() -> list[Point]:
    """Measure the bytes allocated for views."""
    table = clients.make_table(1000)
    return [
        Point(
            count,
            probes.allocated_bytes(
                functools.partial(make_view, count, table),
            ),
        )
        for count in VM_COUNTS
    ]


@slope('rank', 'first ranks of a region', 'VM of it', SECONDS)
def measure_rank() -> list[Point]:
    """Measure the time to rank a region's VMs for every bucket."""
    return [Point(count, _time_ranks(count)) for count in REGION_VM_COUNTS]


def _make_region(count: int) -> tuple[EntryVM, ...]:
    return tuple(
        EntryVM(f'vm-{index}', 'http://vm', 'region', f'domain-{index % 2}')
        for index in range(count)
    )


def _time_ranks(count: int) -> float:
    entries = _make_region(count)

    def work() -> None:
        for bucket in range(RANKED_BUCKETS):
            rank(entries, bucket)

    return probes.cpu_seconds(work, repeats=3) * BUCKETS / RANKED_BUCKETS


@slope('rerank', 'ranks after a VM left or came', 'VM of it', SECONDS)
def measure_rerank() -> list[Point]:
    """Measure the mean time to rank again after a VM left or joined."""
    return [Point(count, _time_reranks(count)) for count in REGION_VM_COUNTS]


def _time_reranks(count: int) -> float:
    entries = _make_region(count)
    before = Ranking(entries)
    _rank_all(before)

    def work() -> None:
        without = Ranking(entries[1:])
        without.reuse(before)
        _rank_all(without)
        again = Ranking(entries)
        again.reuse(without)
        _rank_all(again)

    return probes.cpu_seconds(work, repeats=3) / 2


def _rank_all(ranking: Ranking) -> None:
    for bucket in range(BUCKETS):
        ranking.first(bucket)


@slope('outstanding_memory', 'memory of the counts', 'named VM', BYTES)
def measure_outstanding_memory() -> list[Point]:
    """Measure the bytes allocated for counts of answers.

    The answers name each VM in every second of an answer's lifetime.
    """
    table = clients.make_table(1000)
    return [
        Point(count, _memory_of_counts(make_directory(count, table)))
        for count in VM_COUNTS
    ]


def _memory_of_counts(directory: LookupDirectory) -> int:
    sample = directory.answer(Question('10.0.0.1'), PRESET, 0)
    answers = [
        attrs.evolve(sample, entries=(entry,), expires_at=second)
        for entry in directory.view.entries
        for second in range(int(PRESET.lookup.lifetime_s))
    ]

    def make() -> OutstandingAnswers:
        outstanding = OutstandingAnswers(0, PRESET.lookup.lifetime_s)
        for answer in answers:
            outstanding.record(answer)
        return outstanding

    return probes.allocated_bytes(make)
