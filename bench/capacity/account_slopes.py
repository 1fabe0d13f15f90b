"""Slopes of account shares and admission at one VM."""

import functools
import importlib
import random

from bench.capacity import probes
from bench.capacity.fits import Point
from bench.capacity.slopes import BYTES, SECONDS, slope
from chestnutshift.configuration.model import AccountLimit

ADMISSION = 'chestnutshift.accounts.admission'
SEATS = 'chestnutshift.accounts.seats'
LOANS = 'chestnutshift.accounts.loans'
NEEDS = (ADMISSION, SEATS, LOANS)
ACCOUNT_COUNTS = (1_000, 2_000, 4_000)
REQUEST_COUNTS = (2_000, 4_000, 8_000)
SEAT_COUNT = 12
PEER_COUNT = 11
PLAN_COUNT = 5
PLAN_PERIOD_S = 0.05


def make_admission(count: int):
    """Return the admission of a VM that holds the lease of its seat."""
    limits = {
        f'account-{index}': AccountLimit(50, 100) for index in range(count)
    }
    admission_class = importlib.import_module(ADMISSION).Admission
    admission = admission_class('vm', SEAT_COUNT, random.Random(1))
    admission.configure(limits, 0)
    lease = importlib.import_module(SEATS).SeatLease(0, 0, 1_000)
    admission.plan(0)
    admission.apply_renewal(lease, 0)
    return admission


@slope('share_memory', 'memory of the shares', 'account', BYTES, NEEDS)
def measure_share_memory() -> list[Point]:
    """Measure the bytes allocated for the shares of accounts."""
    return [
        Point(
            count,
            probes.allocated_bytes(functools.partial(make_admission, count)),
        )
        for count in ACCOUNT_COUNTS
    ]


@slope('share_renewal', 'renewal of the shares', 'account', SECONDS, NEEDS)
def measure_share_renewal() -> list[Point]:
    """Measure the time to renew the lease, which resizes every share."""
    return [Point(count, _time_renewal(count)) for count in ACCOUNT_COUNTS]


def _time_renewal(count: int) -> float:
    admission = make_admission(count)
    lease = importlib.import_module(SEATS).SeatLease(0, 0, 2_000)
    return probes.cpu_seconds(
        functools.partial(admission.apply_renewal, lease, 0)
    )


@slope('share_plan', 'one plan of loans', 'account', SECONDS, NEEDS)
def measure_share_plan() -> list[Point]:
    """Measure the time to plan the loans of accounts with demand.

    All peers are connected.
    """
    return [Point(count, _time_plan(count)) for count in ACCOUNT_COUNTS]


def _time_plan(count: int) -> float:
    admission = make_admission(count)
    make_peer = importlib.import_module(LOANS).Peer
    admission.update_peers(
        tuple(
            make_peer(f'vm-{index}', near=True) for index in range(PEER_COUNT)
        ),
    )
    for index in range(count):
        admission.admit(f'account-{index}', 0)
    moments = iter(range(1, PLAN_COUNT + 1))

    def work() -> None:
        admission.plan(next(moments) * PLAN_PERIOD_S)

    return probes.cpu_seconds(work, repeats=PLAN_COUNT)


@slope('admission', 'admission of requests', 'request', SECONDS, NEEDS)
def measure_admission() -> list[Point]:
    """Measure the time to admit requests of many accounts."""
    return [Point(count, _time_admission(count)) for count in REQUEST_COUNTS]


def _time_admission(count: int) -> float:
    admission = make_admission(ACCOUNT_COUNTS[0])
    names = [f'account-{index % 1000}' for index in range(count)]

    def work() -> None:
        for name in names:
            admission.admit(name, 1)

    return probes.cpu_seconds(work)
