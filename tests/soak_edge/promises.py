"""What must hold whatever fails, from what callers and upstreams saw."""

from collections import defaultdict
from collections.abc import Iterator, Sequence

import attrs

from tests.soak_edge.upstreams import Run

# These say that a request did not run, and never will.
NOT_RUN = frozenset((408, 421, 429, 503))
SUCCESS = 200
# From the confirmation of a withdrawal until no such request runs.
WITHDRAWN_S = 5.0


@attrs.frozen
class Sent:
    """One request of a caller; status is None without a whole answer."""

    request: str
    key: str
    is_idempotent: bool
    body: bytes
    sent_at: float
    status: int | None = None
    text: str = ''


@attrs.frozen
class Account:
    """A key's account, and when the key's withdrawal was confirmed."""

    name: str
    withdrawn_at: float | None = None


def broken_promises(
    sent: Sequence[Sent],
    runs: Sequence[Run],
    accounts: dict[str, Account],
) -> list[str]:
    """Return a line for each promise that was broken."""
    by_request: dict[str, list[Run]] = defaultdict(list)
    for run in runs:
        by_request[run.request].append(run)
    known = {one.request for one in sent}
    problems = [
        f'{request} ran, but nobody sent it'
        for request in by_request
        if request not in known
    ]
    return problems + [
        problem
        for one in sent
        for problem in _broken_by(
            one, by_request[one.request], accounts[one.key]
        )
    ]


def _broken_by(
    one: Sent,
    runs: Sequence[Run],
    account: Account,
) -> Iterator[str]:
    yield from _broken_by_answer(one, runs)
    if not one.is_idempotent and len(runs) > 1:
        yield f'{one.request} must run once, and ran {len(runs)} times'
    for run in runs:
        if run.account != account.name:
            yield f'{one.request} ran for {run.account!r}'
        if run.body != one.body:
            yield f'{one.request} ran with another body'
    late_s = _late_s(one, account)
    if runs and late_s > WITHDRAWN_S:
        yield f'{one.request} ran {late_s:.1f} s after its key was withdrawn'


def _broken_by_answer(one: Sent, runs: Sequence[Run]) -> Iterator[str]:
    if not one.is_idempotent and runs and one.status in NOT_RUN:
        yield f'{one.request} was refused with {one.status}, and ran'
    if one.status != SUCCESS:
        return
    if one.text != f'answer to {one.request}':
        yield f'{one.request} got another answer: {one.text!r}'
    if not runs:
        yield f'{one.request} succeeded, but did not run'


def _late_s(one: Sent, account: Account) -> float:
    """Return how long after its key's withdrawal it was sent, or 0."""
    if account.withdrawn_at is None:
        return 0
    return one.sent_at - account.withdrawn_at
