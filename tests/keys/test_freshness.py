"""Tests that keys are trusted only while no withdrawal can be unknown."""

from hypothesis import given, settings
from hypothesis import strategies as st

from chestnutshift.keys.freshness import (
    Freshness,
    KnowledgeView,
    PeerView,
    assess,
    trusted_until,
)

TRUST_S = 5.0
LATER = 1000.0
ROUNDING_S = 0.000001

times = st.floats(min_value=0, max_value=100)
peers = st.builds(
    PeerView,
    requested_at=st.none() | times,
    age_s=st.none() | times,
    is_caught_up=st.booleans(),
    is_gone=st.booleans(),
)
views = st.builds(
    KnowledgeView,
    trust_s=st.just(TRUST_S),
    confirmed_at=st.none() | times,
    peers=st.lists(peers, max_size=4).map(tuple),
    is_complete=st.booleans(),
)


def freshness_of(
    *peer_views: PeerView, confirmed_at: float | None = 0
) -> Freshness:
    """Return the freshness at LATER with these peers."""
    return assess(KnowledgeView(TRUST_S, confirmed_at, peer_views), LATER)


def test_direct_confirmation_lasts_for_trust_s():
    """Trust ends trust_s after the start of the confirmed request."""
    silent = PeerView()
    assert freshness_of(silent, confirmed_at=LATER - 5) is Freshness.FRESH
    assert freshness_of(silent, confirmed_at=LATER - 5.1) is Freshness.UNCERTAIN
    assert freshness_of(silent, confirmed_at=None) is Freshness.UNCERTAIN


def test_relayed_confirmation_keeps_its_age():
    """The age of a relayed confirmation adds to the age of the answer."""
    silent = PeerView()
    relay = PeerView(requested_at=LATER - 1, age_s=4)
    older = PeerView(requested_at=LATER - 1, age_s=4.1)
    ahead = PeerView(requested_at=LATER - 1, age_s=1, is_caught_up=False)
    assert freshness_of(silent, relay) is Freshness.FRESH
    assert freshness_of(silent, older) is Freshness.UNCERTAIN
    assert freshness_of(silent, ahead) is Freshness.UNCERTAIN


def test_outage_shared_by_all_keeps_trust():
    """Keys stay trusted while all VMs answer that the platform is down."""
    down = PeerView(requested_at=LATER - 1, age_s=500)
    started = PeerView(requested_at=LATER - 1)
    assert freshness_of(down, started) is Freshness.SHARED_OUTAGE
    assert freshness_of(down, PeerView(is_gone=True)) is Freshness.SHARED_OUTAGE
    assert freshness_of() is Freshness.SHARED_OUTAGE


def test_silent_vm_ends_trust():
    """A VM that crashed or is disconnected may have accepted a withdrawal."""
    down = PeerView(requested_at=LATER - 1, age_s=500)
    silent = PeerView(requested_at=LATER - 6, age_s=500)
    assert freshness_of(down, silent) is Freshness.UNCERTAIN


def test_vm_that_is_ahead_ends_trust():
    """Keys are not trusted while a peer has a newer configuration."""
    ahead = PeerView(requested_at=LATER - 1, age_s=500, is_caught_up=False)
    assert freshness_of(ahead) is Freshness.UNCERTAIN


@given(views, times)
@settings(derandomize=True, deadline=None, database=None)
def test_trusted_until_agrees_with_assess(view, now):
    """`trusted_until` is the time at which `assess` ends trust."""
    trusted = assess(view, now).is_trusted
    margin = abs(trusted_until(view) - now)
    assert trusted == (now <= trusted_until(view)) or margin < ROUNDING_S
