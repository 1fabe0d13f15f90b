"""Errors that commits raise on lost answers, outages and rate limits."""

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
class ServedPlatform:
    """Stand-in of the platform with its client and URL."""

    app: PlatformApp
    platform: HttpPlatform
    url: str

    def set_faults(self, **faults: Any) -> None:
        """Set faults of the stand-in."""
        self.app.faults = attrs.evolve(self.app.faults, **faults)

    def version(self) -> int:
        """Return the row's version in the stand-in's own store."""
        return self.app.store.tables.read('bookings', 'bay-7').version


@contextlib.asynccontextmanager
async def serve_platform(timeout_s: float = 5) -> AsyncIterator[ServedPlatform]:
    """Serve a stand-in; yield it with a client."""
    app = PlatformApp({})
    async with serving(app) as url:
        platform = HttpPlatform(url, timeout_s=timeout_s)
        yield ServedPlatform(app, platform, url)
        await platform.aclose()


async def error_of(call: Awaitable[Any]) -> CodedError:
    """Return the coded error that the call must raise."""
    try:
        await call
    except CodedError as error:
        return error
    raise AssertionError('no error was raised')


@trio_test
async def test_lost_answer_is_resolved():
    """A commit whose answer was lost is applied once and returns its rows."""
    async with serve_platform() as served:
        served.set_faults(lose_answers=1)
        rows = await served.platform.commit(CREATE)
        assert rows[0].version == served.version() == 1
        assert rows[0].value == 'held'


@trio_test
async def test_lost_conflict_is_resolved():
    """A conflict whose answer was lost still carries the current row."""
    async with serve_platform() as served:
        await served.platform.commit(CREATE)
        served.set_faults(lose_answers=1)
        stale = attrs.evolve(CREATE, operation_id='second')
        error = await error_of(served.platform.commit(stale))
        assert isinstance(error, ConflictError)
        assert error.rows[0].value == 'held'


@trio_test
async def test_timed_out_answer_is_resolved():
    """A commit that times out after it was applied is not applied again."""
    async with serve_platform(timeout_s=1) as served:
        served.set_faults(silent_answers=1)
        rows = await served.platform.commit(CREATE)
        assert rows[0].version == served.version() == 1
        assert not served.app.faults.silent_answers


@trio_test
async def test_outage_that_refuses_applies_nothing():
    """An answer of 503 means not applied, for commits and reads."""
    async with serve_platform() as served:
        served.set_faults(outage=True)
        error = await error_of(served.platform.commit(CREATE))
        assert isinstance(error, PlatformUnavailableError)
        error = await error_of(served.platform.list_vms())
        assert isinstance(error, PlatformUnavailableError)
        served.set_faults(outage=False)
        assert (await served.platform.commit(CREATE))[0].version == 1


@trio_test
async def test_outage_that_closes_leaves_write_unknown():
    """A commit whose connection closes on each attempt is unknown."""
    async with serve_platform() as served:
        served.set_faults(outage=True, outage_mode='close')
        error = await error_of(served.platform.commit(CREATE))
        assert isinstance(error, OutcomeUnknownError)
        error = await error_of(served.platform.read('bookings', 'bay-7'))
        assert isinstance(error, PlatformUnavailableError)


@trio_test
async def test_unreachable_platform_applies_nothing():
    """A commit that could not connect is reported as not applied."""
    listener = await trio.open_tcp_listeners(0, host='127.0.0.1')
    port = listener[0].socket.getsockname()[1]
    await listener[0].aclose()
    platform = HttpPlatform(f'http://127.0.0.1:{port}')
    error = await error_of(platform.commit(CREATE))
    assert isinstance(error, PlatformUnavailableError)


@trio_test
async def test_refusal_after_lost_answer_is_unknown():
    """A refusal after a lost answer leaves the outcome unknown."""
    async with serve_platform() as served:
        served.set_faults(lose_answers=1, reads_per_s=0, writes_per_s=1)
        error = await error_of(served.platform.commit(CREATE))
        assert isinstance(error, OutcomeUnknownError)
        assert served.version() == 1


@trio_test
async def test_over_limit():
    """Over the rate limit nothing is applied; the error has the delay."""
    async with serve_platform() as served:
        served.set_faults(writes_per_s=0, reads_per_s=0)
        error = await error_of(served.platform.commit(CREATE))
        assert isinstance(error, OverLimitError)
        assert error.retry_after_s == 1
        error = await error_of(served.platform.read('bookings', 'bay-7'))
        assert isinstance(error, OverLimitError)
        assert served.version() == 0


@trio_test
async def test_list_lags():
    """A change of a VM becomes visible after the lag of the list."""
    async with (
        serve_platform() as served,
        httpx.AsyncClient(base_url=served.url) as client,
    ):
        await client.put('/standin/faults', json={'list_lag_s': 1000})
        record = {
            'role': 'upstream',
            'failure_domain': 'marmara-a',
            'region': 'marmara',
            'address': '127.0.0.1:1',
        }
        await client.put('/standin/vms/new', json=record)
        assert not (await served.platform.list_vms()).vms
        await client.put('/standin/faults', json={'list_lag_s': 0})
        await client.put('/standin/vms/new', json={'state': 'leaving'})
        listed = await served.platform.list_vms()
        assert listed.vms[0].state is ListedState.LEAVING


@trio_test
async def test_memory_faults():
    """Injected faults of the in-memory backend raise the same errors."""
    platform = MemoryPlatform()
    platform.lose_answers = 1
    error = await error_of(platform.commit(CREATE))
    assert isinstance(error, OutcomeUnknownError)
    assert (await platform.commit(CREATE))[0].version == 1
    platform.outage = True
    error = await error_of(platform.read('bookings', 'bay-7'))
    assert isinstance(error, PlatformUnavailableError)
