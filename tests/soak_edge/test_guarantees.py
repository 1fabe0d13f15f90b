"""The soak's checks report each broken guarantee."""

import math
import random
import signal
from itertools import repeat

import attrs
from nose2.tools import params

from tests.soak_edge.guarantees import (
    CutOff,
    IssuedKey,
    NamedLimit,
    SentRequest,
    find_broken_guarantees,
    find_broken_wishes,
    find_crash_repeats,
    find_dropped_requests,
    find_excess_repeats,
    find_exceeded_limits,
    find_lost_requests,
    find_older_refusals,
    find_unequal_service,
)
from tests.soak_edge.losses import (
    Impairment,
    TableChange,
    UpstreamRecords,
    find_lost_beside_tables,
    find_lost_counts,
    find_unanswered,
    read_records,
)
from tests.soak_edge.upstreams import Arrival, Run, SoakUpstream, Told
from tests.soak_edge.vms import VmEvent

ISSUED_KEYS = {
    'k1': IssuedKey('konya'),
    'k2': IssuedKey('konya', withdrawn_at=10),
}
VM = 'http://127.1.1.1:8686'
CLOSED = SentRequest(
    'r1', 'k1', True, b'', 10, vm=VM, ended_at=11, is_closed=True
)


# r1 reached an upstream, which is at work on it.
WORKED = {'r1': math.inf}


def booking(
    status: int | None, key: str = 'k1', sent_at: float = 1
) -> SentRequest:
    """Return a request that must run at most once."""
    return SentRequest('r1', key, False, b'b', sent_at, status, 'answer to r1')


def run(account: str = 'konya', body: bytes = b'b') -> Run:
    """Return a run of the request that booking() returns."""
    return Run('r1', account, body, 1)


def test_guarantees_that_hold() -> None:
    """A run with its answer, and a refusal without a run, are correct."""
    assert not find_broken_guarantees([booking(200)], [run()], ISSUED_KEYS)
    assert not find_broken_guarantees([booking(503)], [], ISSUED_KEYS)
    assert not find_broken_guarantees([booking(None)], [run()], ISSUED_KEYS)


@params(
    (booking(502), [run(), run()], 'ran 2 times'),
    (booking(503), [run()], 'refused with 503, and ran'),
    (booking(200), [], 'did not run'),
    (booking(200), [run(account='bursa')], "ran for 'bursa'"),
    (booking(200), [run(body=b'')], 'another body'),
    (booking(200, 'k2', sent_at=16), [run()], '6.0 s after its key'),
)
def test_each_broken_guarantee_is_reported(
    sent: SentRequest,
    runs: list[Run],
    expected_text: str,
) -> None:
    """Each kind of violation is reported."""
    problems = find_broken_guarantees([sent], runs, ISSUED_KEYS)
    assert any(expected_text in problem for problem in problems)


def test_unknown_run_and_wrong_answer() -> None:
    """A run without a request, or another request's answer, is reported."""
    problems = find_broken_guarantees([], [run()], ISSUED_KEYS)
    assert problems == ['r1 ran, but nobody sent it']
    mismatched = SentRequest('r1', 'k1', True, b'b', 1, 200, 'answer to r2')
    problems = find_broken_guarantees([mismatched], [run()], ISSUED_KEYS)
    assert "another answer: 'answer to r2'" in problems[0]


def test_exceeded_limit() -> None:
    """Runs count from some seconds after the limit was named until its end."""
    limit = NamedLimit('i-1', 1, named_at=0, ended_at=20)
    runs = [Run('r', 'konya', b'', 4 + step / 5, 'i-1') for step in range(12)]
    assert find_exceeded_limits(runs, [limit])
    assert not find_exceeded_limits(runs[:11], [limit])
    earlier = [attrs.evolve(run, started_at=3) for run in runs]
    assert not find_exceeded_limits(earlier, [limit])
    later = [attrs.evolve(run, started_at=21) for run in runs]
    assert not find_exceeded_limits(later, [limit])


def test_repeats_of_a_crashing_request() -> None:
    """Three retries are permitted from the bound's time on, not four."""
    ends = [1.0, 1.5, 2.0, 3.0]
    assert not find_crash_repeats([*ends, 5.5, 6.0, 7.0], ends)
    assert find_crash_repeats([*ends, 5.5, 6.0, 7.0, 8.0], ends)
    assert not find_crash_repeats([5.5, 6.0, 7.0, 8.0], ends[:2])


