"""Keys are accepted only while the route table has a recent proof."""

from chestnutshift.steering.freshness import TableFreshness

BOUND_S = 5.0
MARGIN_S = 0.7


def test_stale_before_any_proof() -> None:
    """A VM that never reached the store or a peer accepts no key."""
    assert not TableFreshness(BOUND_S, MARGIN_S).is_fresh(100)


def test_a_suspended_vm_is_stale_when_it_wakes() -> None:
    """The boot clock includes suspension, unlike the monotonic clock."""
    freshness = TableFreshness(BOUND_S, MARGIN_S)
    freshness.record_proof(100)
    assert freshness.is_fresh(104.2)
    assert not freshness.is_fresh(104.4)


def test_older_proof_is_ignored() -> None:
    """Answers may arrive out of order."""
    freshness = TableFreshness(BOUND_S, MARGIN_S)
    freshness.record_proof(100)
    freshness.record_proof(98)
    assert freshness.proven_at == 100
