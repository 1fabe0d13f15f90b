"""An account's rate and burst hold over all VMs, by demand."""

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
# A beat each 0.25 s.
BEAT_STEPS = 25
START = 1000
HOT = (90, 90, 90, 90, 90, 90)


def hear_others(
    told: list[dict[str, float]],
    index: int,
    *,
    is_cut: bool,
) -> dict[str, dict[str, float]]:
    """Return what the other VMs last told the one of that index."""
    return {
        f'vm-{other}': demand
        for other, demand in enumerate(told)
        if other != index and not (is_cut and 0 in {other, index})
    }


def make_shares(index: int, vms: int) -> AccountShares:
    """Return the shares of one of so many VMs, each of which decides."""
    deciders = Deciders(f'vm-{index}', 'a')
    deciders.update({'a': [f'vm-{one}' for one in range(vms)]}, vms)
    return AccountShares(TOLERANCE, f'vm-{index}', deciders)


def play(
    rates: Sequence[float],
    duration_s: float,
    *,
    is_cut: bool = False,
    seed: int = 1,
) -> list[list[float]]:
    """Return when each VM admitted requests that come at these rates.

    Where is_cut, the first VM and the others do not hear each other.
    """
    rng = random.Random(seed)
    vms = [make_shares(index, len(rates)) for index in range(len(rates))]
    admitted: list[list[float]] = [[] for _ in rates]
    told: list[dict[str, float]] = [{} for _ in rates]
    for step in range(int(duration_s / STEP_S)):
        now = START + step * STEP_S
        if step % BEAT_STEPS == 0:
            for index, hearer in enumerate(vms):
                heard = hear_others(told, index, is_cut=is_cut)
                hearer.update(heard, len(vms), now)
            told = [vm.tell_demand(now) for vm in vms]
        for vm, rate, moments in zip(vms, rates, admitted, strict=True):
            is_due = rng.random() < rate * STEP_S
            if is_due and vm.admit(ACCOUNT, now) is None:
                moments.append(now)
    return admitted


def worst_window(admitted: list[list[float]]) -> int:
    """Return the most requests of all VMs in any window."""
    moments = sorted(moment for vm in admitted for moment in vm)
    return max(
        sum(start <= one < start + TOLERANCE.window_s for one in moments)
        for start in moments
    )


def limit() -> float:
    """Return what may be admitted in a window."""
    inside = ACCOUNT.rate * TOLERANCE.window_s + ACCOUNT.burst
    return inside + TOLERANCE.requests(ACCOUNT)


def test_hot_account_is_held_to_its_limit() -> None:
    """Pattern: one account sends five times its rate everywhere."""
    assert worst_window(play(HOT, 8)) <= limit()


def test_hot_account_while_a_vm_is_cut_off() -> None:
    """The VM out of reach has its part reserved, and no more than it."""
    assert worst_window(play(HOT, 8, is_cut=True)) <= limit()


def test_demand_in_one_place_gets_nearly_all() -> None:
    """Pattern: all of an account's callers use one VM."""
    admitted = play([80, 0, 0, 0], 8)
    late = [one for one in admitted[0] if one > 1003]
    assert len(late) > 0.9 * 80 * 5


@settings(max_examples=15, deadline=None)
@given(
    st.lists(st.floats(0, 99), min_size=2, max_size=8),
    st.booleans(),
    st.integers(0, 99),
)
def test_limit_holds(rates: list[float], is_cut: bool, seed: int) -> None:
    """Whatever comes where, no window passes the limit."""
    admitted = play(rates, 7, is_cut=is_cut, seed=seed)
    if any(admitted):
        assert worst_window(admitted) <= limit()
