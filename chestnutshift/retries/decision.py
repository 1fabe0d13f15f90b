"""Decision whether to retry a failed attempt."""

import enum
import random

import attrs

from chestnutshift.retries.backoff import backoff_s
from chestnutshift.retries.budget import RetryBudget
from chestnutshift.retries.deadline import Deadline

RETRIES_MAX = 3


class Denial(enum.StrEnum):
    """The reason why a failed attempt is not retried."""

    MAY_HAVE_RUN = 'may_have_run'
    TOO_MANY = 'too_many'
    DEADLINE = 'deadline'
    BUDGET = 'budget'


@attrs.frozen
class Failure:
    """A failed attempt.

    not_run is true only if no byte of the request can have reached an
    upstream, or if the upstream itself refused the request without running
    it.
    """

    service: str
    account: str
    idempotent: bool
    not_run: bool
    retries_done: int
    expected_s: float


@attrs.frozen
class RetryDecision:
    """The delay before the retry, or the reason why there is none."""

    delay_s: float = 0
    denial: Denial | None = None


def decide_retry(
    failure: Failure,
    deadline: Deadline,
    budget: RetryBudget,
    now: float,
    rng: random.Random,
) -> RetryDecision:
    """Decide whether to retry a failed attempt.

    A granted retry is taken from the budget.
    """
    if not failure.idempotent and not failure.not_run:
        return RetryDecision(denial=Denial.MAY_HAVE_RUN)
    if failure.retries_done >= RETRIES_MAX:
        return RetryDecision(denial=Denial.TOO_MANY)
    delay_s = backoff_s(failure.retries_done + 1, rng)
    if not deadline.allows(delay_s + failure.expected_s, now):
        return RetryDecision(denial=Denial.DEADLINE)
    if not budget.allow(failure.service, failure.account, now):
        return RetryDecision(denial=Denial.BUDGET)
    return RetryDecision(delay_s=delay_s)
