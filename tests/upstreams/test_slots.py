"""Slots of an upstream are never used by more requests than it has."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutshift.conf.defaults import REGION_CEILING
from chestnutshift.upstreams.division import UpstreamSlots, floor_slots
from tests.enforcement import enforced
from tests.upstreams.fakes import TERMS, UPSTREAMS, Domain

STEPS = 400
NAMES = ('a', 'b')
LISTINGS = ('listings-1', 'listings-2')


def fill_up(domain: Domain, name: str, upstreams=LISTINGS) -> int:
    """Take and send until no slot is left; return how many were."""
    taken = 0
    for upstream in upstreams:
        running = domain.take(name, upstream)
        while running is not None:
            domain.send(running)
            taken += 1
            running = domain.take(name, upstream)
    return taken


@given(
    slots=st.integers(0, 20),
    positions=st.integers(1, 5),
    name=st.text(max_size=5),
)
@settings(derandomize=True, deadline=None, database=None)
def test_floors_add_up(slots, positions, name):
    """The floors of all positions make up exactly the upstream's slots."""
    upstream = UpstreamSlots(name, 'listings', slots)
    floors = [
        floor_slots(upstream, seat, positions) for seat in range(positions)
    ]
    assert sum(floors) == slots
    assert max(floors) - min(floors) <= 1


def test_busy_vm_borrows():
    """A VM with all the load gets most of the domain's slots."""
    domain = Domain(random.Random(1)).start(NAMES)
    own = fill_up(domain, 'a')
    for _ in range(10):
        domain.plan('a', {'listings': 20})
        domain.settle_mail()
        fill_up(domain, 'a')
        domain.now += 0.05
    total = sum(domain.load(name) for name in LISTINGS)
    assert 7 <= own <= 11
    assert total >= 14
    assert total <= 18


