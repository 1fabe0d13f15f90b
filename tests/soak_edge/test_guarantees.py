"""The soak's checks report each broken guarantee."""

import signal
from itertools import repeat

import attrs
from nose2.tools import params

from tests.soak_edge.guarantees import (
    IssuedKey,
    NamedLimit,
    SentRequest,
    CutOff,
    find_broken_guarantees,
    find_broken_wishes,
    find_crash_repeats,
    find_excess_repeats,
    find_exceeded_limits,
    find_lost_requests,
    find_older_refusals,
    find_unequal_service,
)
from tests.soak_edge.upstreams import Arrival, Run, Told
from tests.soak_edge.vms import VmEvent

ISSUED_KEYS = {
    'k1': IssuedKey('konya'),
    'k2': IssuedKey('konya', withdrawn_at=10),
}
VM = 'http://127.1.1.1:8686'
CLOSED = SentRequest(
    'r1', 'k1', True, b'', 10, vm=VM, ended_at=11, is_closed=True
)


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
    request: SentRequest, *events: tuple[float, signal.Signals]
) -> list[str]:
    """Return what is found if the request reached an upstream."""
    sent = [VmEvent(*event) for event in events]
    return find_lost_requests([request], {'r1'}, {VM: sent})


def test_closed_requests_of_a_sound_vm() -> None:
    """Three are free; one that reached no upstream does not count."""
    closed = list(repeat(CLOSED, 4))
    assert find_lost_requests(closed, {'r1'}, {})
    assert not find_lost_requests(closed[:3], {'r1'}, {})
    assert not find_lost_requests(closed, {'r2'}, {})
    answered = attrs.evolve(CLOSED, is_closed=False)
    assert not find_lost_requests(repeat(answered, 4), {'r1'}, {})


def test_closed_requests_around_a_stop() -> None:
    """One is too many, except at the end of the grace."""
    assert find_lost(CLOSED, (9.0, signal.SIGTERM))
    assert find_lost(CLOSED, (9.0, signal.SIGHUP))
    assert not find_lost(CLOSED, (11.5, signal.SIGTERM))
    late = attrs.evolve(CLOSED, ended_at=13.5)
    assert not find_lost(late, (10.0, signal.SIGTERM))
    assert find_lost(attrs.evolve(late, sent_at=13.2), (10.0, signal.SIGTERM))


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
