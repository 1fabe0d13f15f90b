"""An account's limit holds over all VMs, which divide it by demand."""

import random
from collections.abc import Sequence

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutshift.fleet.deciders import Deciders
from chestnutshift.fleet.shares import AccountShares, Tolerance
from chestnutshift.routes.model import Account

ACCOUNT = Account('konya', rate=100, burst=100)
TOLERANCE = Tolerance(window_s=5, ratio=0.1, slack=20)
STEP_S = 0.01
# One heartbeat every 0.25 s.
HEARTBEAT_STEPS = 25
START = 1000
HOT_RATES = (90, 90, 90, 90, 90, 90)


def peer_demand(
    reported: list[dict[str, float]],
    index: int,
    *,
    is_partitioned: bool,
) -> dict[str, dict[str, float]]:
    """Return the demand that the other VMs last reported, by VM name."""
    return {
        f'vm-{other}': demand
        for other, demand in enumerate(reported)
        if other != index and not (is_partitioned and 0 in {other, index})
    }


def make_shares(index: int, vms: int) -> AccountShares:
    """Return the shares of one VM in a fleet of that size."""
    deciders = Deciders(f'vm-{index}', 'a')
    deciders.update({'a': [f'vm-{number}' for number in range(vms)]}, vms)
    return AccountShares(TOLERANCE, f'vm-{index}', deciders)


def simulate(
    rates: Sequence[float],
    duration_s: float,
    *,
    is_partitioned: bool = False,
    seed: int = 1,
) -> list[list[float]]:
    """Return the times at which each VM admitted requests of these rates.

    If is_partitioned, no heartbeats pass between the first VM and the others.
    """
    rng = random.Random(seed)
    vms = [make_shares(index, len(rates)) for index in range(len(rates))]
    admitted: list[list[float]] = [[] for _ in rates]
    reported: list[dict[str, float]] = [{} for _ in rates]
    for step in range(int(duration_s / STEP_S)):
        now = START + step * STEP_S
        if step % HEARTBEAT_STEPS == 0:
            for index, vm in enumerate(vms):
                peer_demands = peer_demand(
                    reported, index, is_partitioned=is_partitioned
                )
                vm.update(peer_demands, len(vms), now)
            reported = [vm.report_demand(now) for vm in vms]
        for vm, rate, admitted_at in zip(vms, rates, admitted, strict=True):
            is_due = rng.random() < rate * STEP_S
            if is_due and vm.admit(ACCOUNT, now) is None:
                admitted_at.append(now)
    return admitted


def worst_window(admitted: list[list[float]]) -> int:
    """Return the most requests that all VMs admitted in any window."""
    admitted_at = sorted(time for vm in admitted for time in vm)
    return max(
        sum(start <= time < start + TOLERANCE.window_s for time in admitted_at)
        for start in admitted_at
    )


def tolerated_requests(account: Account = ACCOUNT) -> float:
    """Return the number of requests that are tolerated in a window."""
    limit = account.rate * TOLERANCE.window_s + account.burst
    return limit + TOLERANCE.requests(account)


def test_hot_account_is_held_to_its_limit() -> None:
    """The limit holds while an account sends five times its rate in total."""
    assert worst_window(simulate(HOT_RATES, 8)) <= tolerated_requests()


def test_hot_account_while_a_vm_is_partitioned() -> None:
    """A partitioned VM uses no more than the share reserved for it."""
    assert (
        worst_window(simulate(HOT_RATES, 8, is_partitioned=True))
        <= tolerated_requests()
    )


def test_demand_at_one_vm_gets_nearly_all() -> None:
    """If all callers of an account use one VM, it gets most of the rate."""
    admitted = simulate([80, 0, 0, 0], 8)
    late = [time for time in admitted[0] if time > 1003]
    assert len(late) > 0.9 * 80 * 5


@settings(max_examples=15, deadline=None)
@given(
    st.lists(st.floats(0, 99), min_size=2, max_size=8),
    st.booleans(),
    st.integers(0, 99),
)
def test_limit_holds(
    rates: list[float], is_partitioned: bool, seed: int
) -> None:
    """No distribution of requests over VMs exceeds the limit."""
    admitted = simulate(rates, 7, is_partitioned=is_partitioned, seed=seed)
    if any(admitted):
        assert worst_window(admitted) <= tolerated_requests()
