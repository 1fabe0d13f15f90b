"""Lost requests are counted by their cause."""

import json

from nose2.tools import params

from chestnutshift.logs.lost_requests import Cause, cause_of, report_losses
from tools.lost_requests import format_report

SENT = {
    'name': 'request.sent',
    'waited_s': 0.01,
    'load': 2,
    'slots': 4,
    'cache': 'fresh',
}
LATE = {'name': 'request.ended', 'after_s': 0.9, 'objective_s': 0.3}
IN_TIME = {**LATE, 'after_s': 0.2}


def refusal(code: str, status: int = 503) -> dict[str, object]:
    """Return the line of a refusal."""
    return {'name': 'request.turned_down', 'status': status, 'code': code}


@params(
    ((SENT, IN_TIME), None),
    ((refusal('keys.unknown', 401),), None),
    ((refusal('accounts.over_limit', 429),), Cause.ACCOUNT_LIMIT),
    ((refusal('upstreams.busy'),), Cause.NO_ROOM),
    ((SENT, refusal('request.deadline_passed', 504)), Cause.TIMEOUT),
    ((SENT, {'name': 'request.abandoned'}), Cause.CALLER_LEFT),
    (({**SENT, 'waited_s': 0.6}, LATE), Cause.LATE_WAIT),
    ((SENT, {**SENT, 'waited_s': 0.6}, LATE), Cause.LATE_RETRY),
    (({**SENT, 'load': 4}, LATE), Cause.LATE_QUEUE),
    (({**SENT, 'cache': 'other'}, LATE), Cause.LATE_UNCACHED),
    ((SENT, LATE), Cause.LATE_WORK),
)
def test_cause(lines, cause) -> None:
    """The last line, or the greatest part of the time, tells the cause."""
    assert cause_of(lines) is cause


def test_report() -> None:
    """The report counts by period, and tells how many lines are missing."""
    events = (
        {'at': 100, **SENT, 'request': 'r-1'},
        {'at': 100.1, **LATE, 'request': 'r-1'},
        {'at': 107, **refusal('upstreams.busy'), 'request': 'r-2'},
        {'at': 107, **SENT, 'request': 'r-3'},
        {'at': 108, 'name': 'log.lines_left_out', 'over_rate': 4, 'unread': 1},
    )
    texts = [
        json.dumps({**event, 'vm': 'vm-1', 'timestamp': number})
        for number, event in enumerate(events)
    ]
    texts = [f'noise {text}' for text in texts]
    report = report_losses(texts, period_s=5)
    assert report.lost[0] == {Cause.LATE_WORK: 1}
    assert report.lost[5] == {Cause.NO_ROOM: 1}
    assert dict(report.ended) == {0: 1, 5: 1}
    table = list(format_report(report))
    assert table[-1] == '5 log lines were dropped'
