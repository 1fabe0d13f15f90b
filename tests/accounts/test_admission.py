"""Admission control of one VM: share, lease and configuration."""

import math
import random

from chestnutshift.accounts.admission import PAUSE_MIN_S, Admission
from chestnutshift.accounts.decisions import (
    NO_SHARE,
    OVER_RATE,
    UNKNOWN_ACCOUNT,
)
from chestnutshift.accounts.seats import SeatLease
from chestnutshift.configuration.model import AccountLimit

SEATS = 4
LIMITS = {'pier': AccountLimit(rate=8, burst=40)}


def _admission(ends: float = 100) -> Admission:
    admission = Admission('vm-1', SEATS, random.Random(1))
    admission.configure(LIMITS, 0)
    admission.apply_renewal(SeatLease(0, 0, ends), 0)
    admission.plan(0)
    return admission


def _spend_all(admission: Admission, now: float) -> int:
    count = 0
    while admission.admit('pier', now).admitted:
        count += 1
    return count


def _run_until(admission: Admission, start: float, end: float) -> None:
    moment = start
    while moment <= end:
        admission.plan(moment)
        moment += PAUSE_MIN_S / 2


def test_a_new_holder_starts_with_an_empty_bucket():
    """No token may be spent before it has arrived."""
    assert _spend_all(_admission(), 0) == 0


def test_a_seat_gets_its_part_of_rate_and_burst():
    """Each of four seats has a quarter of the rate and of the burst."""
    admission = _admission()
    assert _spend_all(admission, 1) == 2
    _run_until(admission, 1, 90)
    assert _spend_all(admission, 90) == 10


def test_nothing_is_spent_past_the_lease():
    """The lease is checked at each admission, not only at its renewal."""
    admission = _admission(ends=PAUSE_MIN_S)
    decision = admission.admit('pier', PAUSE_MIN_S)
    assert not decision.admitted
    assert decision.reason == NO_SHARE


def test_a_paused_vm_that_resumes_spends_nothing():
    """During the pause another VM may have taken the seat."""
    admission = _admission()
    assert _spend_all(admission, PAUSE_MIN_S + 0.1) == 0


def test_a_renewal_from_before_a_pause_is_ignored():
    """The platform may have confirmed it before another VM took the seat."""
    admission = _admission()
    admission.apply_renewal(SeatLease(1, 0, 200), 10)
    assert _spend_all(admission, 11) == 0
    admission.apply_renewal(SeatLease(11, 0, 200), 11)
    assert _spend_all(admission, 12) == 2


def test_an_unknown_account_is_refused():
    """An account without configured limits admits nothing."""
    assert _admission().admit('nobody', 1).reason == UNKNOWN_ACCOUNT


def test_a_refusal_says_when_to_retry():
    """The retry time is when the bucket has its next token."""
    admission = _admission()
    _spend_all(admission, 1)
    decision = admission.admit('pier', 1.25)
    assert decision.reason == OVER_RATE
    assert math.isclose(decision.retry_after_s, 1 / 4)


def test_a_smaller_limit_cuts_the_tokens_at_once():
    """Tokens above the new burst are lost; a larger burst adds none."""
    admission = _admission()
    _run_until(admission, 0, 50)
    admission.configure({'pier': AccountLimit(8, 8)}, 50)
    admission.configure(LIMITS, 50)
    assert _spend_all(admission, 50) == 2


def test_a_removed_account_is_refused_at_once():
    """Its tokens are lost, also if it is added again."""
    admission = _admission()
    _run_until(admission, 0, 50)
    admission.configure({}, 50)
    assert admission.admit('pier', 50).reason == UNKNOWN_ACCOUNT
    admission.configure(LIMITS, 50)
    assert _spend_all(admission, 50) == 0
