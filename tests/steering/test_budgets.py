"""Fleet-wide bounds hold although VMs divide them without communicating."""

import itertools
import random

from nose2.tools import params

from chestnutshift.steering.retry_budget import FleetRetryBudget, RetryBounds
from chestnutshift.steering.upstream_rates import UpstreamRates
from tests.steering.factories import NOW, SERVICE, make_directory, register
from tests.steering.retry_model import (
    VM_COUNT,
    RetryModel,
    play_move,
    play_restarts,
)

VMS = [f'vm-{number}' for number in range(12)]
BOUNDS = RetryBounds(window_s=10, ratio=0.2, slack=64)
# Restarts of each VM in a window, and requests per second of all VMs.
RESTARTS = (0, 1, 2, 4)
RATES = (20, 60, 250)


def most_in_a_second(times: list[float]) -> int:
    """Return the most of the times that lie within one second."""
    return max(
        sum(start <= time < start + 1 for time in times) for start in times
    )


def test_retries_stay_within_the_budget() -> None:
    """All VMs together keep to ratio and slack if every request fails."""
    budgets = [FleetRetryBudget(BOUNDS) for _ in VMS]
    retries = 0
    for budget in budgets:
        budget.record_vms(len(VMS), NOW)
        for number in range(100):
            now = NOW + number / 20
            budget.count_request(SERVICE, now)
            retries += budget.take(SERVICE, now)
            retries += budget.take(SERVICE, now)
    assert retries <= 0.2 * 100 * len(VMS) + 64
    assert retries > 100


# BUDGET: each run of a VM had its whole part of the slack, and knew nothing of
# what the run before it had sent within the window.
@params(*itertools.product(range(3), RESTARTS, RATES))
def test_restarts_give_no_budget_back(
    seed: int, restarts: int, rate: float
) -> None:
    """VMs restart so often in a window while every attempt fails."""
    model = play_restarts(seed, restarts, rate)
    assert model.repeats
    assert model.most_over() <= 0


def test_budget_recovers_after_the_window() -> None:
    """Retries that are older than the window do not count."""
    budget = FleetRetryBudget(BOUNDS)
    budget.count_request(SERVICE, NOW - 20)
    budget.record_vms(12, NOW)
    for _ in range(64):
        budget.take(SERVICE, NOW)
    assert not budget.take(SERVICE, NOW + 9)
    assert budget.take(SERVICE, NOW + 10.1)


def test_vms_together_keep_to_the_cold_rate() -> None:
    """The rate holds while every VM tries to send to the cold upstream."""
    upstream = register(make_directory(), 'u1', cold_for_s=3.0)
    limiters = [UpstreamRates(vm) for vm in VMS]
    sent: list[float] = []
    for limiter in limiters:
        limiter.update(VMS, {SERVICE: 6.1}, NOW)
    for step in range(300):
        now = NOW + step / 100
        for limiter in limiters:
            if limiter.may_send(upstream, now):
                limiter.record_send(upstream, now)
                sent.append(now)
    assert 3 <= most_in_a_second(sent) <= 6.1 * 1.5 + 5


def test_cold_rate_holds_for_disagreeing_vms() -> None:
    """The rate holds while two halves of the fleet do not know each other."""
    upstream = register(make_directory(), 'u1', cold_for_s=3.0)
    sent: list[float] = []
    for known in (VMS[:6], VMS[6:]):
        for vm in known:
            limiter = UpstreamRates(vm)
            limiter.update(known, {SERVICE: 6.1}, NOW)
            for step in range(100):
                now = NOW + step / 100
                if limiter.may_send(upstream, now):
                    limiter.record_send(upstream, now)
                    sent.append(now)
    assert len(sent) <= 6.1 * 1.5 + 5


# Guards against requests that leave an upstream which has room: a limit far
# above the demand still let each VM send one request at a time.
def test_high_limit_leaves_room_for_bursts() -> None:
    """Three requests at once are less than a VM's part in half a second."""
    upstream = register(make_directory(), 'u1')
    upstream.record_rate_limit(100, NOW)
    rates = UpstreamRates(VMS[0])
    rates.update(VMS, {SERVICE: 6.1}, NOW)
    rates.may_send(upstream, NOW)
    sent = 0
    for _ in range(9):
        if rates.may_send(upstream, NOW + 1):
            rates.record_send(upstream, NOW + 1)
            sent += 1
    assert sent == 3


# Guards against a flood while VMs join: a bucket kept the rate of the moment
# at which it was made, so that each new sender came on top of the former ones.
def test_cold_rate_holds_while_vms_join() -> None:
    """VMs join one after the other while the upstream is cold."""
    upstream = register(make_directory(), 'u1', cold_for_s=9.0)
    limiters = [UpstreamRates(vm) for vm in VMS]
    sent: list[float] = []
    for step in range(900):
        now = NOW + step / 100
        known = VMS[: 1 + step // 30]
        for limiter in limiters[: len(known)]:
            limiter.update(known, {SERVICE: 6.1}, now)
            if limiter.may_send(upstream, now):
                limiter.record_send(upstream, now)
                sent.append(now)
    assert 3 <= most_in_a_second(sent) <= 6.1 * 1.5 + 5
    assert len(sent) <= 6.1 * 9 + 12


# BUDGET: a VM's part of the slack grew at once when others were taken away,
# though what those had sent was still within the window.
@params(*itertools.product(range(3), (1, 2, 3, 6)))
def test_vms_taken_away_leave_no_slack(seed: int, left: int) -> None:
    """Most VMs are taken away after all have used their parts."""
    rng = random.Random(seed)
    model = RetryModel()
    for vm in range(VM_COUNT):
        model.serve(vm, attempts=1)
    model.now += 30
    for _ in range(2 * VM_COUNT):
        model.serve(rng.randrange(VM_COUNT), attempts=9)
    model.now += 1
    model.vm_count = left
    for _ in range(VM_COUNT):
        model.serve(rng.randrange(left), attempts=60)
    assert model.most_over() <= 0


# BUDGET: VMs that ended, and those to which their callers moved, both spent in
# one window what requests had earned in different ones.
@params(*itertools.product(range(2), (1, 6, 8), (0, 2, 5, 8)))
def test_callers_that_move(seed: int, left: int, after_s: float) -> None:
    """A part of the VMs is lost some seconds after every attempt fails."""
    model = play_move(seed, left, after_s, rate=256)
    assert len(model.repeats) > 256
    assert model.most_over() <= 0
