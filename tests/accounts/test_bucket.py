"""The token bucket fills, is drained and is resized."""

import math

from chestnutshift.accounts.bucket import TokenBucket


def test_fill_stops_at_the_capacity():
    """A bucket never holds more than its capacity."""
    bucket = TokenBucket(rate=2, capacity=5, updated=0)
    bucket.fill(2)
    assert bucket.level == 4
    bucket.fill(100)
    assert bucket.level == 5


def test_take_needs_whole_tokens():
    """A fraction of a token admits no request."""
    bucket = TokenBucket(rate=1, capacity=5, updated=0)
    assert not bucket.take(1, 0.9)
    assert bucket.take(1, 1)
    assert not bucket.take(1, 1)
    assert bucket.wait_s(1) == 1


def test_resize_fills_with_the_old_rate_first():
    """The time before a change is credited at the old rate."""
    bucket = TokenBucket(rate=1, capacity=10, updated=0)
    bucket.resize(5, 3, 2)
    assert bucket.level == 2
    bucket.resize(0, 1, 2)
    assert bucket.level == 1
    assert bucket.wait_s(2) == math.inf


def test_an_earlier_time_changes_nothing():
    """An earlier time neither adds nor removes tokens."""
    bucket = TokenBucket(rate=1, capacity=10, updated=5)
    bucket.fill(3)
    assert (bucket.level, bucket.updated) == (0, 5)
