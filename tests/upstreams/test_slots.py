"""VMs together never use more slots of an upstream than it has."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutshift.conf.defaults import REGION_CEILING
from chestnutshift.upstreams.division import UpstreamSlots, floor_slots
from tests.enforcement import enforced
from tests.upstreams.fakes import TERMS, UPSTREAMS, FakeDomain

RANDOM_STEPS = 400
NAMES = ('a', 'b')
LISTINGS = ('listings-1', 'listings-2')


def acquire_all(domain: FakeDomain, name: str, upstreams=LISTINGS) -> int:
    """Acquire slots and send requests until none is free; return how many."""
    acquired = 0
    for upstream in upstreams:
        running = domain.acquire(name, upstream)
        while running is not None:
            domain.send(running)
            acquired += 1
            running = domain.acquire(name, upstream)
    return acquired


@given(
    slots=st.integers(0, 20),
    positions=st.integers(1, 5),
    name=st.text(max_size=5),
)
@settings(derandomize=True, deadline=None, database=None)
def test_floors_add_up(slots, positions, name):
    """The floors of all positions add up to exactly the upstream's slots."""
    upstream = UpstreamSlots(name, 'listings', slots)
    floors = [
        floor_slots(upstream, position, positions)
        for position in range(positions)
    ]
    assert sum(floors) == slots
    assert max(floors) - min(floors) <= 1


def test_busy_vm_borrows():
    """A VM that has all the load gets most of the domain's slots."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    owned = acquire_all(domain, 'a')
    for _ in range(10):
        domain.plan('a', {'listings': 20})
        domain.deliver_all()
        acquire_all(domain, 'a')
        domain.now += 0.05
    total = sum(domain.running_at(name) for name in LISTINGS)
    assert 7 <= owned <= 11
    assert total >= 14
    assert total <= 18


def test_lender_gets_slots_back():
    """The lender may use returned slots at once, not only after the term."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    owned = acquire_all(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver_all()
    assert acquire_all(domain, 'a') > 0
    for running in tuple(domain.vms['a'].running):
        domain.finish('a', running)
    domain.now += TERMS.start_s
    domain.plan('a', {})
    domain.deliver_all()
    assert acquire_all(domain, 'b') == 18 - owned


def test_silent_borrower_keeps_its_slots():
    """A slot that is not returned is free only after the loan's whole term."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    owned = acquire_all(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver_all()
    borrowed = acquire_all(domain, 'a')
    # Requests start within 2 s and run for up to 5 s.
    domain.now += 7
    free = acquire_all(domain, 'b')
    assert free == 18 - owned - borrowed
    domain.now += 1
    assert acquire_all(domain, 'b') == borrowed


def test_late_grant_adds_no_slots():
    """A grant that arrives after its term gives no usable slots."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    acquire_all(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver(0)
    domain.now += TERMS.start_s
    domain.deliver_all()
    assert acquire_all(domain, 'a') == 0


def test_repeated_grant_counts_once():
    """A grant that arrives twice adds its slots only once."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    owned = acquire_all(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver(0)
    domain.deliver(0, again=True)
    domain.deliver_all()
    assert owned + acquire_all(domain, 'a') + acquire_all(domain, 'b') == 18


def test_expired_lease_is_not_used():
    """A VM paused until after the loan's term does not send in its slot."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    acquire_all(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver_all()
    running = domain.acquire('a', 'listings-1')
    running = running or domain.acquire('a', 'listings-2')
    domain.now += TERMS.start_s
    assert not domain.send(running)


def test_restarted_lender_reconciles_first():
    """A restarted VM uses only reserved slots until its peer has answered."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    owned = acquire_all(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver_all()
    borrowed = acquire_all(domain, 'a')
    domain.restart('b')
    reserved = acquire_all(domain, 'b')
    assert owned + borrowed + reserved <= 18
    domain.plan('b', {})
    domain.deliver_all()
    assert owned + borrowed + reserved + acquire_all(domain, 'b') == 18


def test_return_to_an_earlier_incarnation():
    """A return to an earlier incarnation does not end a loan of the new one."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    acquire_all(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver_all()
    domain.restart('b')
    domain.plan('b', {})
    domain.deliver_all()
    lent = domain.vms['b'].table.capacity('listings-1', 0)
    domain.now += 1
    domain.plan('a', {})
    domain.deliver_all()
    assert domain.vms['b'].table.capacity('listings-1', 1) == lent


def test_grant_of_an_earlier_incarnation():
    """A grant in transit while its lender restarts is not used."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    owned = acquire_all(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver(0)
    domain.restart('b')
    domain.plan('b', {})
    domain.deliver(1)
    domain.deliver_all()
    assert owned + acquire_all(domain, 'a') + acquire_all(domain, 'b') <= 18


def test_holdings_for_an_earlier_incarnation():
    """An answer to an earlier incarnation does not reconcile the new one."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    domain.restart('b')
    domain.plan('b', {})
    domain.deliver(0)
    domain.restart('b')
    domain.deliver_all()
    assert not domain.vms['b'].table.is_reconciled(domain.now)


