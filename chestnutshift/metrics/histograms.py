"""Histograms of durations with fixed logarithmic buckets."""

import math
from collections import Counter

import attrs

LOWEST_S = 0.0001
BUCKETS_PER_DOUBLING = 4
# The last bucket ends at LOWEST_S * 2 ** 24, about 28 minutes.
BUCKET_COUNT = 24 * BUCKETS_PER_DOUBLING


def bucket_of(duration_s: float) -> int:
    """Return the bucket of a duration; the ends take what lies beyond."""
    if duration_s <= LOWEST_S:
        return 0
    steps = math.log2(duration_s / LOWEST_S) * BUCKETS_PER_DOUBLING
    return min(math.ceil(steps), BUCKET_COUNT)


def bucket_end(bucket: int) -> float:
    """Return the longest duration of a bucket in seconds."""
    return LOWEST_S * 2 ** (bucket / BUCKETS_PER_DOUBLING)


@attrs.define
class Histogram:
    """Counts of durations; a quantile is at most 19 % too long."""

    _counts: Counter[int] = attrs.field(factory=Counter)
    _count: int = 0

    @property
    def count(self) -> int:
        """How many durations were recorded."""
        return self._count

    def record(self, duration_s: float) -> None:
        """Count one duration."""
        self._counts[bucket_of(duration_s)] += 1
        self._count += 1

    def quantile(self, fraction: float) -> float | None:
        """Return the duration that a fraction stays under, None if empty."""
        if not self._count:
            return None
        rank = max(1, math.ceil(fraction * self._count))
        for bucket, count in sorted(self._counts.items()):
            rank -= count
            if rank <= 0:
                return bucket_end(bucket)
        return bucket_end(BUCKET_COUNT)
