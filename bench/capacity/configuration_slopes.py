"""Slopes of the configuration: size, memory and adoption of documents."""

import functools
import hashlib
import importlib

from bench.capacity import probes
from bench.capacity.fits import Point
from bench.capacity.slopes import BYTES, SECONDS, slope
from chestnutshift.configuration.model import (
    AccountLimit,
    Configuration,
    KeyRecord,
    Preset,
    Service,
)

CODEC = 'chestnutshift.configuration.codec'
CHECKS = 'chestnutshift.checks.registry'
RECORDS = 'chestnutshift.storage.records'
KEY_COUNTS = (500, 1_000, 2_000, 4_000)
ACCOUNT_COUNTS = (250, 500, 1_000)
VM_COUNTS = (250, 500, 1_000)


def make_configuration(accounts: int, keys: int) -> Configuration:
    """Return a configuration with one preset."""
    limits = {
        f'account-{index}': AccountLimit(50, 100) for index in range(accounts)
    }
    records = {
        hashlib.sha256(str(index).encode()).hexdigest(): KeyRecord(
            f'account-{index % accounts}',
            f'key-{index}',
        )
        for index in range(keys)
    }
    return Configuration(
        number=1,
        deployment='target',
        services=(Service('listings', '/listings'),),
        presets={'ordinary': Preset(accounts=limits)},
        in_force='ordinary',
        keys=records,
    )


def _dump(accounts: int, keys: int) -> bytes:
    codec = importlib.import_module(CODEC)
    return codec.to_bytes(make_configuration(accounts, keys))


def _load(document: bytes) -> Configuration:
    return importlib.import_module(CODEC).from_bytes(document)


@slope('key_size', 'whole configuration', 'key', BYTES, needs=(CODEC,))
def measure_key_size() -> list[Point]:
    """Measure the size of configurations with more and more keys."""
    return [Point(count, len(_dump(100, count))) for count in KEY_COUNTS]


@slope(
    'account_size',
    'whole configuration',
    'account of a preset',
    BYTES,
    needs=(CODEC,),
)
def measure_account_size() -> list[Point]:
    """Measure the size of configurations with more and more accounts."""
    return [Point(count, len(_dump(count, 100))) for count in ACCOUNT_COUNTS]


@slope('key_memory', 'memory of the configuration', 'key', BYTES, (CODEC,))
def measure_key_memory() -> list[Point]:
    """Measure the bytes allocated for configurations by key."""
    return [
        Point(
            count,
            probes.allocated_bytes(
                functools.partial(_load, _dump(100, count)),
            ),
        )
        for count in KEY_COUNTS
    ]


@slope(
    'account_memory',
    'memory of the configuration',
    'account of a preset',
    BYTES,
    needs=(CODEC,),
)
def measure_account_memory() -> list[Point]:
    """Measure the bytes allocated for configurations by account."""
    return [
        Point(
            count,
            probes.allocated_bytes(
                functools.partial(_load, _dump(count, 100)),
            ),
        )
        for count in ACCOUNT_COUNTS
    ]


@slope(
    'key_adoption',
    'read and check of a whole configuration',
    'key',
    SECONDS,
    needs=(CODEC, CHECKS),
)
def measure_key_adoption() -> list[Point]:
    """Measure the time to load and check configurations."""
    return [
        Point(
            count,
            probes.cpu_seconds(
                functools.partial(_adopt, _dump(100, count)),
                repeats=3,
            ),
        )
        for count in KEY_COUNTS
    ]


def _adopt(document: bytes) -> None:
    checks = importlib.import_module(CHECKS)
    checks.check_configuration(_load(document))


@slope('vm_list_size', "the platform's list", 'VM', BYTES, needs=(RECORDS,))
def measure_vm_list_size() -> list[Point]:
    """Measure the size of VM lists in JSON."""
    return [Point(count, _vm_list_size(count)) for count in VM_COUNTS]


def _vm_list_size(count: int) -> int:
    records = importlib.import_module(RECORDS)
    listed = [
        records.VmRecord(
            vm=f'vm-{index}',
            role=records.VmRole.UPSTREAM,
            failure_domain=f'domain-{index % 41}',
            region=f'region-{index % 20}',
            address=f'10.0.{index >> 8}.{index & 255}:8080',
            service='listings',
            slots=9,
        )
        for index in range(count)
    ]
    dump = importlib.import_module('json').dumps
    as_dict = importlib.import_module('attrs').asdict
    return len(dump([as_dict(record) for record in listed]))