def test_lender_in_need_recalls_slots():
    """A lender that requests slots itself gets idle lent ones back early."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    owned = acquire_all(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver_all()
    acquire_all(domain, 'b')
    domain.plan('b', {'listings': 20})
    domain.deliver_all()
    domain.plan('a', {})
    domain.deliver_all()
    acquire_all(domain, 'b')
    assert len(domain.vms['b'].running) == 18 - owned


def test_lender_keeps_last_free_slot():
    """A VM lends neither slots in use nor its last free one."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    floor_a = acquire_all(domain, 'a')
    floor_b = acquire_all(domain, 'b')
    last = domain.vms['b'].running[-1]
    domain.finish('b', last)
    domain.plan('a', {'listings': 20})
    domain.deliver_all()
    assert acquire_all(domain, 'a') == 0
    assert floor_a + floor_b == 18


def test_no_slot_in_use_is_lent():
    """A VM lends only slots of the upstream that has free ones."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    acquire_all(domain, 'a')
    acquire_all(domain, 'b', LISTINGS[:1])
    domain.plan('a', {'listings': 20})
    domain.deliver_all()
    acquire_all(domain, 'a')
    assert [domain.running_at(name) <= 9 for name in LISTINGS] == [True, True]


def test_restarted_vm_alone_waits_for_expiry():
    """Without its peer a restarted VM uses its floor after the loan's term."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    floor = acquire_all(domain, 'b')
    domain.restart('b')
    assert acquire_all(domain, 'b') < floor
    domain.now += TERMS.hold_s
    acquire_all(domain, 'b')
    assert len(domain.vms['b'].running) == floor


def test_local_work_keeps_a_reserve():
    """Work of other regions is admitted only below the region ceiling."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    table = domain.vms['a'].table
    capacity, _ = table.service_load('listings', 0)
    acquired = 0
    while table.admit_foreign('listings', 'ege', 0):
        domain.acquire('a', 'listings-1') or domain.acquire('a', 'listings-2')
        acquired += 1
    assert acquired == int(capacity * REGION_CEILING)


def test_waiting_local_work_goes_first():
    """No work of other regions is admitted while local work waits."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    domain.plan('a', {'listings': 1})
    assert not domain.vms['a'].table.admit_foreign('listings', 'ege', 0)


def test_same_region_shares_short_queues():
    """Work of the same region is admitted while few requests wait."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    table = domain.vms['a'].table
    capacity, _ = table.service_load('listings', 0)
    acquire_all(domain, 'a')
    domain.plan('a', {'listings': capacity // 2 - 1})
    assert table.admit_foreign('listings', 'marmara', 0)
    domain.plan('a', {'listings': capacity // 2 + 1})
    assert not table.admit_foreign('listings', 'marmara', 0)


def test_vacant_position_is_used_and_given_up():
    """A VM may own a vacant position's floor until it gives it up."""
    domain = FakeDomain(random.Random(1)).start(NAMES)
    table = domain.vms['a'].table
    table.division.add_position(1)
    assert table.capacity('listings-1', 0) == 9
    table.division.remove_position(1)
    assert table.capacity('listings-1', 0) < 9


@given(seed=st.integers(0, 2**32))
@settings(derandomize=True, deadline=None, database=None, max_examples=60)
def test_upstream_is_never_overloaded(seed):
    """Lost, late and repeated messages, pauses and restarts overuse no slot."""
    rng = random.Random(seed)
    domain = FakeDomain(rng).start(('a', 'b', 'c')[: rng.randint(2, 3)])
    with enforced():
        for _ in range(RANDOM_STEPS):
            random_step(domain, rng)
            for upstream in UPSTREAMS:
                assert domain.running_at(upstream.name) <= upstream.slots


def random_step(domain: FakeDomain, rng: random.Random) -> None:
    """Simulate one random event of a failure domain."""
    domain.now += rng.choice((0, 0, 0, 0, 0.01, 0.01, 0.1, 0.1, 0.5, 2))
    name = rng.choice(tuple(domain.vms))
    vm = domain.vms[name]
    percent = rng.randrange(100)
    if percent < 3:
        vm.paused = not vm.paused
    elif percent < 4:
        domain.restart(name)
    elif percent < 35 and domain.in_transit:
        deliver_randomly(domain, rng)
    elif not vm.paused:
        do_random_work(domain, name, rng)


def deliver_randomly(domain: FakeDomain, rng: random.Random) -> None:
    """Lose, deliver or repeat a random message, in any order."""
    index = rng.randrange(len(domain.in_transit))
    if not rng.randrange(10):
        domain.in_transit.pop(index)
    elif not domain.vms[domain.in_transit[index][0]].paused:
        domain.deliver(index, again=not rng.randrange(10))


def do_random_work(domain: FakeDomain, name: str, rng: random.Random) -> None:
    """Plan loans, and acquire slots, send or finish requests at one VM."""
    percent = rng.randrange(100)
    if percent < 30:
        wanted = rng.choice((0, 2, 10))
        domain.plan(name, {'listings': wanted, 'documents': wanted})
    elif percent < 60:
        acquire_all(domain, name, [upstream.name for upstream in UPSTREAMS])
    elif percent < 70:
        domain.acquire(name, rng.choice(UPSTREAMS).name)
    elif percent < 80:
        send_all(domain, name)
    finish_randomly(domain, name, rng)


def finish_randomly(domain: FakeDomain, name: str, rng: random.Random) -> None:
    """Finish requests that are past their deadline, and a few others."""
    for running in tuple(domain.vms[name].running):
        if domain.now >= running.deadline_at or not rng.randrange(20):
            domain.finish(name, running)


def send_all(domain: FakeDomain, name: str) -> None:
    """Send requests that hold a slot and may still start."""
    for running in domain.vms[name].running:
        if not running.started:
            domain.send(running)
