"""No window exceeds an account's rate and burst under any fault."""

from collections.abc import Callable
from unittest import mock

import attrs

from bench.admission_cases import SEATS
from chestnutshift.accounts import lender, seat_manager
from chestnutshift.accounts.admission import Admission
from chestnutshift.accounts.borrower import Borrower
from chestnutshift.accounts.seats import SeatStep
from chestnutshift.configuration.model import AccountLimit
from tests.accounts.fleet import LIMITS, TOLERANCE, FaultyFleet, max_excess
from tests.enforcement import enforced

SEEDS = (1, 2, 3)
RUN_S = 20


def _run(seed: int) -> FaultyFleet:
    fleet = FaultyFleet(seed)
    fleet.run(RUN_S)
    return fleet


def _max_held_fraction(fault: Callable[[FaultyFleet, float], None]) -> float:
    """Return the largest fraction of a limit held, with one fault at 5 s."""
    fleet = FaultyFleet(1)
    fleet.idle_requests = 0
    fleet.lost_answer_rate = 0

    def inject_fault(now: float) -> None:
        if abs(now - 5) < TOLERANCE:
            fault(fleet, now)

    fleet.run(15, inject_fault)
    return fleet.held_fraction


def _pause(fleet: FaultyFleet, now: float) -> None:
    # The VM resumes between two renewals of its neighbours.
    fleet.replace(SEATS[0], now, 7.3)


def _replace(fleet: FaultyFleet, now: float) -> None:
    fleet.replace(SEATS[0], now, 0.1)


def _replace_cut_off(fleet: FaultyFleet, now: float) -> None:
    fleet.replace(SEATS[0], now, 0.1)
    fleet.paused_vms[-1].renews = False


def _slow_down(fleet: FaultyFleet, now: float) -> None:
    fleet.network.extra_delay_s = 4


def _stop_lenders(fleet: FaultyFleet, now: float) -> None:
    # The other VMs keep what they borrowed from the stopped ones.
    for seat in SEATS:
        if any(state.lent_rate for state in fleet.vms[seat].summary(now)):
            fleet.stop_vm(seat, now)


def _timed_from_arrival(receive: Callable) -> Callable:
    """Return Borrower.receive that times a loan from the grant's arrival."""

    def receive_late(borrower, peer, grant, share, now):
        request = borrower._pending.get(grant.ask)
        if request is not None:
            borrower._pending[grant.ask] = attrs.evolve(request, sent_at=now)
        return receive(borrower, peer, grant, share, now)

    return receive_late


def _take_at_once(record, vm, unchanged_s, holder_gone) -> SeatStep:
    """Renew the VM's own seat, and take any other one at once."""
    if record is not None and record.holder == vm:
        return SeatStep.RENEW
    return SeatStep.TAKE


def test_the_oracle_finds_the_worst_window():
    """The oracle is exact: one request too many gives an excess of one."""
    limit = AccountLimit(rate=1, burst=2)
    assert abs(max_excess([0, 0, 1], limit)) < TOLERANCE
    assert abs(max_excess([5, 5, 5.5, 9], limit) - 1 / 2) < TOLERANCE
    assert abs(max_excess([0, 100, 100, 100], limit) - 1) < TOLERANCE


def test_random_faults_never_admit_too_much():
    """No random fault makes the fleet admit or hold more than the limits.

    The faults are partitions, lost and duplicated messages, restarts, pauses
    and outages. The fleet must also keep admitting, as refusing everything
    would be safe.
    """
    with enforced():
        for seed in SEEDS:
            fleet = _run(seed)
            assert fleet.held_fraction <= 1 + TOLERANCE, seed
            for account, limit in LIMITS.items():
                moments = fleet.admitted[account]
                assert max_excess(moments, limit) <= TOLERANCE, seed
                assert len(moments) > limit.rate * RUN_S / 3, seed


def test_a_loan_lasts_longer_for_the_lender():
    """The lender regains its share only after the borrower's loan ended."""
    assert _max_held_fraction(_slow_down) <= 1 + TOLERANCE
    with mock.patch.object(lender, 'LOAN_MARGIN_S', -0.7):
        assert _max_held_fraction(_slow_down) > 1 + TOLERANCE


def test_a_borrower_times_a_loan_from_its_request():
    """A slow answer shortens the loan and never extends it."""
    timed_late = _timed_from_arrival(Borrower.receive)
    with mock.patch.object(Borrower, 'receive', timed_late):
        assert _max_held_fraction(_slow_down) > 1 + TOLERANCE


def test_a_released_seat_waits_for_its_loans():
    """A new holder waits until the loans of the former one have ended."""
    assert _max_held_fraction(_stop_lenders) <= 1 + TOLERANCE
    with mock.patch.object(
        seat_manager.SeatManager,
        '_wait_s',
        return_value=0,
    ):
        assert _max_held_fraction(_stop_lenders) > 1 + TOLERANCE


def test_a_resumed_vm_spends_nothing():
    """A paused VM spends nothing until its next renewal."""
    assert _max_held_fraction(_pause) <= 1 + TOLERANCE
    with mock.patch.object(Admission, '_check_pause'):
        assert _max_held_fraction(_pause) > 1 + TOLERANCE


def test_a_seat_is_not_taken_from_its_holder():
    """A seat is taken only when its holder can no longer spend."""
    assert _max_held_fraction(_replace) <= 1 + TOLERANCE
    with mock.patch.object(
        seat_manager,
        'next_step',
        side_effect=_take_at_once,
    ):
        assert _max_held_fraction(_replace) > 1 + TOLERANCE


def test_a_vm_cut_off_alone_stops_spending():
    """A VM that can't renew stops spending once its neighbours renew."""
    assert _max_held_fraction(_replace_cut_off) <= 1 + TOLERANCE
    with mock.patch.object(Admission, 'record_neighbour_renewal'):
        assert _max_held_fraction(_replace_cut_off) > 1 + TOLERANCE
