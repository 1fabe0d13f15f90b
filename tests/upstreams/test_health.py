"""Health states follow observations; only a restart ends leaving."""

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutshift.configuration.model import UpstreamsPreset
from chestnutshift.invariants.registry import InvariantViolationError
from chestnutshift.upstreams.choice import POLICIES
from chestnutshift.upstreams.health import (
    HealthTable,
    LeavingNotice,
    NoticeSource,
)
from chestnutshift.upstreams.model import Candidate, UpstreamState
from chestnutshift.upstreams.probes import CONCURRENT_PROBES_MAX, ProbePlan
from tests.enforcement import enforced

NAME = 'listings-1'
ANSWER_NOTICE = LeavingNotice(NAME, NoticeSource.ANSWER)


def table_after_failures(count: int) -> HealthTable:
    """Return a table with that many failures of the upstream at time 0."""
    table = HealthTable()
    for _ in range(count):
        table.record_failure(NAME, 'timeout', 0)
    return table


def state_of(table: HealthTable) -> UpstreamState:
    """Return the upstream's state."""
    return table.get(NAME).state


def test_failures_in_a_row_make_suspect():
    """Three failures in a row make an upstream suspect; an answer resets."""
    assert state_of(table_after_failures(2)) is UpstreamState.LIVE
    assert state_of(table_after_failures(3)) is UpstreamState.SUSPECT
    table = table_after_failures(2)
    table.record_success(NAME, 0)
    table.record_failure(NAME, 'timeout', 0)
    assert state_of(table) is UpstreamState.LIVE


def test_trials_back_off():
    """Each failed trial doubles the wait before the next, up to a maximum."""
    table = table_after_failures(3)
    waits = []
    now = 0
    for _ in range(10):
        waits.append(table.get(NAME).trial_at - now)
        now = table.get(NAME).trial_at
        table.record_failure(NAME, 'timeout', now)
    assert waits[:3] == [0.5, 1, 2]
    assert waits[-1] == 30


def test_answered_trial_makes_live():
    """A suspect upstream that answers takes work again."""
    table = table_after_failures(3)
    table.record_success(NAME, 1)
    assert state_of(table) is UpstreamState.LIVE


def test_answer_after_refusals_is_a_restart():
    """An upstream that answers after refusing connections has restarted."""
    table = HealthTable()
    table.record_failure(NAME, 'refused', 0, refused=True)
    assert state_of(table) is UpstreamState.SUSPECT
    change = table.record_success(NAME, 1)
    assert change.event.name == 'upstream.restarted'


def test_stale_list_and_health_do_not_end_leaving():
    """A stale list or health endpoint does not make an upstream live again."""
    table = HealthTable()
    table.record_process(NAME, 'p1', 0)
    table.record_leaving(ANSWER_NOTICE, 1)
    table.record_list([NAME], [], 2)
    table.record_process(NAME, 'p1', 2)
    table.record_success(NAME, 2)
    assert state_of(table) is UpstreamState.LEAVING
    assert table.closed() == {NAME}


def test_repeated_notice_keeps_first_time():
    """Leaving counts from the first notice when several arrive."""
    table = HealthTable()
    table.record_leaving(ANSWER_NOTICE, 10)
    assert table.record_leaving(ANSWER_NOTICE, 20) is None
    assert table.get(NAME).leaving_since == 10


def test_new_process_takes_work():
    """Only a new process ends leaving, and a stale list does not undo that."""
    table = HealthTable()
    table.record_process(NAME, 'p1', 0)
    table.record_list([], [NAME], 1)
    table.record_process(NAME, 'p2', 2)
    table.record_list([], [NAME], 3)
    assert state_of(table) is UpstreamState.LIVE
    table.record_list([NAME], [], 4)
    table.record_list([], [NAME], 5)
    assert state_of(table) is UpstreamState.LEAVING


def test_peer_notice_of_a_replaced_process():
    """A notice about the previous process does not count for the new one."""
    table = HealthTable()
    table.record_process(NAME, 'p1', 0)
    table.record_process(NAME, 'p2', 1)
    notice = LeavingNotice(NAME, NoticeSource.PEER, process='p1')
    assert table.record_leaving(notice, 2) is None


def test_gone_upstream_restarts():
    """A gone upstream that answers a health probe counts as a new process."""
    table = HealthTable()
    table.record_leaving(ANSWER_NOTICE, 0)
    table.record_failure(NAME, 'refused', 1, refused=True)
    assert state_of(table) is UpstreamState.GONE
    table.record_process(NAME, '', 2)
    assert state_of(table) is UpstreamState.LIVE


def test_work_for_a_leaving_upstream_is_detected():
    """Sending to an upstream that has been leaving violates an invariant."""
    table = HealthTable()
    table.record_leaving(ANSWER_NOTICE, 10)
    with enforced():
        table.verify_sendable(NAME, 11.9)
        try:
            table.verify_sendable(NAME, 12.1)
        except InvariantViolationError:
            return
    raise AssertionError('the violation was not detected')


@given(seed=st.integers(0, 2**32))
@settings(derandomize=True, deadline=None, database=None)
def test_leaving_upstream_gets_no_work(seed):
    """After a notice the upstream is not chosen until a new process is seen."""
    rng = random.Random(seed)
    table = HealthTable()
    table.record_process(NAME, 'p1', 0)
    table.record_leaving(
        LeavingNotice(NAME, rng.choice(tuple(NoticeSource))), 0
    )
    candidate = Candidate(NAME, 'marmara-1', 'marmara', 9)
    policy = POLICIES.get('observed')(UpstreamsPreset())
    for now in range(100):
        report_stale_state(table, rng, now)
        table.fill([candidate])
        assert policy.choose([candidate], now, rng) is None
    table.record_process(NAME, 'p2', 100)
    table.fill([candidate])
    assert policy.choose([candidate], 100, rng) is candidate


def report_stale_state(
    table: HealthTable,
    rng: random.Random,
    now: float,
) -> None:
    """Record a random report that may be stale or wrong."""
    reports = (
        lambda: table.record_list([NAME], [], now),
        lambda: table.record_process(NAME, 'p1', now),
        lambda: table.record_success(NAME, now),
        lambda: table.record_failure(NAME, 'timeout', now),
    )
    rng.choice(reports)()


def test_probes_are_few_and_regular():
    """No more than CONCURRENT_PROBES_MAX run; all upstreams get their turn."""
    plan = ProbePlan(HealthTable(), random.Random(1))
    names = [f'listings-{number}' for number in range(9)]
    probed: dict[str, int] = {}
    for tick in range(1000):
        now = tick / 100
        due = plan.due(names, now)
        assert len(due) <= CONCURRENT_PROBES_MAX
        for name in due:
            probed[name] = probed.get(name, 0) + 1
            plan.record_end(name, now + 0.006)
    assert min(probed.values()) >= 9
    assert max(probed.values()) <= 11


def test_running_probe_is_not_repeated():
    """An upstream whose probe has not ended is not probed again."""
    plan = ProbePlan(HealthTable(), random.Random(1))
    assert plan.due([NAME], 0) + plan.due([NAME], 1) == [NAME]
    assert plan.due([NAME], 5) == []


def test_hung_probes_do_not_pile_up():
    """No more probes start while the maximum of them does not end."""
    plan = ProbePlan(HealthTable(), random.Random(1))
    names = [f'listings-{number}' for number in range(9)]
    started = [name for now in range(5) for name in plan.due(names, now)]
    assert len(started) == CONCURRENT_PROBES_MAX
