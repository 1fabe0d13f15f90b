"""Requests wait for a slot only while one can come free."""

import math
import random
from collections.abc import Callable

import attrs
import trio
from trio.testing import MockClock, wait_all_tasks_blocked

from chestnutshift.configuration.model import UpstreamsPreset
from chestnutshift.events.log import EventLog
from chestnutshift.exceptions import CodedError
from chestnutshift.upstreams.candidates import CandidatePool
from chestnutshift.upstreams.dispatch import Dispatcher, Held, Wanted
from chestnutshift.upstreams.division import Seat, UpstreamSlots
from chestnutshift.upstreams.health import HealthTable
from chestnutshift.upstreams.slots import SlotTable

SERVICE = 'listings'
UPSTREAM = 'listings-1'
SLOTS = 2
DEADLINE_S = 5


@attrs.frozen
class Bench:
    """A dispatcher over one upstream of two slots."""

    dispatcher: Dispatcher
    pool: CandidatePool

    async def acquire(self, request: str) -> Held:
        """Wait for a slot until DEADLINE_S from now."""
        deadline = trio.current_time() + DEADLINE_S
        wanted = Wanted(SERVICE, request, 'konya', deadline)
        return await self.dispatcher.acquire(wanted)

    def fail(self) -> None:
        """Let the upstream refuse connections."""
        now = trio.current_time()
        self.pool.record_failure(UPSTREAM, 'test', now, refused=True)


def _make_bench() -> Bench:
    upstream = UpstreamSlots(UPSTREAM, SERVICE, SLOTS)
    table = SlotTable(Seat('vm', 'region', 0, 1), [upstream])
    pool = CandidatePool(
        table,
        HealthTable(),
        UpstreamsPreset(),
        random.Random(1),
        EventLog('vm'),
    )
    return Bench(Dispatcher(table, pool), pool)


async def _refusal_of(bench: Bench, request: str) -> str:
    try:
        await bench.acquire(request)
    except CodedError as error:
        return error.code
    return ''


def _play(scene: Callable) -> None:
    async def bounded() -> None:
        with trio.fail_after(2 * DEADLINE_S):
            await scene()

    trio.run(bounded, clock=MockClock(autojump_threshold=0))


def test_refused_at_once_without_a_live_upstream():
    """Nothing is held back until its deadline when nothing can serve it."""

    async def scene() -> None:
        bench = _make_bench()
        bench.fail()
        started_at = trio.current_time()
        assert await _refusal_of(bench, 'a') == 'upstreams.none'
        assert trio.current_time() == started_at

    _play(scene)


def test_queued_refused_when_the_upstream_fails():
    """Requests that wait are refused once nothing can serve them."""

    async def scene() -> None:
        bench = _make_bench()
        for number in range(SLOTS):
            await bench.acquire(f'held-{number}')
        refusals: list[str] = []

        async def wait() -> None:
            refusals.append(await _refusal_of(bench, 'queued'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await wait_all_tasks_blocked()
            bench.fail()
            bench.dispatcher.tick(trio.current_time())
        assert refusals == ['upstreams.none']

    _play(scene)


def test_released_slot_goes_to_the_queue():
    """A slot that comes free starts the request that waits for it."""

    async def scene() -> None:
        bench = _make_bench()
        held = [
            await bench.acquire(f'held-{number}') for number in range(SLOTS)
        ]
        started: list[Held] = []

        async def wait() -> None:
            started.append(await bench.acquire('queued'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await wait_all_tasks_blocked()
            now = trio.current_time()
            bench.dispatcher.release(held[0], now, whole=True)
        assert started[0].upstream == UPSTREAM

    _play(scene)


def test_waits_for_ever_without_a_live_upstream():
    """Requests go to other failure domains when nothing here serves them."""

    async def scene() -> None:
        bench = _make_bench()
        now = trio.current_time()
        assert bench.dispatcher.expected_wait_s(SERVICE, now) == 0
        bench.fail()
        assert bench.dispatcher.expected_wait_s(SERVICE, now) == math.inf

    _play(scene)
