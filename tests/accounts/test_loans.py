"""Loans between two VMs under lost, late and repeated messages."""

import random

import attrs

from chestnutshift.accounts.admission import Admission
from chestnutshift.accounts.loans import LOAN_MARGIN_S, Peer
from chestnutshift.accounts.seats import SeatLease
from chestnutshift.configuration.model import AccountLimit

LIMITS = {'pier': AccountLimit(rate=20, burst=40)}
LOAN_S = 2.0
START_S = 20.0


def _admission(vm: str, peer: str) -> Admission:
    admission = Admission(vm, 2, random.Random(1))
    admission.configure(LIMITS, 0, LOAN_S)
    admission.update_peers((Peer(peer, near=True),))
    admission.apply_renewal(SeatLease(0, 0, 1000, settle_s=3), 0)
    for tick in range(int(START_S) + 1):
        admission.plan(tick)
    return admission


@attrs.define
class Pair:
    """A busy borrower and an idle lender, with full buckets at START_S."""

    borrower: Admission = attrs.field(factory=lambda: _admission('a:1', 'b'))
    lender: Admission = attrs.field(factory=lambda: _admission('b:1', 'a'))

    def next_request(self, now: float):
        """Spend the borrower's tokens; return its loan request."""
        while self.borrower.admit('pier', now).admitted:
            self.borrower.plan(now)
        return self.borrower.plan(now + 0.01)[0]

    def totals(self, now: float) -> tuple[float, float, float]:
        """Return the rate, burst and tokens of both VMs together."""
        states = [vm.summary(now)[0] for vm in (self.borrower, self.lender)]
        return (
            sum(state.rate for state in states),
            sum(state.capacity for state in states),
            sum(state.level for state in states),
        )


def test_a_loan_moves_tokens_and_keeps_the_sums():
    """The borrower gains what the lender loses."""
    pair = Pair()
    request = pair.next_request(START_S)
    for _ in range(5):
        pair.lender.admit('pier', START_S)
    before = pair.lender.summary(START_S)[0]
    grant = pair.lender.handle_request('a', request, START_S)
    after = pair.lender.summary(START_S)[0]
    assert grant.tokens > 0
    assert before.level - after.level == grant.tokens
    assert before.capacity - after.capacity == grant.burst
    assert pair.borrower.handle_grant('b', grant, START_S + 0.02)
    rate, burst, _ = pair.totals(START_S + 0.02)
    assert rate <= 20
    assert burst <= 40


def test_a_repeated_grant_adds_nothing():
    """A duplicated grant is applied once."""
    pair = Pair()
    grant = pair.lender.handle_request('a', pair.next_request(START_S), START_S)
    pair.borrower.handle_grant('b', grant, START_S + 0.02)
    before = pair.totals(START_S + 0.02)
    assert not pair.borrower.handle_grant('b', grant, START_S + 0.02)
    assert pair.totals(START_S + 0.02) == before


def test_a_repeated_request_gets_nothing():
    """A duplicated request is answered once."""
    pair = Pair()
    request = pair.next_request(START_S)
    assert pair.lender.handle_request('a', request, START_S)
    assert pair.lender.handle_request('a', request, START_S) is None


def test_a_late_grant_is_ignored():
    """A loan ends LOAN_S after the borrower's request."""
    pair = Pair()
    grant = pair.lender.handle_request('a', pair.next_request(START_S), START_S)
    late = START_S + 0.01 + LOAN_S
    assert not pair.borrower.handle_grant('b', grant, late)


def test_a_grant_for_a_former_vm_is_dropped():
    """The VM that replaced the borrower may reuse its request numbers."""
    pair = Pair()
    grant = pair.lender.handle_request('a', pair.next_request(START_S), START_S)
    pair.borrower = _admission('a:2', 'b')
    assert pair.next_request(START_S).ask == grant.ask
    assert not pair.borrower.handle_grant('b', grant, START_S + 0.02)


def test_a_lost_grant_ends_after_its_margin():
    """The lender regains its share only after the borrower's loan ended."""
    pair = Pair()
    pair.lender.handle_request('a', pair.next_request(START_S), START_S)
    over = START_S + LOAN_S + LOAN_MARGIN_S
    pair.lender.plan(START_S + 1)
    assert pair.lender.summary(over - 0.01)[0].capacity < 20
    assert pair.lender.summary(over)[0].capacity == 20


def test_a_loan_is_returned_once():
    """A return that is repeated or meant for another VM frees nothing."""
    pair = Pair()
    request = pair.next_request(START_S)
    grant = pair.lender.handle_request('a', request, START_S)
    returned = attrs.evolve(
        request,
        giver='b:1',
        ask=request.ask + 1,
        loan=grant.loan,
        rate=0,
        burst=0,
        tokens=grant.tokens,
    )
    misdirected = attrs.evolve(returned, giver='b:0')
    assert pair.lender.handle_request('a', misdirected, START_S) is None
    assert pair.lender.summary(START_S)[0].capacity < 20
    pair.lender.handle_request('a', returned, START_S)
    level = pair.lender.summary(START_S)[0].level
    pair.lender.handle_request('a', returned, START_S)
    assert pair.lender.summary(START_S)[0].level == level
    assert pair.lender.summary(START_S)[0].capacity == 20


def test_no_loan_outlives_the_lenders_lease():
    """A lender whose lease ends soon lends nothing."""
    pair = Pair()
    ends = START_S + LOAN_S
    pair.lender.apply_renewal(SeatLease(0, 0, ends, settle_s=3), START_S)
    grant = pair.lender.handle_request('a', pair.next_request(START_S), START_S)
    assert grant.rate == grant.burst == grant.tokens == 0


def test_a_smaller_limit_while_loans_run():
    """The seat has nothing left until the loans of the old limit end."""
    pair = Pair()
    grant = pair.lender.handle_request('a', pair.next_request(START_S), START_S)
    pair.lender.configure({'pier': AccountLimit(2, 2)}, START_S, LOAN_S)
    state = pair.lender.summary(START_S)[0]
    assert state.capacity + grant.burst <= 20
    pair.lender.configure(LIMITS, START_S, LOAN_S)
    assert pair.lender.summary(START_S)[0].capacity == 20 - grant.burst


def test_a_vm_that_alone_lost_the_platform_stops():
    """A neighbour's renewal shows that only this VM lost the platform."""
    admission = _admission('a:1', 'b')
    lease = SeatLease(10, 0, 1000, settle_s=3, lease_s=10)
    admission.apply_renewal(lease, START_S - 1)
    admission.record_neighbour_renewal(START_S - 0.5)
    assert admission.admit('pier', START_S - 0.5).admitted
    admission.record_neighbour_renewal(START_S)
    admission.apply_renewal(lease, START_S)
    assert not admission.admit('pier', START_S + 1).admitted


def test_no_spending_after_stop():
    """A renewal that was started before the stop is ignored."""
    admission = _admission('a:1', 'b')
    admission.stop_spending(START_S)
    admission.apply_renewal(SeatLease(0, 0, 1000, settle_s=3), START_S)
    assert not admission.admit('pier', START_S + 1).admitted
