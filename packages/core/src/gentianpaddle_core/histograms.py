"""Mergeable histograms with fixed, logarithmically spaced buckets.

All histograms have the same bucket bounds, so that merging adds counts without loss. A bucket spans
4.4 %, so the error of a quantile is at most 2.2 % within the covered range.
"""

from __future__ import annotations

import math
from collections.abc import Iterable

FIRST_BOUND_S = 0.000_1
"""Upper bound of the first bucket in seconds; all smaller values fall into this bucket."""

BUCKETS_PER_DOUBLING = 16
"""Number of buckets per factor of two, so a bucket spans a factor of 2 ** (1 / 16)."""

BUCKET_COUNT = 404
"""Number of buckets. They reach up to 3,800 s, beyond the longest deadline; larger values fall into
the last bucket."""


class Histogram:
    """Counts of durations by bucket.

    >>> histogram = Histogram()
    >>> for value_s in (0.1, 0.2, 0.4):
    ...     histogram.add(value_s)
    >>> round(histogram.quantile(0.5), 2)
    0.2
    """

    __slots__ = ("count_by_bucket",)

    def __init__(self) -> None:
        self.count_by_bucket: dict[int, int] = {}

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Histogram) and self.count_by_bucket == other.count_by_bucket

    __hash__ = None  # type: ignore[assignment]

    def add(self, value_s: float, count: int = 1) -> None:
        """Count a duration.

        Args:
            value_s: Duration in seconds; a value that is not finite falls into the last bucket.
            count: Number of occurrences.
        """
        bucket = _bucket_of(value_s)
        self.count_by_bucket[bucket] = self.count_by_bucket.get(bucket, 0) + count

    def merge(self, other: Histogram) -> None:
        """Add the counts of another histogram.

        Args:
            other: Histogram to add; it is not modified.
        """
        counts = self.count_by_bucket
        for bucket, count in other.count_by_bucket.items():
            counts[bucket] = counts.get(bucket, 0) + count

    def count(self) -> int:
        """Return the number of durations counted."""
        return sum(self.count_by_bucket.values())

    def quantile(self, share: float) -> float | None:
        """Return a quantile of the counted durations.

        Args:
            share: Share of the durations that do not exceed the quantile, 0 to 1.

        Returns:
            Geometric mean of the bounds of its bucket in seconds, or None without durations.
        """
        target_count = max(1, math.ceil(share * self.count()))
        cumulative_count = 0
        for bucket in sorted(self.count_by_bucket):
            cumulative_count += self.count_by_bucket[bucket]
            if cumulative_count >= target_count:
                return float(FIRST_BOUND_S * 2 ** ((bucket - 0.5) / BUCKETS_PER_DOUBLING))
        return None

    def encode(self) -> list[int]:
        """Return a flat list of the distance from the previous bucket and the count, per bucket."""
        encoded: list[int] = []
        previous = 0
        for bucket in sorted(self.count_by_bucket):
            encoded += (bucket - previous, self.count_by_bucket[bucket])
            previous = bucket
        return encoded


def decode(encoded: Iterable[int]) -> Histogram:
    """Build a histogram from its encoding.

    Args:
        encoded: Result of `Histogram.encode`.

    Returns:
        An equal histogram.

    Raises:
        ValueError: The list is not a valid encoding.

    >>> decode([160, 2, 16, 1]).count()
    3
    """
    numbers = list(encoded)
    if len(numbers) % 2 or not all(type(number) is int for number in numbers):
        raise ValueError("a histogram is a list of pairs of integers")
    histogram = Histogram()
    bucket = 0
    for bucket_distance, count in zip(numbers[::2], numbers[1::2], strict=True):
        bucket += bucket_distance
        if bucket_distance < 0 or not 0 <= bucket < BUCKET_COUNT or count <= 0:
            raise ValueError("bucket or count out of range")
        if bucket in histogram.count_by_bucket:
            raise ValueError("bucket given twice")
        histogram.count_by_bucket[bucket] = count
    return histogram


def _bucket_of(value_s: float) -> int:
    if value_s <= FIRST_BOUND_S:
        return 0
    if not math.isfinite(value_s):
        return BUCKET_COUNT - 1
    return min(
        BUCKET_COUNT - 1, math.ceil(BUCKETS_PER_DOUBLING * math.log2(value_s / FIRST_BOUND_S))
    )