def test_pauses_and_departures_that_vms_disregard() -> None:
    """Two requests may slip into a pause, none comes after a departure."""
    pause = Told('i-1', 'vm-1', 10, pause_s=3)
    slipped = [Arrival('i-1', 'vm-1', 'r', at) for at in (10.4, 11, 12, 13.1)]
    assert not find_broken_wishes(slipped, [pause])
    third = Arrival('i-1', 'vm-1', 'r', 12.5)
    assert find_broken_wishes([*slipped, third], [pause])
    assert not find_broken_wishes([*slipped, third], [Told('i-1', 'vm-2', 10)])
    assert find_broken_wishes(
        [Arrival('i-1', 'vm-1', 'r', 15)], [Told('i-1', 'vm-1', 10)]
    )


def test_callers_of_vms_that_are_cut_off() -> None:
    """Both a low ratio and more than a few failures break the guarantee."""
    cut = CutOff(frozenset(('vm-1',)), 'silent', 0, 100)
    other = SentRequest('r', 'k1', True, b'', 50, 200, vm='vm-2')
    refused = SentRequest('r', 'k1', True, b'', 50, 503, vm='vm-1')
    served = list(repeat(other, 40))
    failed = list(repeat(refused, 10))
    assert not find_unequal_service(served + failed, cut)
    assert find_unequal_service(served + failed + failed, cut)
    early = [attrs.evolve(request, sent_at=3) for request in failed + failed]
    assert not find_unequal_service(served + early, cut)


def find_lost(
    request: SentRequest,
    *events: tuple[float, signal.Signals],
    worked_until: float = math.inf,
) -> list[str]:
    """Return what is found if the request reached an upstream."""
    sent = [VmEvent(*event) for event in events]
    return find_lost_requests([request], {'r1': worked_until}, {VM: sent})


def test_closed_requests_of_a_sound_vm() -> None:
    """Three are free; one that reached no upstream does not count."""
    closed = list(repeat(CLOSED, 4))
    assert find_lost_requests(closed, WORKED, {})
    assert not find_lost_requests(closed[:3], WORKED, {})
    assert not find_lost_requests(closed, {'r2': math.inf}, {})
    answered = attrs.evolve(CLOSED, is_closed=False)
    assert not find_lost_requests(repeat(answered, 4), WORKED, {})


def test_closed_requests_around_a_stop() -> None:
    """One is too many, except at the end of the grace."""
    assert find_lost(CLOSED, (9.0, signal.SIGTERM))
    assert find_lost(CLOSED, (9.0, signal.SIGHUP))
    assert not find_lost(CLOSED, (11.5, signal.SIGTERM))
    late = attrs.evolve(CLOSED, ended_at=13.5)
    assert not find_lost(late, (10.0, signal.SIGTERM))
    assert find_lost(attrs.evolve(late, sent_at=13.2), (10.0, signal.SIGTERM))


# LOST: whatever a stop cut late in its grace was excused, also answers that
# were ready.
def test_work_that_had_ended_before_the_cut() -> None:
    """Excused is only what an upstream was at work on in the last sixth."""
    late = attrs.evolve(CLOSED, ended_at=13.5)
    stop = (10.0, signal.SIGTERM)
    assert not find_lost(late, stop, worked_until=13.4)
    assert find_lost(late, stop, worked_until=13.2)


def test_work_that_a_stop_breaks_off() -> None:
    """An answer of the VM's own in its place is the same as none."""
    text = '{"code": "vm.stopped"}'
    refused = attrs.evolve(CLOSED, is_closed=False, status=504, text=text)
    stop = (9.0, signal.SIGTERM)
    assert find_lost(refused, stop)
    assert not find_lost(attrs.evolve(refused, ended_at=12.4), stop)
    assert not find_lost(attrs.evolve(refused, text='answer to r1'), stop)


# LOST: what a stop dropped without passing it on was not asked for.
@params(
    (10.7, signal.SIGTERM, True),
    (10.9, signal.SIGTERM, False),
    (math.inf, signal.SIGTERM, False),
    (10.7, signal.SIGKILL, False),
    (10.7, signal.SIGHUP, False),
)
def test_requests_that_a_stop_drops(
    whole_at: float, number: signal.Signals, is_dropped: bool
) -> None:
    """They were sent whole for longer than the slack, and not passed on."""
    request = attrs.evolve(CLOSED, whole_at=whole_at)
    events = {VM: [VmEvent(9, number)]}
    found = find_dropped_requests([request], {}, events)
    assert bool(found) is is_dropped
    assert not find_dropped_requests([request], WORKED, events)


