"""Where callers lose: refused, failed and late requests by their cause.

Log lines are rate-limited, so the counts are those of the lines that were
written; the number of dropped lines is part of the report.
"""

import enum
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import attrs

from chestnutshift.logs.request_trace import read_lines
from chestnutshift.steering.service_time import CacheState

Line = Mapping[str, Any]

# States in which no missing object explains a late answer.
_LIKELY_CACHED = frozenset(
    (
        CacheState.FRESH,
        CacheState.RECENT,
        CacheState.FIRST,
        CacheState.NO_OBJECT,
    )
)
SERVER_ERROR = 500


class Cause(enum.StrEnum):
    """Why a request was lost."""

    ACCOUNT_LIMIT = 'account limit'
    NO_ROOM = 'no room in time'
    UPSTREAM_REFUSED = 'refused by upstreams'
    CUT_OFF = 'keys or routes not known'
    UNSENT = 'not sent before the deadline'
    TIMEOUT = 'timeout at an upstream'
    BROKEN = 'answer broken off'
    CALLER_LEFT = 'caller disconnected'
    STOP = 'the VM stopped'
    LATE_WAIT = 'late: waited before it was sent'
    LATE_RETRY = 'late: an earlier attempt failed'
    LATE_QUEUE = 'late: queued at the upstream'
    LATE_UNCACHED = 'late: object not cached'
    LATE_WORK = 'late: upstream slow, or object forgotten'
    OTHER = 'other'


_CAUSE_OF_CODE = {
    'accounts.over_limit': Cause.ACCOUNT_LIMIT,
    'upstreams.busy': Cause.NO_ROOM,
    'upstreams.none': Cause.NO_ROOM,
    'upstreams.full': Cause.UPSTREAM_REFUSED,
    'keys.stale': Cause.CUT_OFF,
    'table.none': Cause.CUT_OFF,
    'request.not_started': Cause.UNSENT,
    'request.deadline_passed': Cause.TIMEOUT,
    'upstreams.broken': Cause.BROKEN,
    'vm.stopping': Cause.STOP,
    'vm.stopped': Cause.STOP,
}
_CAUSE_OF_EVENT = {
    'request.aborted': Cause.BROKEN,
    'request.abandoned': Cause.CALLER_LEFT,
    'request.cut': Cause.STOP,
}


@attrs.define
class LossReport:
    """Counts of lost requests by start of the period in seconds and cause.

    ended counts all requests with a line that tells their end.
    """

    period_s: float
    lost: dict[float, Counter[Cause]] = attrs.field(
        factory=lambda: defaultdict(Counter)
    )
    ended: Counter[float] = attrs.field(factory=Counter)
    dropped_lines: int = 0

    @property
    def causes(self) -> Sequence[Cause]:
        """The causes that occur, the most frequent first."""
        totals: Counter[Cause] = Counter()
        for counts in self.lost.values():
            totals.update(counts)
        return [cause for cause, _ in totals.most_common()]


def report_losses(texts: Iterable[str], period_s: float) -> LossReport:
    """Return the lost requests of log lines, by period and cause."""
    report = LossReport(period_s)
    requests: dict[str, list[Line]] = defaultdict(list)
    first_at = math.inf
    for line in read_lines(texts):
        if line['name'] == 'log.lines_left_out':
            report.dropped_lines += line.get('over_rate', 0)
            report.dropped_lines += line.get('unread', 0)
        elif line.get('request') and line['name'].startswith('request.'):
            requests[line['request']].append(line)
            first_at = min(first_at, line['at'])
    for lines in requests.values():
        lines.sort(key=lambda line: line.get('timestamp', 0))
        _count(report, lines, first_at)
    return report


def _count(report: LossReport, lines: Sequence[Line], first_at: float) -> None:
    end = lines[-1]
    if end['name'] in {'request.sent', 'request.attempt_failed'}:
        # The line that tells the end was dropped.
        return
    passed_s = lines[0]['at'] - first_at
    period = passed_s // report.period_s * report.period_s
    report.ended[period] += 1
    cause = cause_of(lines)
    if cause is not None:
        report.lost[period][cause] += 1


def cause_of(lines: Sequence[Line]) -> Cause | None:
    """Return why the request of these lines was lost, None if it was not."""
    end = lines[-1]
    if end['name'] == 'request.turned_down':
        # Other refusals below 500 are meant: wrong key, unknown route.
        default = None if end['status'] < SERVER_ERROR else Cause.OTHER
        return _CAUSE_OF_CODE.get(end['code'], default)
    if end['name'] != 'request.ended':
        return _CAUSE_OF_EVENT.get(end['name'], Cause.OTHER)
    if end.get('after_s', 0) <= end.get('objective_s', math.inf):
        return None
    return _cause_of_delay(lines)


def _cause_of_delay(lines: Sequence[Line]) -> Cause:
    """Return the cause of the greatest part of a late answer's time."""
    end = lines[-1]
    sent = [line for line in lines if line['name'] == 'request.sent']
    if not sent:
        return Cause.OTHER
    last = sent[-1]
    waited_s = sent[0].get('waited_s', 0)
    retried_s = last.get('waited_s', 0) - waited_s
    worked_s = end['after_s'] - last.get('waited_s', 0)
    if max(waited_s, retried_s) > worked_s:
        is_retry = retried_s > waited_s
        return Cause.LATE_RETRY if is_retry else Cause.LATE_WAIT
    if last.get('load', 0) >= last.get('slots', math.inf):
        return Cause.LATE_QUEUE
    if last.get('cache') in _LIKELY_CACHED:
        return Cause.LATE_WORK
    return Cause.LATE_UNCACHED
