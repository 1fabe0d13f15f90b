"""Retries respect budgets, deadlines and idempotency."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutshift.configuration.model import RetriesPreset
from chestnutshift.retries.backoff import (
    BACKOFF_CAP_S,
    backoff_s,
    retry_after_s,
)
from chestnutshift.retries.budget import RESERVE_REFILL_S, RetryBudget
from chestnutshift.retries.deadline import Deadline
from chestnutshift.retries.decision import Denial, Failure, decide_retry
from chestnutshift.retries.exceptions import DeadlineExceededError

PRESET = RetriesPreset(ratio=0.1, reserve=10)


def decide(
    timeout_s: float = 10,
    *,
    idempotent: bool = True,
    not_run: bool = False,
    retries_done: int = 0,
):
    """Return the decision about one failure with a full budget."""
    failure = Failure(
        service='listings',
        account='a',
        idempotent=idempotent,
        not_run=not_run,
        retries_done=retries_done,
        expected_s=0.1,
    )
    budget = RetryBudget(PRESET)
    deadline = Deadline.after(0, timeout_s)
    return decide_retry(failure, deadline, budget, 0, random.Random(1))


def test_non_idempotent_retry_requires_not_run():
    """A non-idempotent request is retried only if it did not run."""
    assert decide(idempotent=False).denial is Denial.MAY_HAVE_RUN
    assert decide(idempotent=False, not_run=True).denial is None


def test_no_retry_past_the_deadline():
    """A retry that would end after the deadline is denied."""
    assert decide(0.1).denial is Denial.DEADLINE
    assert decide(0.2).denial is None


def test_retries_of_one_request_are_bounded():
    """The number of retries of one request is limited in a full budget too."""
    assert decide(retries_done=3).denial is Denial.TOO_MANY


def test_accounts_keep_their_own_budget():
    """An account that spent its budget leaves the service's to the others."""
    budget = RetryBudget(RetriesPreset(ratio=0.1, reserve=10))
    for _ in range(1000):
        budget.record_attempt('listings', 'healthy', 0)
    granted = sum(budget.allow('listings', 'failing', 0) for _ in range(50))
    for _ in range(100):
        budget.record_attempt('listings', 'healthy', 0)
    assert granted == 10
    assert budget.allow('listings', 'healthy', 0)


def test_denied_retry_spends_nothing():
    """If one of the two budgets is empty, the other is not charged."""
    budget = RetryBudget(PRESET)
    for _ in range(20):
        budget.allow('listings', 'a', 0)
    budget.allow('documents', 'a', 0)
    granted = [budget.allow('documents', 'b', 0) for _ in range(11)]
    assert sum(granted) == 10


def test_attempts_fill_up_to_the_reserve():
    """A long time without failures does not allow a retry storm after it."""
    budget = RetryBudget(PRESET)
    for _ in range(1000):
        budget.record_attempt('listings', 'a', 0)
    assert sum(budget.allow('listings', 'a', 0) for _ in range(50)) == 10


def test_reserve_refills_with_time():
    """A service without requests regains its retries over time."""
    budget = RetryBudget(PRESET)
    assert sum(budget.allow('listings', 'a', 0) for _ in range(20)) == 10
    assert not budget.allow('listings', 'a', RESERVE_REFILL_S / 20)
    assert budget.allow('listings', 'a', RESERVE_REFILL_S / 10)


@given(seed=st.integers(0, 2**32))
@settings(derandomize=True, deadline=None, database=None, max_examples=50)
def test_retries_stay_a_fraction(seed):
    """Retries never exceed the sum of ratio, reserve and refill."""
    rng = random.Random(seed)
    budget = RetryBudget(PRESET)
    now = 0
    attempts = 0
    granted = 0
    for _ in range(1000):
        now += rng.choice((0, 0.01, 0.1))
        if rng.choice((True, False)):
            attempts += 1
            budget.record_attempt('listings', rng.choice('ab'), now)
        else:
            granted += budget.allow('listings', rng.choice('ab'), now)
        refill = PRESET.reserve * now / RESERVE_REFILL_S
        bound = PRESET.reserve + PRESET.ratio * attempts + refill
        assert granted <= bound + 1e-6


def test_backoff_grows_and_spreads():
    """Backoff times differ between requests and stay within the cap."""
    rng = random.Random(1)
    first = [backoff_s(1, rng) for _ in range(100)]
    tenth = [backoff_s(10, rng) for _ in range(100)]
    assert len(set(first)) > 90
    assert max(first) < min(tenth)
    assert max(tenth) <= BACKOFF_CAP_S


def test_retry_after_follows_the_service_rate():
    """Retry-After is the time in which the backlog will have been served."""
    assert retry_after_s(100, 10) == 10
    assert retry_after_s(1, 100) == 1
    assert retry_after_s(1, 0) == 60


def test_deadline():
    """A deadline returns the remaining time and raises once it has passed."""
    deadline = Deadline.after(10, 5)
    assert deadline.remaining_s(12) == 3
    assert deadline.remaining_s(20) == 0
    assert deadline.earliest(11).at == 11
    deadline.require(14)
    try:
        deadline.require(15)
    except DeadlineExceededError:
        return
    raise AssertionError('the deadline had passed')