def test_lender_gets_slots_back():
    """Returned slots are the lender's again without waiting for the term."""
    domain = Domain(random.Random(1)).start(NAMES)
    own = fill_up(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.settle_mail()
    assert fill_up(domain, 'a') > 0
    for running in tuple(domain.vms['a'].running):
        domain.finish('a', running)
    domain.now += TERMS.start_s
    domain.plan('a', {})
    domain.settle_mail()
    assert fill_up(domain, 'b') == 18 - own


def test_silent_borrower_keeps_its_slots():
    """A slot that nobody returned is free only after the whole term."""
    domain = Domain(random.Random(1)).start(NAMES)
    own = fill_up(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.settle_mail()
    borrowed = fill_up(domain, 'a')
    # Requests start within 2 s and run for up to 5 s.
    domain.now += 7
    rest = fill_up(domain, 'b')
    assert rest == 18 - own - borrowed
    domain.now += 1
    assert fill_up(domain, 'b') == borrowed


def test_late_grant_brings_nothing():
    """A grant that arrives after the loan's term may start nothing."""
    domain = Domain(random.Random(1)).start(NAMES)
    fill_up(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver(0)
    domain.now += TERMS.start_s
    domain.settle_mail()
    assert fill_up(domain, 'a') == 0


def test_repeated_grant_counts_once():
    """A grant that arrives twice does not lend its slots twice."""
    domain = Domain(random.Random(1)).start(NAMES)
    own = fill_up(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver(0)
    domain.deliver(0, again=True)
    domain.settle_mail()
    assert own + fill_up(domain, 'a') + fill_up(domain, 'b') == 18


def test_paused_lease_is_not_used():
    """A VM that wakes after the loan's term does not send in its slot."""
    domain = Domain(random.Random(1)).start(NAMES)
    fill_up(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.settle_mail()
    running = domain.take('a', 'listings-1')
    running = running or domain.take('a', 'listings-2')
    domain.now += TERMS.start_s
    assert not domain.send(running)


def test_restarted_lender_asks_first():
    """A restarted VM keeps to what is never lent until its peer answers."""
    domain = Domain(random.Random(1)).start(NAMES)
    own = fill_up(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.settle_mail()
    borrowed = fill_up(domain, 'a')
    domain.restart('b')
    kept = fill_up(domain, 'b')
    assert own + borrowed + kept <= 18
    domain.plan('b', {})
    domain.settle_mail()
    assert own + borrowed + kept + fill_up(domain, 'b') == 18


def test_return_to_an_earlier_process():
    """What an earlier incarnation lent does not free a new one's loan."""
    domain = Domain(random.Random(1)).start(NAMES)
    fill_up(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.settle_mail()
    domain.restart('b')
    domain.plan('b', {})
    domain.settle_mail()
    lent = domain.vms['b'].table.capacity('listings-1', 0)
    domain.now += 1
    domain.plan('a', {})
    domain.settle_mail()
    assert domain.vms['b'].table.capacity('listings-1', 1) == lent


def test_grant_of_an_earlier_process():
    """A grant on its way while its sender restarts is not used."""
    domain = Domain(random.Random(1)).start(NAMES)
    own = fill_up(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.deliver(0)
    domain.restart('b')
    domain.plan('b', {})
    domain.deliver(1)
    domain.settle_mail()
    assert own + fill_up(domain, 'a') + fill_up(domain, 'b') <= 18


def test_holdings_for_an_earlier_process():
    """An answer to a process that is gone does not reconcile the new one."""
    domain = Domain(random.Random(1)).start(NAMES)
    domain.restart('b')
    domain.plan('b', {})
    domain.deliver(0)
    domain.restart('b')
    domain.settle_mail()
    assert not domain.vms['b'].table.is_reconciled(domain.now)


def test_need_recalls_what_was_lent():
    """A lender in need gets its idle slots back without the loan's term."""
    domain = Domain(random.Random(1)).start(NAMES)
    own = fill_up(domain, 'a')
    domain.plan('a', {'listings': 20})
    domain.settle_mail()
    fill_up(domain, 'b')
    domain.plan('b', {'listings': 20})
    domain.settle_mail()
    domain.plan('a', {})
    domain.settle_mail()
    fill_up(domain, 'b')
    assert len(domain.vms['b'].running) == 18 - own


def test_lender_keeps_a_free_slot():
    """A VM lends no slot in use, nor its last free one."""
    domain = Domain(random.Random(1)).start(NAMES)
    total = fill_up(domain, 'a')
    floor = fill_up(domain, 'b')
    last = domain.vms['b'].running[-1]
    domain.finish('b', last)
    domain.plan('a', {'listings': 20})
    domain.settle_mail()
    assert fill_up(domain, 'a') == 0
    assert total + floor == 18


def test_no_slot_in_use_is_lent():
    """A VM lends of the upstream where it has free slots."""
    domain = Domain(random.Random(1)).start(NAMES)
    fill_up(domain, 'a')
    fill_up(domain, 'b', LISTINGS[:1])
    domain.plan('a', {'listings': 20})
    domain.settle_mail()
    fill_up(domain, 'a')
    assert [domain.load(name) <= 9 for name in LISTINGS] == [True, True]


def test_restarted_vm_alone_waits_for_the_term():
    """Without its peer a restarted VM uses its floor after the term."""
    domain = Domain(random.Random(1)).start(NAMES)
    floor = fill_up(domain, 'b')
    domain.restart('b')
    assert fill_up(domain, 'b') < floor
    domain.now += TERMS.hold_s
    fill_up(domain, 'b')
    assert len(domain.vms['b'].running) == floor


def test_local_work_keeps_a_reserve():
    """Work of other regions comes in only below the ceiling."""
    domain = Domain(random.Random(1)).start(NAMES)
    table = domain.vms['a'].table
    capacity, _ = table.service_load('listings', 0)
    taken = 0
    while table.admit_foreign('listings', 'ege', 0):
        domain.take('a', 'listings-1') or domain.take('a', 'listings-2')
        taken += 1
    assert taken == int(capacity * REGION_CEILING)


def test_waiting_local_work_goes_first():
    """Nothing comes in from other regions while local work waits."""
    domain = Domain(random.Random(1)).start(NAMES)
    domain.plan('a', {'listings': 1})
    assert not domain.vms['a'].table.admit_foreign('listings', 'ege', 0)


def test_own_region_shares_short_queues():
    """Work of the same region comes in while few requests wait."""
    domain = Domain(random.Random(1)).start(NAMES)
    table = domain.vms['a'].table
    capacity, _ = table.service_load('listings', 0)
    fill_up(domain, 'a')
    domain.plan('a', {'listings': capacity // 2 - 1})
    assert table.admit_foreign('listings', 'marmara', 0)
    domain.plan('a', {'listings': capacity // 2 + 1})
    assert not table.admit_foreign('listings', 'marmara', 0)


def test_vacant_position_is_used_and_given_up():
    """A VM may own a vacant position's floor until it drops it."""
    domain = Domain(random.Random(1)).start(NAMES)
    table = domain.vms['a'].table
    table.division.hold_position(1)
    assert table.capacity('listings-1', 0) == 9
    table.division.drop_position(1)
    assert table.capacity('listings-1', 0) < 9


@given(seed=st.integers(0, 2**32))
@settings(derandomize=True, deadline=None, database=None, max_examples=60)
def test_sum_never_above_the_slots(seed):
    """Loss, delay, repeats, freezes and restarts never overuse a slot."""
    rng = random.Random(seed)
    domain = Domain(rng).start(('a', 'b', 'c')[: rng.randint(2, 3)])
    with enforced():
        for _ in range(STEPS):
            random_step(domain, rng)
            for upstream in UPSTREAMS:
                assert domain.load(upstream.name) <= upstream.slots


def random_step(domain: Domain, rng: random.Random) -> None:
    """Do one thing that can happen in a failure domain."""
    domain.now += rng.choice((0, 0, 0, 0, 0.01, 0.01, 0.1, 0.1, 0.5, 2))
    name = rng.choice(tuple(domain.vms))
    vm = domain.vms[name]
    percent = rng.randrange(100)
    if percent < 3:
        vm.frozen = not vm.frozen
    elif percent < 4:
        domain.restart(name)
    elif percent < 35 and domain.mail:
        pass_mail(domain, rng)
    elif not vm.frozen:
        work(domain, name, rng)


def pass_mail(domain: Domain, rng: random.Random) -> None:
    """Lose, deliver or repeat a message of any age."""
    index = rng.randrange(len(domain.mail))
    if not rng.randrange(10):
        domain.mail.pop(index)
    elif not domain.vms[domain.mail[index][0]].frozen:
        domain.deliver(index, again=not rng.randrange(10))


def work(domain: Domain, name: str, rng: random.Random) -> None:
    """Plan, take, send or finish requests at one VM."""
    percent = rng.randrange(100)
    if percent < 30:
        wanted = rng.choice((0, 2, 10))
        domain.plan(name, {'listings': wanted, 'documents': wanted})
    elif percent < 60:
        fill_up(domain, name, [upstream.name for upstream in UPSTREAMS])
    elif percent < 70:
        domain.take(name, rng.choice(UPSTREAMS).name)
    elif percent < 80:
        send_all(domain, name)
    finish_some(domain, name, rng)


def finish_some(domain: Domain, name: str, rng: random.Random) -> None:
    """End what is at its deadline, and a few others."""
    for running in tuple(domain.vms[name].running):
        if domain.now >= running.deadline_at or not rng.randrange(20):
            domain.finish(name, running)


def send_all(domain: Domain, name: str) -> None:
    """Send what was taken and may still be sent."""
    for running in domain.vms[name].running:
        if not running.started:
            domain.send(running)
