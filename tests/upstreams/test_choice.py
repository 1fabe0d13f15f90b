"""Upstream selection follows the VM's own observations."""

import random

import attrs
from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutshift.configuration.model import UpstreamsPreset
from chestnutshift.upstreams.choice import POLICIES
from chestnutshift.upstreams.model import Candidate, UpstreamState
from tests.enforcement import enforced

PRESET = UpstreamsPreset()
AVAILABLE_STATES = {UpstreamState.LIVE, UpstreamState.SUSPECT}


def upstream(name: str, **changes: object) -> Candidate:
    """Return a live upstream whose fast answer was observed at time 100."""
    default = Candidate(
        name=name,
        failure_domain='marmara-1',
        region='marmara',
        slots=8,
        latency_s=0.02,
        observed_at=100,
    )
    return attrs.evolve(default, **changes)


def chosen_names(policy: str, candidates: list[Candidate]) -> set[str]:
    """Return the names chosen in many draws at time 100."""
    rng = random.Random(1)
    choose = POLICIES.get(policy)(PRESET).choose
    choices = [choose(candidates, 100, rng) for _ in range(200)]
    return {candidate.name for candidate in choices if candidate}


def test_observed_avoids_slow_upstream():
    """A slow upstream is not chosen while a fast one has free slots."""
    pair = [upstream('slow', latency_s=0.5), upstream('fast', in_flight=4)]
    assert chosen_names('observed', pair) == {'fast'}


def test_observed_avoids_failing_upstream():
    """An upstream whose requests fail at once does not count as fast."""
    failing = upstream('failing', latency_s=0.002, error_rate=0.95)
    assert chosen_names('observed', [failing, upstream('sound')]) == {'sound'}


def test_low_report_attracts_no_traffic():
    """A report below the load of the VM's own requests is ignored."""
    underreporting = upstream(
        'underreporting',
        in_flight=5,
        reported_at=100,
        reported_load=0,
    )
    accurate = upstream(
        'accurate',
        in_flight=2,
        reported_at=100,
        reported_load=0.3,
    )
    assert chosen_names('observed', [underreporting, accurate]) == {'accurate'}


def test_fresh_high_report_counts():
    """A report of load from other VMs changes the choice."""
    busy = upstream('busy', reported_at=99, reported_load=0.9)
    assert chosen_names('observed', [busy, upstream('idle')]) == {'idle'}


def test_stale_report_is_ignored():
    """A report older than report_age_s does not change the choice."""
    old = upstream('old', reported_at=96, reported_load=0.9)
    assert chosen_names('observed', [old, upstream('new')]) == {'old', 'new'}


def test_out_of_order_report_is_ignored():
    """A report that arrives after a newer one is discarded."""
    candidate = upstream('any')
    candidate.record_report(0.9, 100)
    candidate.record_report(0.1, 99)
    assert candidate.reported_at == 100


def test_answers_update_averages():
    """An answer updates latency, error rate and the time of observation."""
    candidate = upstream('any')
    candidate.record_answer(1, 105, ok=False)
    assert candidate.latency_s > upstream('other').latency_s
    assert candidate.error_rate > 0
    assert candidate.observed_at == 105


def test_old_latency_decays():
    """An upstream that was slow long ago is tried again."""
    pair = [
        upstream('slow', latency_s=0.2, observed_at=0),
        upstream('fast', in_flight=4),
    ]
    assert 'slow' in chosen_names('observed', pair)


def test_cold_upstream_has_fewer_slots():
    """A warm-up limits the slots that may be used."""
    cold = upstream('cold', warm=0.25, in_flight=2)
    assert not cold.is_available(100, trials=True)


def test_suspect_gets_one_trial():
    """A suspect upstream gets one request at a time, once a trial is due."""
    suspect = upstream('suspect', state=UpstreamState.SUSPECT, trial_at=100)
    assert chosen_names('observed', [suspect, upstream('live')]) == {'suspect'}
    suspect.trial_at = 101
    assert chosen_names('observed', [suspect, upstream('live')]) == {'live'}
    suspect.trial_at = 100
    suspect.in_flight = 1
    assert chosen_names('observed', [suspect, upstream('live')]) == {'live'}


def test_trials_can_be_declined():
    """With trials=False no suspect upstream is chosen."""
    suspect = upstream('suspect', state=UpstreamState.SUSPECT)
    policy = POLICIES.get('observed')(PRESET)
    rng = random.Random(1)
    assert policy.choose([suspect], 100, rng, trials=False) is None


@given(seed=st.integers(0, 2**32), policy=st.sampled_from(tuple(POLICIES)))
@settings(derandomize=True, deadline=None, database=None)
def test_no_policy_breaks_the_limits(seed, policy):
    """Nothing goes to a leaving upstream or above the usable slots."""
    rng = random.Random(seed)
    candidates = [
        upstream(
            str(number),
            slots=rng.randint(0, 9),
            in_flight=rng.randint(0, 9),
            state=rng.choice(tuple(UpstreamState)),
            warm=rng.random(),
        )
        for number in range(rng.randint(0, 8))
    ]
    with enforced():
        choice = POLICIES.get(policy)(PRESET).choose(candidates, 100, rng)
    available = [
        candidate
        for candidate in candidates
        if candidate.is_available(100, trials=True)
    ]
    assert (choice is None) == (not available)
    if choice:
        assert choice.state in AVAILABLE_STATES
        assert choice.in_flight < choice.usable_slots
