"""Requests wait for a slot only while an upstream can serve them."""

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
from chestnutshift.upstreams.dispatch import Dispatcher, HeldSlot, SlotDemand
from chestnutshift.upstreams.division import Seat, UpstreamSlots
from chestnutshift.upstreams.health import HealthTable
from chestnutshift.upstreams.slots import SlotTable

SERVICE = 'listings'
UPSTREAM = 'listings-1'
SLOTS = 2
DEADLINE_S = 5


@attrs.frozen
class Harness:
    """A dispatcher with one upstream of two slots."""

    dispatcher: Dispatcher
    pool: CandidatePool

    async def acquire(self, request: str) -> HeldSlot:
        """Wait for a slot until DEADLINE_S from now."""
        deadline = trio.current_time() + DEADLINE_S
        demand = SlotDemand(SERVICE, request, 'konya', deadline)
        return await self.dispatcher.acquire(demand)

    def fail(self) -> None:
        """Record that the upstream refused a connection."""
        now = trio.current_time()
        self.pool.record_failure(UPSTREAM, 'test', now, refused=True)


def _make_harness() -> Harness:
    upstream = UpstreamSlots(UPSTREAM, SERVICE, SLOTS)
    table = SlotTable(Seat('vm', 'region', 0, 1), [upstream])
    pool = CandidatePool(
        table,
        HealthTable(),
        UpstreamsPreset(),
        random.Random(1),
        EventLog('vm'),
    )
    return Harness(Dispatcher(table, pool), pool)


async def _refusal_code(harness: Harness, request: str) -> str:
    try:
        await harness.acquire(request)
    except CodedError as error:
        return error.code
    return ''


def _run(scenario: Callable) -> None:
    async def bounded() -> None:
        with trio.fail_after(2 * DEADLINE_S):
            await scenario()

    trio.run(bounded, clock=MockClock(autojump_threshold=0))


def test_refused_at_once_without_a_live_upstream():
    """A request is not queued when no upstream can serve it."""

    async def scenario() -> None:
        harness = _make_harness()
        harness.fail()
        started_at = trio.current_time()
        assert await _refusal_code(harness, 'a') == 'upstreams.none'
        assert trio.current_time() == started_at

    _run(scenario)


def test_queued_refused_when_the_upstream_fails():
    """Queued requests are refused once no upstream can serve them."""

    async def scenario() -> None:
        harness = _make_harness()
        for number in range(SLOTS):
            await harness.acquire(f'held-{number}')
        refusals: list[str] = []

        async def wait() -> None:
            refusals.append(await _refusal_code(harness, 'queued'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await wait_all_tasks_blocked()
            harness.fail()
            harness.dispatcher.tick(trio.current_time())
        assert refusals == ['upstreams.none']

    _run(scenario)


def test_released_slot_goes_to_the_queue():
    """A released slot is given to the request that is queued for it."""

    async def scenario() -> None:
        harness = _make_harness()
        slots = [
            await harness.acquire(f'held-{number}') for number in range(SLOTS)
        ]
        started: list[HeldSlot] = []

        async def wait() -> None:
            started.append(await harness.acquire('queued'))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(wait)
            await wait_all_tasks_blocked()
            now = trio.current_time()
            harness.dispatcher.release(slots[0], now, complete=True)
        assert started[0].upstream == UPSTREAM

    _run(scenario)


def test_infinite_wait_without_a_live_upstream():
    """The expected wait is infinite, so requests go to other domains."""

    async def scenario() -> None:
        harness = _make_harness()
        now = trio.current_time()
        assert harness.dispatcher.expected_wait_s(SERVICE, now) == 0
        harness.fail()
        assert harness.dispatcher.expected_wait_s(SERVICE, now) == math.inf

    _run(scenario)
