"""Histogram of durations with fixed, logarithmically spaced buckets."""

import math
from collections import Counter

import attrs

FIRST_BUCKET_END_S = 0.0001
BUCKETS_PER_DOUBLING = 4
# The last bucket ends at FIRST_BUCKET_END_S * 2 ** 24, about 28 minutes.
BUCKET_COUNT = 24 * BUCKETS_PER_DOUBLING


def bucket_of(duration_s: float) -> int:
    """Return the bucket of a duration, clamped to the first and the last."""
    if duration_s <= FIRST_BUCKET_END_S:
        return 0
    steps = math.log2(duration_s / FIRST_BUCKET_END_S) * BUCKETS_PER_DOUBLING
    return min(math.ceil(steps), BUCKET_COUNT)


def bucket_end_s(bucket: int) -> float:
    """Return the upper bound of a bucket in seconds."""
    return FIRST_BUCKET_END_S * 2 ** (bucket / BUCKETS_PER_DOUBLING)


@attrs.define
class Histogram:
    """Counts of durations; quantiles are overestimated by at most 19 %."""

    _counts: Counter[int] = attrs.field(factory=Counter)
    _count: int = 0

    @property
    def count(self) -> int:
        """The number of recorded durations."""
        return self._count

    def record(self, duration_s: float) -> None:
        """Count one duration."""
        self._counts[bucket_of(duration_s)] += 1
        self._count += 1

    def quantile(self, fraction: float) -> float | None:
        """Return the quantile in seconds for a fraction, or None if empty."""
        if not self._count:
            return None
        rank = max(1, math.ceil(fraction * self._count))
        for bucket, count in sorted(self._counts.items()):
            rank -= count
            if rank <= 0:
                return bucket_end_s(bucket)
        return bucket_end_s(BUCKET_COUNT)
