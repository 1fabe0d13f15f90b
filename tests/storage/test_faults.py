"""Lost answers, outages and limits lead to truthful errors."""

import contextlib
from collections.abc import AsyncIterator, Awaitable
from typing import Any

import attrs
import httpx
import trio
from trio.testing import trio_test

from chestnutshift.exceptions import CodedError
from chestnutshift.storage.backends.http import HttpPlatform
from chestnutshift.storage.backends.memory import MemoryPlatform
from chestnutshift.storage.exceptions import (
    ConflictError,
    OutcomeUnknownError,
    OverLimitError,
    PlatformUnavailableError,
)
from chestnutshift.storage.records import (
    Condition,
    ListedState,
    Transaction,
    Write,
)
from standins.platform import PlatformApp
from tests.storage.serving import serving

CREATE = Transaction(
    operation_id='create',
    conditions=(Condition('bookings', 'bay-7'),),
    writes=(Write('bookings', 'bay-7', 'held'),),
)


@attrs.frozen
class Bench:
    """A stand-in, a client of it and its URL."""

    app: PlatformApp
    platform: HttpPlatform
    url: str

    def fail(self, **faults: Any) -> None:
        """Change the stand-in's faults."""
        self.app.faults = attrs.evolve(self.app.faults, **faults)

    def version(self) -> int:
        """Return the booking's version in the store itself."""
        return self.app.store.tables.read('bookings', 'bay-7').version


@contextlib.asynccontextmanager
async def bench(timeout_s: float = 5) -> AsyncIterator[Bench]:
    """Serve a stand-in and connect to it."""
    app = PlatformApp({})
    async with serving(app) as url:
        platform = HttpPlatform(url, timeout_s=timeout_s)
        yield Bench(app, platform, url)
        await platform.aclose()


async def error_of(call: Awaitable[Any]) -> CodedError:
    """Return the coded error that the call must raise."""
    try:
        await call
    except CodedError as error:
        return error
    raise AssertionError('no error was raised')


@trio_test
async def test_lost_answer_is_read_back():
    """A write whose answer was lost returns its rows, applied once."""
    async with bench() as case:
        case.fail(lose_answers=1)
        rows = await case.platform.commit(CREATE)
        assert rows[0].version == case.version() == 1
        assert rows[0].value == 'held'


@trio_test
async def test_lost_conflict_is_read_back():
    """A conflict whose answer was lost still shows the current row."""
    async with bench() as case:
        await case.platform.commit(CREATE)
        case.fail(lose_answers=1)
        stale = attrs.evolve(CREATE, operation_id='second')
        error = await error_of(case.platform.commit(stale))
        assert isinstance(error, ConflictError)
        assert error.rows[0].value == 'held'


@trio_test
async def test_silent_answer_is_read_back():
    """A write that times out after it applied is not applied again."""
    async with bench(timeout_s=1) as case:
        case.fail(silent_answers=1)
        rows = await case.platform.commit(CREATE)
        assert rows[0].version == case.version() == 1
        assert not case.app.faults.silent_answers


@trio_test
async def test_outage_that_refuses_applies_nothing():
    """A refusal is told as not applied, for writes and reads."""
    async with bench() as case:
        case.fail(outage=True)
        error = await error_of(case.platform.commit(CREATE))
        assert isinstance(error, PlatformUnavailableError)
        error = await error_of(case.platform.list_vms())
        assert isinstance(error, PlatformUnavailableError)
        case.fail(outage=False)
        assert (await case.platform.commit(CREATE))[0].version == 1


@trio_test
async def test_outage_that_closes_leaves_write_unknown():
    """A write whose connection closes each time is told as unknown."""
    async with bench() as case:
        case.fail(outage=True, outage_mode='close')
        error = await error_of(case.platform.commit(CREATE))
        assert isinstance(error, OutcomeUnknownError)
        error = await error_of(case.platform.read('bookings', 'bay-7'))
        assert isinstance(error, PlatformUnavailableError)


@trio_test
async def test_unreachable_platform_applies_nothing():
    """Without a connection a write is surely not applied."""
    listener = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listener[0].socket.getsockname()[1]
    await listener[0].aclose()
    platform = HttpPlatform(f'http://127.0.0.1:{port}')
    error = await error_of(platform.commit(CREATE))
    assert isinstance(error, PlatformUnavailableError)


@trio_test
async def test_refusal_after_lost_answer_is_unknown():
    """A limit met while resolving a lost answer proves nothing."""
    async with bench() as case:
        case.fail(lose_answers=1, reads_per_s=0, writes_per_s=1)
        error = await error_of(case.platform.commit(CREATE))
        assert isinstance(error, OutcomeUnknownError)
        assert case.version() == 1


@trio_test
async def test_over_limit():
    """Over the limits nothing applies and the delay is told."""
    async with bench() as case:
        case.fail(writes_per_s=0, reads_per_s=0)
        error = await error_of(case.platform.commit(CREATE))
        assert isinstance(error, OverLimitError)
        assert error.retry_after_s == 1
        error = await error_of(case.platform.read('bookings', 'bay-7'))
        assert isinstance(error, OverLimitError)
        assert case.version() == 0


@trio_test
async def test_list_lags():
    """A VM's change shows once the list's lag has passed."""
    async with bench() as case, httpx.AsyncClient(base_url=case.url) as client:
        await client.put('/standin/faults', json={'list_lag_s': 1000})
        record = {
            'role': 'upstream',
            'failure_domain': 'marmara-a',
            'region': 'marmara',
            'address': '127.0.0.1:1',
        }
        await client.put('/standin/vms/new', json=record)
        assert not (await case.platform.list_vms()).vms
        await client.put('/standin/faults', json={'list_lag_s': 0})
        await client.put('/standin/vms/new', json={'state': 'leaving'})
        listed = await case.platform.list_vms()
        assert listed.vms[0].state is ListedState.LEAVING


@trio_test
async def test_memory_faults():
    """The switches of the backend in memory raise the same errors."""
    platform = MemoryPlatform()
    platform.lose_answers = 1
    error = await error_of(platform.commit(CREATE))
    assert isinstance(error, OutcomeUnknownError)
    assert (await platform.commit(CREATE))[0].version == 1
    platform.outage = True
    error = await error_of(platform.read('bookings', 'bay-7'))
    assert isinstance(error, PlatformUnavailableError)