def test_closed_requests_of_a_vm_that_was_killed() -> None:
    """They end with it, also while it stops."""
    stop = (9.0, signal.SIGTERM)
    assert not find_lost(CLOSED, stop, (10.5, signal.SIGKILL))
    assert find_lost(CLOSED, stop, (9.5, signal.SIGKILL))
    assert not find_lost(CLOSED, stop, (9.5, signal.SIGCONT))


# BUDGET: arrivals were recorded, and nobody added up the repeats.
@params((74, False), (75, True))
def test_repeats_beyond_the_budget(repeats: int, is_broken: bool) -> None:
    """Allowed in a window are a fifth of 51 requests, and 64."""
    sent = [attrs.evolve(booking(200), sent_at=20) for _ in range(51)]
    arrivals = [
        Arrival('u1', 'vm-1', 'r1', 25 + number / 10)
        for number in range(repeats + 1)
    ]
    assert bool(find_excess_repeats(arrivals, sent)) is is_broken
    apart = [
        attrs.evolve(arrival, request_id=f'r{number}')
        for number, arrival in enumerate(arrivals)
    ]
    assert not find_excess_repeats(apart, sent)


# CONFIG: a key that had been issued long before was refused, which no check
# took for a fault.
@params((401, 14, True), (404, 14, True), (401, 12.9, False), (503, 14, False))
def test_refusals_of_an_older_table(
    status: int, sent_at: float, is_broken: bool
) -> None:
    """A key issued 3 s before, and not withdrawn since, is known."""
    request = attrs.evolve(booking(status, sent_at=sent_at), ended_at=15)
    issued = IssuedKey('konya', issued_at=10)
    found = find_older_refusals([request], {'k1': issued})
    assert bool(found) is is_broken
    withdrawn = attrs.evolve(issued, withdrawn_at=14.5)
    assert not find_older_refusals([request], {'k1': withdrawn})


# The last table is confirmed at 9, and planned work until 13.
CHANGES = (
    TableChange(-5, -5, {'/a/': 0.5}),
    TableChange(1, 1, {'/a/': 2.5}),
    TableChange(8.5, 9, {'/a/': 2, '/a/b/': 1.2}),
)
# Its last byte was sent at 10.05, and 2.5 s are the longest timeout until 12.
LOST = attrs.evolve(CLOSED, path='/a/1', limit_s=4, whole_at=10.05)


def find_beside(
    request: SentRequest,
    events: tuple[VmEvent, ...] = (),
    impairments: tuple[Impairment, ...] = (),
    records: UpstreamRecords | None = None,
) -> list[str]:
    """Return what is found beside CHANGES if it reached an upstream."""
    return find_lost_beside_tables(
        [request],
        records or UpstreamRecords({'r1': math.inf}, ()),
        {VM: events},
        CHANGES,
        impairments,
    )


# LOST: a change of the route table was no planned work to the soak.
def test_lost_requests_beside_a_table() -> None:
    """One is too many, also midway through its answer."""
    assert find_beside(LOST)
    midway = attrs.evolve(LOST, is_closed=False, is_cut=True)
    assert find_beside(midway)
    assert not find_beside(attrs.evolve(midway, is_cut=False, status=504))
    left = attrs.evolve(midway, is_cut=False, is_unanswered=True)
    assert not find_beside(left)


@params(
    (8.4, 8.49, False), (8.4, 8.5, True), (13, 13.1, True), (13.1, 13.2, False)
)
def test_time_in_which_a_table_is_planned_work(
    sent_at: float, ended_at: float, is_beside: bool
) -> None:
    """It lasts from the sending until config and 1 s after confirmation."""
    request = attrs.evolve(LOST, sent_at=sent_at, ended_at=ended_at)
    assert bool(find_beside(request)) is is_beside


@params((10.79, True), (10.81, False), (math.inf, False))
def test_lost_requests_that_were_not_passed_on(
    whole_at: float, is_lost: bool
) -> None:
    """They count later than the slack after their last byte."""
    request = attrs.evolve(LOST, whole_at=whole_at)
    records = UpstreamRecords({}, ())
    assert bool(find_beside(request, records=records)) is is_lost
    assert find_beside(request)


@params(
    (4, '/a/1', 11.74, True),
    (4, '/a/1', 11.76, False),
    (2, '/a/1', 11.39, True),
    (2, '/a/1', 11.41, False),
    (4, '/a/b/1', 11.74, True),
    (1, '/other/1', 10.69, True),
    (1, '/other/1', 10.71, False),
)
def test_lost_requests_that_used_their_time(
    limit_s: float, path: str, ended_at: float, is_lost: bool
) -> None:
    """Seven tenths of the time limit or of the longest timeout excuse."""
    request = attrs.evolve(LOST, limit_s=limit_s, path=path, ended_at=ended_at)
    assert bool(find_beside(request)) is is_lost


