"""Withdrawals merge in any order and cancel what is under way."""

import random

import trio
from trio.testing import trio_test, wait_all_tasks_blocked

from chestnutshift.keys.watch import Watch
from chestnutshift.keys.withdrawals import Withdrawals
from tests.keys import DIGEST


def test_merge_in_any_order():
    """VMs that exchange their sets in any order end with the union."""
    rng = random.Random(7)
    union = {f'd{number}' for number in range(6)}
    sets = [Withdrawals({name}, {name}) for name in sorted(union)]
    for _ in range(200):
        giver, taker = rng.sample(sets, 2)
        taker.add(giver.digests)
    assert all(held.digests == union for held in sets)
    assert all(held.unwritten == union for held in sets)
    assert not sets[0].confirm(['d1'])
    assert sets[0].unwritten == union - {'d1'}


@trio_test
async def test_withdrawal_cancels_what_is_under_way():
    """An upload in the middle ends when its key is withdrawn."""
    withdrawals = Withdrawals()
    watch = Watch(withdrawals)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_withdraw, withdrawals, watch)
        with trio.CancelScope() as scope:
            with watch.subscribe(DIGEST, scope) as subscription:
                with watch.subscribe('other', trio.CancelScope()) as other:
                    await trio.sleep_forever()
    assert subscription.cause.code == 'keys.withdrawn'
    assert other.cause is None
    assert watch.withdrawn([DIGEST, 'other']) == 0


async def _withdraw(withdrawals: Withdrawals, watch: Watch) -> None:
    await wait_all_tasks_blocked()
    assert watch.withdrawn(withdrawals.add([DIGEST])) == 1


def test_withdrawal_before_subscription_cancels():
    """No gap opens between authentication and subscription."""
    watch = Watch(Withdrawals({DIGEST}))
    scope = trio.CancelScope()
    with watch.subscribe(DIGEST, scope) as subscription:
        assert scope.cancel_called
    assert subscription.cause.code == 'keys.withdrawn'


def test_stale_keys_cancel_everything():
    """When no key can be trusted, everything keyed under way ends."""
    watch = Watch(Withdrawals())
    scope = trio.CancelScope()
    with watch.subscribe(DIGEST, scope) as subscription:
        assert watch.stale() == 1
    assert scope.cancel_called
    assert subscription.cause.code == 'keys.stale'
