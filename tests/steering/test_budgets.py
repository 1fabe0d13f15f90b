"""Bounds of the whole fleet, divided without a message."""

from chestnutshift.steering.cold import ColdGate
from chestnutshift.steering.retry_budget import FleetRetryBudget, RetryBounds
from tests.steering.world import NOW, SERVICE, make_directory, register

VMS = [f'vm-{number}' for number in range(12)]
BOUNDS = RetryBounds(window_s=10, ratio=0.2, slack=64)


def test_repeats_stay_inside_the_budget() -> None:
    """Pattern: retry abuse. All VMs together keep to ratio and slack."""
    budgets = [FleetRetryBudget(BOUNDS) for _ in VMS]
    repeats = 0
    for budget in budgets:
        for number in range(100):
            now = NOW + number / 20
            budget.count_request(SERVICE, now)
            repeats += budget.take(SERVICE, len(VMS), now)
            repeats += budget.take(SERVICE, len(VMS), now)
    assert repeats <= 0.2 * 100 * len(VMS) + 64
    assert repeats > 100


def test_budget_returns_with_time() -> None:
    """What was spent long ago does not count."""
    budget = FleetRetryBudget(BOUNDS)
    for _ in range(64):
        budget.take(SERVICE, 12, NOW)
    assert not budget.take(SERVICE, 12, NOW + 9)
    assert budget.take(SERVICE, 12, NOW + 10.1)


def test_cold_upstream_is_paced_by_all_vms() -> None:
    """Pattern: cold return, every VM wanting the upstream all the time."""
    upstream = register(make_directory(), 'u1', cold_for_s=3.0)
    gates = [ColdGate(vm) for vm in VMS]
    sent: list[float] = []
    for gate in gates:
        gate.update(VMS, {SERVICE: 6.1})
    for step in range(300):
        now = NOW + step / 100
        for gate in gates:
            if gate.may_send(upstream, now):
                gate.take(upstream, now)
                sent.append(now)
    worst = max(sum(one <= at < one + 1 for at in sent) for one in sent)
    assert 3 <= worst <= 6.1 * 1.5 + 5


def test_vms_that_disagree_about_the_fleet() -> None:
    """VMs that know other halves of the list do no harm either."""
    upstream = register(make_directory(), 'u1', cold_for_s=3.0)
    sent: list[float] = []
    for known in (VMS[:6], VMS[6:]):
        for vm in known:
            gate = ColdGate(vm)
            gate.update(known, {SERVICE: 6.1})
            for step in range(100):
                now = NOW + step / 100
                if gate.may_send(upstream, now):
                    gate.take(upstream, now)
                    sent.append(now)
    assert len(sent) <= 6.1 * 1.5 + 5