def test_route_timeout_of_replaced_tables() -> None:
    """Only the timeout of tables that may be in force excuses."""
    late = attrs.evolve(LOST, sent_at=12.1)
    assert find_beside(attrs.evolve(late, ended_at=13.45))
    assert not find_beside(attrs.evolve(late, ended_at=13.55))
    more = attrs.evolve(late, path='/a/b/1')
    assert find_beside(attrs.evolve(more, ended_at=12.9))
    assert not find_beside(attrs.evolve(more, ended_at=13.0))


def test_lost_requests_that_an_upstream_broke_off() -> None:
    """The upstream's end excuses."""
    records = UpstreamRecords({'r1': math.inf}, {'r1'})
    assert not find_beside(LOST, records=records)
    others = UpstreamRecords({'r1': math.inf}, {'r2'})
    assert find_beside(LOST, records=others)


@params((10.1, True), (10.3, False))
def test_records_of_what_upstreams_broke_off(
    later_at: float, is_broken_off: bool
) -> None:
    """A request that reached another upstream later is not broken off."""
    first, second = (
        SoakUpstream(name, random.Random(1), [], print)
        for name in ('i-0', 'i-1')
    )
    first.arrivals.append(Arrival('i-0', '', 'r1', 10))
    first.broken_off['r1'] = 10.2
    second.arrivals.append(Arrival('i-1', '', 'r1', later_at))
    first.worked_until['r1'] = 10.2
    second.worked_until['r1'] = later_at
    records = read_records((first, second))
    assert records.worked_until == {'r1': max(10.2, later_at)}
    assert ('r1' in records.broken_off) is is_broken_off


@params(
    (signal.SIGKILL, 10.5, False),
    (signal.SIGKILL, 9.5, True),
    (signal.SIGSTOP, 6.1, False),
    (signal.SIGCONT, 10.5, False),
    (signal.SIGSTOP, 5.9, True),
    (signal.SIGTERM, 7.5, False),
    (signal.SIGTERM, 9, True),
    (signal.SIGHUP, 9, True),
)
def test_lost_requests_of_a_harmed_vm(
    number: signal.Signals, at: float, is_lost: bool
) -> None:
    """A kill, a suspension up to the contact before, and a late stop excuse."""
    events = (VmEvent(at, number),)
    assert bool(find_beside(LOST, events)) is is_lost


@params((VM, 5, 6.1, False), (VM, 5, 5.9, True), (VM, 11.1, 12, True))
def test_lost_requests_over_harmed_links(
    vm: str, began_at: float, ended_at: float, is_lost: bool
) -> None:
    """Only an impairment of its VM, from the contact before, excuses."""
    harm = Impairment(frozenset((vm,)), began_at, ended_at)
    assert bool(find_beside(LOST, impairments=(harm,))) is is_lost
    other = attrs.evolve(harm, vms=frozenset(('vm-2',)))
    assert find_beside(LOST, impairments=(other,))


@params('is_closed', 'is_cut', 'is_unanswered')
def test_requests_without_an_answer(end: str) -> None:
    """Each counts in a run in which nothing is cut, whatever its time."""
    answered = attrs.evolve(LOST, is_closed=False, status=504, ended_at=100)
    assert not find_unanswered([answered])
    assert find_unanswered([attrs.evolve(answered, **{end: True})])
    cancelled = attrs.evolve(answered, status=None)
    assert not find_unanswered([cancelled])


def test_unanswered_behind_an_announced_close() -> None:
    """They count as well, and are told apart."""
    behind = attrs.evolve(LOST, is_announced=True)
    assert 'before announced' in find_unanswered([behind])[0]
    assert 'before announced' not in find_unanswered([LOST])[0]
    assert find_beside(behind)


# LOST: the metric and the event existed, and nobody asked them.
def test_what_vms_say_that_they_lost() -> None:
    """A count, an event and a missing count are each reported."""
    name = 'chestnutshift_requests_lost_total'
    metrics = f'# TYPE {name} counter\n{name} 0.0\n'
    other = '{"name": "connection.opened"}\n'
    assert not find_lost_counts('vm-1', metrics, other)
    assert find_lost_counts('vm-1', f'{name} 1.0\n', other)
    assert find_lost_counts('vm-1', '', other)
    event = '{"event": 8009, "name": "connection.lost"}\n'
    assert find_lost_counts('vm-1', metrics, other + event)
