"""Contract tests that every platform backend passes."""

import contextlib
from collections.abc import AsyncIterator

from trio.testing import trio_test

from chestnutshift.storage.backends.base import Platform
from chestnutshift.storage.backends.http import HttpPlatform
from chestnutshift.storage.backends.memory import MemoryPlatform, Store
from chestnutshift.storage.exceptions import ConflictError
from chestnutshift.storage.records import (
    Condition,
    Row,
    Transaction,
    VmRecord,
    VmRole,
    Write,
)
from standins.platform import PlatformApp
from tests.storage.serving import serving

VM = {
    'vm': 'entry-1',
    'role': 'entry',
    'failure_domain': 'marmara-a',
    'region': 'marmara',
    'address': '127.0.0.1:1',
}


def put(operation_id: str, key: str, number: int | None, version: int):
    """Return a transaction that writes a row if it has the version."""
    content = None if number is None else {'number': number}
    return Transaction(
        operation_id=operation_id,
        conditions=(Condition('leases', key, version),),
        writes=(Write('leases', key, content),),
    )


@contextlib.asynccontextmanager
async def http_platform() -> AsyncIterator[Platform]:
    """Yield an HTTP client of a stand-in on a loopback port."""
    async with serving(PlatformApp({'vms': [VM]})) as url:
        platform = HttpPlatform(url)
        yield platform
        await platform.aclose()


@contextlib.asynccontextmanager
async def memory_platform() -> AsyncIterator[Platform]:
    """Yield an in-memory platform."""
    yield MemoryPlatform(Store([VmRecord(**{**VM, 'role': VmRole.ENTRY})]))


async def conflict_rows(platform: Platform, stale: Transaction):
    """Return the rows of the conflict that the transaction must cause."""
    try:
        await platform.commit(stale)
    except ConflictError as error:
        return error.rows
    raise AssertionError('the stale transaction was applied')


async def check_rows(platform: Platform) -> None:
    """A row that is created again has a higher version than before."""
    key = 'a key/with ü%2F?'
    assert await platform.read('leases', key) is None
    created = (await platform.commit(put('one', key, 1, 0)))[0]
    assert created == await platform.read('leases', key)
    assert created.value == {'number': 1}
    deleted = await platform.commit(put('two', key, None, created.version))
    assert deleted == (Row('leases', key, None, 0),)
    assert await platform.read('leases', key) is None
    recreated = await platform.commit(put('three', key, 3, 0))
    assert recreated[0].version > created.version


async def check_conflict(platform: Platform) -> None:
    """A conflict carries the current rows, and nothing is applied."""
    current = await platform.commit(put('one', 'seat', 1, 0))
    stale = Transaction(
        operation_id='two',
        conditions=(Condition('leases', 'seat'), Condition('leases', 'other')),
        writes=(Write('leases', 'other', 2), Write('leases', 'seat', 2)),
    )
    assert await conflict_rows(platform, stale) == current
    assert await conflict_rows(platform, stale) == current
    assert await platform.read('leases', 'other') is None
    absent = put('three', 'absent', 1, 7)
    rows = await conflict_rows(platform, absent)
    assert rows == (Row('leases', 'absent', None, 0),)


async def check_repeat(platform: Platform) -> None:
    """A repeated operation is applied once and returns the same rows."""
    first = await platform.commit(put('one', 'seat', 1, 0))
    await platform.commit(put('two', 'seat', 2, first[0].version))
    assert await platform.commit(put('one', 'seat', 1, 0)) == first
    row = await platform.read('leases', 'seat')
    assert row is not None
    assert row.value == {'number': 2}


async def check_scan(platform: Platform) -> None:
    """A scan pages through the rows of one prefix in key order."""
    keys = ('a/3', 'b/1', 'a/1', 'a/2', 'a')
    writes = tuple(Write('seats', key, key) for key in keys)
    await platform.commit(Transaction('one', (), writes))
    page = await platform.scan('seats', 'a/', limit=2)
    assert [row.key for row in page] == ['a/1', 'a/2']
    rest = await platform.scan('seats', 'a/', after='a/2')
    assert [(row.key, row.value) for row in rest] == [('a/3', 'a/3')]
    assert not await platform.scan('empty', '')


async def check_objects_and_vms(platform: Platform) -> None:
    """Objects are stored unchanged; the list contains the VM."""
    assert await platform.get_object('table/1') is None
    await platform.put_object('table/1', b'\x00\xff')
    assert await platform.get_object('table/1') == b'\x00\xff'
    listed = await platform.list_vms()
    assert [record.vm for record in listed.vms] == ['entry-1']
    assert listed.vms[0].role is VmRole.ENTRY


CHECKS = (
    check_rows,
    check_conflict,
    check_repeat,
    check_scan,
    check_objects_and_vms,
)


@trio_test
async def test_http_keeps_contract():
    """The HTTP backend passes the contract tests with the stand-in."""
    for check in CHECKS:
        async with http_platform() as platform:
            await check(platform)


@trio_test
async def test_memory_keeps_contract():
    """The in-memory backend passes the same contract tests."""
    for check in CHECKS:
        async with memory_platform() as platform:
            await check(platform)
