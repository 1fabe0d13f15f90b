"""The soak's own checks find what they look for."""

from nose2.tools import params

from tests.soak_edge.promises import Account, Sent, broken_promises
from tests.soak_edge.upstreams import Run

ACCOUNTS = {'k1': Account('konya'), 'k2': Account('konya', withdrawn_at=10)}


def book(status: int | None, key: str = 'k1', sent_at: float = 1) -> Sent:
    """Return a request that must run once."""
    return Sent('r1', key, False, b'b', sent_at, status, 'answer to r1')


def run(account: str = 'konya', body: bytes = b'b') -> Run:
    """Return a run of that request."""
    return Run('r1', account, body, 1)


def test_all_is_well() -> None:
    """One run and its answer, or a refusal and no run."""
    assert not broken_promises([book(200)], [run()], ACCOUNTS)
    assert not broken_promises([book(503)], [], ACCOUNTS)
    assert not broken_promises([book(None)], [run()], ACCOUNTS)


@params(
    (book(502), [run(), run()], 'ran 2 times'),
    (book(503), [run()], 'refused with 503, and ran'),
    (book(200), [], 'did not run'),
    (book(200), [run(account='bursa')], "ran for 'bursa'"),
    (book(200), [run(body=b'')], 'another body'),
    (book(200, 'k2', sent_at=16), [run()], '6.0 s after its key'),
)
def test_each_promise_can_break(
    sent: Sent,
    runs: list[Run],
    told: str,
) -> None:
    """Each kind of breach is told."""
    problems = broken_promises([sent], runs, ACCOUNTS)
    assert any(told in problem for problem in problems)


def test_runs_that_nobody_asked_for() -> None:
    """A run without a request, and an answer to another request."""
    problems = broken_promises([], [run()], ACCOUNTS)
    assert problems == ['r1 ran, but nobody sent it']
    crossed = Sent('r1', 'k1', True, b'b', 1, 200, 'answer to r2')
    problems = broken_promises([crossed], [run()], ACCOUNTS)
    assert "another answer: 'answer to r2'" in problems[0]
