"""Whether a failed attempt is sent again."""

import enum
import random

import attrs

from chestnutshift.retries.backoff import backoff_s
from chestnutshift.retries.budget import RetryBudget
from chestnutshift.retries.deadline import Deadline

RETRIES_MAX = 3


class Denial(enum.StrEnum):
    """Why a failed attempt is not sent again."""

    MAY_HAVE_RUN = 'may_have_run'
    TOO_MANY = 'too_many'
    DEADLINE = 'deadline'
    BUDGET = 'budget'


@attrs.frozen
class Failure:
    """One failed attempt.

    not_run is only true when no byte of the request can have reached an
    upstream, or when the upstream itself refused it as not run.
    """

    service: str
    account: str
    idempotent: bool
    not_run: bool
    retries_done: int
    expected_s: float


@attrs.frozen
class RetryDecision:
    """The wait before the retry, or the reason against one."""

    delay_s: float = 0
    denial: Denial | None = None


def decide_retry(
    failure: Failure,
    deadline: Deadline,
    budget: RetryBudget,
    now: float,
    rng: random.Random,
) -> RetryDecision:
    """Decide at once about a failed attempt; spends the budget if granted."""
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
