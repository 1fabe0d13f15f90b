"""Tests of merging withdrawals, and of cancelling requests in flight."""

import random

import attrs
import trio
from nose2.tools import params
from trio.testing import trio_test, wait_all_tasks_blocked

from chestnutshift.configuration.model import KeyRecord
from chestnutshift.keys import credentials
from chestnutshift.keys.authentication import Identity, KeyRing
from chestnutshift.keys.cancellation import RequestCanceller
from chestnutshift.keys.withdrawals import Withdrawals
from tests.keys import (
    DIGEST,
    NOW,
    OTHER_KEY,
    TRUST_S,
    make_configuration,
    make_ring,
)

IDENTITY = Identity('konya', DIGEST)
OTHER_DIGEST = credentials.digest(OTHER_KEY)


def test_merge_in_any_order():
    """VMs that exchange their sets in any order end up with the union."""
    rng = random.Random(7)
    union = {f'{number:064x}' for number in range(6)}
    sets = [Withdrawals({name}, {name}) for name in sorted(union)]
    for _ in range(200):
        sender, receiver = rng.sample(sets, 2)
        receiver.add(sender.digests)
    assert all(each.digests == union for each in sets)
    assert all(each.unwritten == union for each in sets)
    assert not sets[0].confirm([max(union)])
    assert sets[0].unwritten == union - {max(union)}


def test_fingerprint_differs_between_sets():
    """Fingerprints of different sets differ, whatever the order of merging."""
    first, second = Withdrawals(), Withdrawals()
    first.add([DIGEST])
    second.confirm([OTHER_DIGEST])
    assert first.fingerprint != second.fingerprint
    first.add([OTHER_DIGEST, DIGEST])
    second.add([DIGEST])
    assert first.fingerprint == second.fingerprint


@trio_test
async def test_withdrawal_cancels_requests_in_flight():
    """A request in flight is cancelled when its key is withdrawn."""
    ring = make_ring()
    canceller = RequestCanceller(ring)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_withdraw, ring, canceller)
        with trio.CancelScope() as scope:
            with canceller.subscribe(IDENTITY, scope, NOW) as subscription:
                await trio.sleep_forever()
    assert subscription.cause.code == 'keys.withdrawn'
    assert canceller.cancel_invalid([DIGEST], NOW) == 0


async def _withdraw(ring: KeyRing, canceller: RequestCanceller) -> None:
    await wait_all_tasks_blocked()
    assert canceller.cancel_invalid([DIGEST], NOW) == 0
    assert canceller.cancel_invalid(ring.withdrawals.add([DIGEST]), NOW) == 1


@params({}, {DIGEST: KeyRecord('bursa', 'moved')})
def test_removed_or_moved_key_cancels(keys):
    """A configuration that removes or moves the key cancels its requests."""
    ring = make_ring()
    canceller = RequestCanceller(ring)
    scope = trio.CancelScope()
    with canceller.subscribe(IDENTITY, scope, NOW) as subscription:
        newer = attrs.evolve(make_configuration(2), keys=keys)
        assert canceller.cancel_invalid(ring.adopt(newer), NOW) == 1
    assert subscription.cause.code == 'keys.unknown'


def test_withdrawal_before_subscription_cancels():
    """A withdrawal between authentication and subscription is not missed."""
    ring = make_ring()
    ring.withdrawals.add([DIGEST])
    scope = trio.CancelScope()
    with RequestCanceller(ring).subscribe(IDENTITY, scope, NOW) as subscription:
        assert scope.cancel_called
    assert subscription.cause.code == 'keys.withdrawn'


@trio_test
async def test_stale_keys_cancel_everything():
    """All requests in flight with a key end when keys are not trusted."""
    ring = make_ring()
    canceller = RequestCanceller(ring)
    scope = trio.CancelScope()
    with canceller.subscribe(IDENTITY, scope, NOW) as subscription:
        assert canceller.check_all(NOW + TRUST_S) == 0
        assert canceller.check_all(NOW + TRUST_S + 1) == 1
    assert scope.cancel_called
    assert subscription.cause.code == 'keys.stale'
