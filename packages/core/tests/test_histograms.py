"""Guards against merging or encoding that changes quantiles."""

from __future__ import annotations

import math

import hypothesis
import pytest
from hypothesis import strategies

from gentianpaddle_core import histograms

VALUES = strategies.lists(strategies.floats(0.000_2, 3_500.0), min_size=1, max_size=60)


def histogram_of(values: list[float]) -> histograms.Histogram:
    histogram = histograms.Histogram()
    for value in values:
        histogram.add(value)
    return histogram


@hypothesis.given(VALUES, VALUES, strategies.floats(0.0, 1.0))
def test_merged_and_decoded_quantiles_are_within_a_bucket(
    left: list[float], right: list[float], share: float
):
    """Guards against a quantile that differs from the exact one by more than a bucket."""
    merged = histograms.decode(histogram_of(left).encode())
    merged.merge(histogram_of(right))
    assert merged == histogram_of(right + left)
    values = sorted(left + right)
    exact = values[max(1, math.ceil(share * len(values))) - 1]
    assert merged.quantile(share) == pytest.approx(exact, rel=0.023)


@pytest.mark.parametrize("value", [-1.0, 0.0, math.inf, math.nan, 1e9])
def test_values_out_of_range_are_counted(value: float):
    """Guards against durations out of range that are dropped or raise an exception."""
    assert histogram_of([value]).count() == 1


@pytest.mark.parametrize(
    "encoded", [[1], [-1, 1], [0, 0], [404, 1], [1, 1, 0, 1], [1, 1.0], [True, 1]]
)
def test_corrupt_encodings_are_rejected(encoded: list[int]):
    """Guards against a corrupt encoding that is read as figures."""
    with pytest.raises(ValueError, match=r"histogram|range|twice"):
        histograms.decode(encoded)
