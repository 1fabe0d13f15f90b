"""Check which requests VMs lost: beside planned work, and at all."""

import math
from collections.abc import Container, Iterable, Mapping, Sequence
from itertools import zip_longest

import attrs

from tests.soak_edge.guarantees import (
    CONTACT_S,
    LOSS_SLACK_S,
    RELOAD_S,
    SentRequest,
    events_of,
    is_excuse,
)
from tests.soak_edge.upstreams import SoakUpstream
from tests.soak_edge.vms import VmEvent

# Not lost is a request that has used that part of its time.
USED_RATIO = 0.7
# From a change of the route table, its confirmation and the settings' config.
TABLE_SETTLED_S = RELOAD_S + 1
# What a VM counts and logs of requests without an answer.
LOST_METRIC = 'chestnutshift_requests_lost_total'
LOST_EVENT = '"name": "connection.lost"'


@attrs.frozen
class TableChange:
    """A route table that was sent and confirmed; timeouts_s are by prefix."""

    sent_at: float
    confirmed_at: float
    timeouts_s: Mapping[str, float]


@attrs.frozen
class UpstreamRecords:
    """Requests that reached upstreams, and ids of those broken off there.

    worked_until is when the work on each that reached one ended, by id.
    """

    worked_until: Mapping[str, float]
    broken_off: Container[str]


def read_records(upstreams: Iterable[SoakUpstream]) -> UpstreamRecords:
    """Return the records; one that reached another later is not broken off."""
    arrived_at: dict[str, float] = {}
    broken_at: dict[str, float] = {}
    worked_until: dict[str, float] = {}
    for upstream in upstreams:
        for arrival in upstream.arrivals:
            before = arrived_at.get(arrival.request_id, -math.inf)
            arrived_at[arrival.request_id] = max(before, arrival.at)
        broken_at |= upstream.broken_off
        for request_id, ended_at in upstream.worked_until.items():
            before = worked_until.get(request_id, -math.inf)
            worked_until[request_id] = max(before, ended_at)
    broken_off = {
        request_id
        for request_id, at in broken_at.items()
        if at >= arrived_at[request_id]
    }
    return UpstreamRecords(worked_until, broken_off)


@attrs.frozen
class Impairment:
    """A time in which the links of VMs, by URL, were impaired."""

    vms: frozenset[str]
    began_at: float
    ended_at: float


def find_lost_beside_tables(
    sent_requests: Sequence[SentRequest],
    upstream_records: UpstreamRecords,
    events: Mapping[str, Sequence[VmEvent]],
    changes: Sequence[TableChange],
    impairments: Sequence[Impairment],
) -> list[str]:
    """Return lines for requests that VMs lost beside a change of the table.

    Counted are those that were sent whole and whose connection the VM closed
    before a complete answer, after it had passed them on or later than the
    slack. Excused are a VM that was killed meanwhile, or whose process or links
    were impaired up to the contact before, a stop that ends its grace, an
    upstream that broke off, and a request that had used most of its time.
    """
    problems = []
    for request in sent_requests:
        if not _is_lost(request, upstream_records.worked_until):
            continue
        its_events = events_of(request, events.get(request.vm, ()))
        is_excused = (
            request.request_id in upstream_records.broken_off
            or any(
                is_excuse(request, event, _work_end(request, upstream_records))
                for event in its_events
            )
            or any(_has_harmed(harm, request) for harm in impairments)
            or _has_used_time(request, changes)
        )
        if not is_excused and any(
            _is_beside(request, change) for change in changes
        ):
            problems.append(
                f'{request.request_id} was lost by {request.vm} '
                'beside a change of the route table'
            )
    return problems


def _work_end(request: SentRequest, records: UpstreamRecords) -> float:
    """Return when its work ended, long ago if it reached no upstream."""
    return records.worked_until.get(request.request_id, -math.inf)


def _is_lost(request: SentRequest, passed_on: Container[str]) -> bool:
    """Return whether a VM must have answered, and closed the connection."""
    if not (request.is_closed or request.is_cut):
        return False
    if request.request_id in passed_on:
        return True
    return request.ended_at - request.whole_at > LOSS_SLACK_S


def _has_harmed(impairment: Impairment, request: SentRequest) -> bool:
    """Return whether it was from the contact before until the end."""
    if request.vm not in impairment.vms:
        return False
    begins_at = request.sent_at - CONTACT_S
    return (
        impairment.began_at <= request.ended_at
        and impairment.ended_at >= begins_at
    )


def _has_used_time(
    request: SentRequest, changes: Sequence[TableChange]
) -> bool:
    """Return whether it has used most of its time, or all of it.

    That is what its caller gave it, or the route's timeout: the longest of the
    tables that may be in force.
    """
    timeouts_s = [
        _timeout_s(change, request.path)
        for change, following in zip_longest(changes, changes[1:])
        if change.sent_at <= request.ended_at
        and (
            following is None
            or following.confirmed_at + RELOAD_S >= request.sent_at
        )
    ]
    time_s = min(request.limit_s, max(timeouts_s, default=math.inf))
    return request.ended_at - request.sent_at >= USED_RATIO * time_s


def _timeout_s(change: TableChange, path: str) -> float:
    """Return the timeout of the route with the longest prefix of the path."""
    prefixes = [
        prefix for prefix in change.timeouts_s if path.startswith(prefix)
    ]
    if not prefixes:
        return math.inf
    return change.timeouts_s[max(prefixes, key=len)]


def _is_beside(request: SentRequest, change: TableChange) -> bool:
    """Return whether any of it was while the change is planned work."""
    settled_at = change.confirmed_at + TABLE_SETTLED_S
    return change.sent_at <= request.ended_at and request.sent_at <= settled_at


def find_unanswered(sent_requests: Sequence[SentRequest]) -> list[str]:
    """Return lines for requests with neither an answer nor a refusal.

    All are of a run in which nothing was cut, and no caller left before.
    """
    ends = ((request, _unanswered_end(request)) for request in sent_requests)
    return [
        f'{request.request_id} ({request.path}) got neither an answer nor a '
        f'refusal from {request.vm}: {end} after '
        f'{request.ended_at - request.sent_at:.3f} s'
        for request, end in ends
        if end
    ]


def _unanswered_end(request: SentRequest) -> str:
    if request.is_closed:
        announced = 'as an answer before announced'
        return f'closed {announced}' if request.is_announced else 'closed'
    if request.is_cut:
        return 'cut midway'
    return 'silent' if request.is_unanswered else ''


def find_lost_counts(vm: str, metrics: str, log: str) -> list[str]:
    """Return lines for what a VM itself says that it lost, in such a run."""
    counts = [
        float(line.split()[-1])
        for line in metrics.splitlines()
        if line.startswith(LOST_METRIC)
    ]
    problems = []
    if not counts:
        problems.append(f'{vm} has no metric of lost requests')
    if any(counts):
        problems.append(f'{vm} counted {sum(counts):.0f} lost requests')
    ends = [line for line in log.splitlines() if LOST_EVENT in line]
    if ends:
        problems.append(f'{vm} logged {len(ends)} lost connections: {ends[0]}')
    return problems
