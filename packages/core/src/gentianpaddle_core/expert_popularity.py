"""Prediction of expert popularity in a group from exponentially decayed token counts."""

from __future__ import annotations

import math
from collections.abc import Sequence

FAST_HALF_LIFE_S = 20.0
"""Half-life of the token counts that reflect the current popularity."""

SLOW_HALF_LIFE_S = 60.0
"""Half-life of the token counts against which the trend is measured."""

TREND_LIMIT = 1.0
"""Largest predicted change of an expert's popularity, as a natural logarithm."""

VALIDITY_LIMITS_S = (60.0, 1_800.0)
"""Lower and upper bound of the time for which a plan is expected to stay valid, in seconds."""


class PopularityPredictor:
    """Popularity of experts by layer, predicted from token counts with two half-lives."""

    def __init__(self, layers: int, experts: int) -> None:
        self._fast = _DecayedCounts(layers, experts, FAST_HALF_LIFE_S)
        self._slow = _DecayedCounts(layers, experts, SLOW_HALF_LIFE_S)
        self._previous: list[list[float]] | None = None
        self._observed_s = 0.0
        self._change_per_s = 0.0

    def observe(self, now_s: float, tokens: Sequence[Sequence[float]]) -> None:
        """Add the tokens processed since the last observation.

        Args:
            now_s: Monotonic time in seconds.
            tokens: Number of tokens by layer and expert.
        """
        shares = [_normalised(counts) for counts in tokens]
        elapsed_s = now_s - self._observed_s
        if self._previous is not None and elapsed_s > 0.0:
            changes = [
                sum(
                    abs(share_now - share_before)
                    for share_now, share_before in zip(current, previous, strict=True)
                )
                / 2.0
                for current, previous in zip(shares, self._previous, strict=True)
            ]
            change_per_s = sum(changes) / len(changes) / elapsed_s
            weight = 1.0 - 0.5 ** (elapsed_s / SLOW_HALF_LIFE_S)
            self._change_per_s += weight * (change_per_s - self._change_per_s)
        self._previous = shares
        self._observed_s = now_s
        self._fast.add(now_s, tokens)
        self._slow.add(now_s, tokens)

    def predicted_shares(self, lead_s: float = 0.0) -> list[list[float]]:
        """Return the share of each expert in the tokens of its layer.

        Args:
            lead_s: Time after the last observation for which to extrapolate the trend, in seconds.

        Returns:
            Shares by layer and expert.
        """
        mean_time_gap_s = self._fast.mean_time_s - self._slow.mean_time_s
        if mean_time_gap_s <= 0.0:
            return [_normalised(counts) for counts in self._fast.counts]
        trend_factor = (self._observed_s + lead_s - self._fast.mean_time_s) / mean_time_gap_s
        return [
            _extrapolated(_normalised(fast), _normalised(slow), trend_factor)
            for fast, slow in zip(self._fast.counts, self._slow.counts, strict=True)
        ]

    def validity_s(self) -> float:
        """Return the time for which a plan is expected to stay valid, in seconds.

        The gain of a plan is assumed to shrink linearly to zero while the popularity changes
        completely, so its value is that of the full gain over half of that time.
        """
        shortest, longest = VALIDITY_LIMITS_S
        if self._change_per_s <= 0.0:
            return longest
        return min(longest, max(shortest, 0.5 / self._change_per_s))


class _DecayedCounts:
    """Exponentially decayed counts with the weighted mean time of their observations."""

    def __init__(self, layers: int, experts: int, half_life_s: float) -> None:
        self.counts = [[0.0] * experts for _ in range(layers)]
        self.mean_time_s = 0.0
        self._half_life_s = half_life_s
        self._total_weight = 0.0
        self._now_s = 0.0

    def add(self, now_s: float, tokens: Sequence[Sequence[float]]) -> None:
        decay = 0.5 ** (max(0.0, now_s - self._now_s) / self._half_life_s)
        for counts, observed in zip(self.counts, tokens, strict=True):
            for expert, count in enumerate(observed):
                counts[expert] = counts[expert] * decay + count
        self._total_weight = self._total_weight * decay + 1.0
        self.mean_time_s += (now_s - self.mean_time_s) / self._total_weight
        self._now_s = now_s


def _extrapolated(fast: list[float], slow: list[float], trend_factor: float) -> list[float]:
    predicted = []
    for current, previous in zip(fast, slow, strict=True):
        trend = (
            math.log(current / previous) * trend_factor if current > 0.0 and previous > 0.0 else 0.0
        )
        predicted.append(current * math.exp(max(-TREND_LIMIT, min(TREND_LIMIT, trend))))
    return _normalised(predicted)


def new_popularity_predictor(layers: int, experts: int) -> PopularityPredictor:
    """Create a predictor without observations.

    Args:
        layers: Number of layers with experts.
        experts: Number of experts of a layer.

    Returns:
        The predictor.
    """
    return PopularityPredictor(layers, experts)


def _normalised(counts: Sequence[float]) -> list[float]:
    total = sum(counts)
    return [count / total for count in counts] if total > 0.0 else [1.0 / len(counts)] * len(counts)
