"""Popularity of the experts of a group, predicted from decayed counts of tokens."""

from __future__ import annotations

import math
from collections.abc import Sequence

FAST_HALF_LIFE_S = 20.0
"""Time after which a count of tokens weighs half."""

SLOW_HALF_LIFE_S = 60.0
"""Same for the older counts that the trend is measured against."""

TREND_LIMIT = 1.0
"""Largest predicted change of an expert's popularity, as a logarithm."""

VALIDITY_LIMITS_S = (60.0, 1_800.0)
"""Shortest and longest time for which a plan is expected to stay valid."""


class Popularity:
    """Popularity of experts by layer, predicted from two decayed counts of tokens."""

    def __init__(self, layers: int, experts: int) -> None:
        self._fast = _Counts(layers, experts, FAST_HALF_LIFE_S)
        self._slow = _Counts(layers, experts, SLOW_HALF_LIFE_S)
        self._previous: list[list[float]] | None = None
        self._observed_s = 0.0
        self._turnover_per_s = 0.0

    def observe(self, now_s: float, tokens: Sequence[Sequence[float]]) -> None:
        """Take the tokens of the time since the last observation.

        Args:
            now_s: Monotonic time in seconds.
            tokens: Tokens by layer and expert.
        """
        shares = [_normalised(new) for new in tokens]
        elapsed_s = now_s - self._observed_s
        if self._previous is not None and elapsed_s > 0.0:
            distances = [
                sum(abs(a - b) for a, b in zip(new, old, strict=True)) / 2.0
                for new, old in zip(shares, self._previous, strict=True)
            ]
            turnover = sum(distances) / len(distances) / elapsed_s
            weight = 1.0 - 0.5 ** (elapsed_s / SLOW_HALF_LIFE_S)
            self._turnover_per_s += weight * (turnover - self._turnover_per_s)
        self._previous = shares
        self._observed_s = now_s
        self._fast.add(now_s, tokens)
        self._slow.add(now_s, tokens)

    def loads(self, lead_s: float = 0.0) -> list[list[float]]:
        """Return the share of each expert in the tokens of its layer.

        Args:
            lead_s: Time after the last observation for which to predict, from the trend of the
                decayed counts.

        Returns:
            Shares by layer and expert.
        """
        distance_s = self._fast.mean_s - self._slow.mean_s
        if distance_s <= 0.0:
            return [_normalised(counts) for counts in self._fast.counts]
        factor = (self._observed_s + lead_s - self._fast.mean_s) / distance_s
        return [
            _extrapolated(_normalised(fast), _normalised(slow), factor)
            for fast, slow in zip(self._fast.counts, self._slow.counts, strict=True)
        ]

    def validity_s(self) -> float:
        """Return how long a plan is expected to stay valid.

        A gain that shrinks evenly until all popularity is replaced is worth half of that time.
        """
        shortest, longest = VALIDITY_LIMITS_S
        if self._turnover_per_s <= 0.0:
            return longest
        return min(longest, max(shortest, 0.5 / self._turnover_per_s))


class _Counts:
    """Decayed counts and the mean time that they stem from."""

    def __init__(self, layers: int, experts: int, half_life_s: float) -> None:
        self.counts = [[0.0] * experts for _ in range(layers)]
        self.mean_s = 0.0
        self._half_life_s = half_life_s
        self._weight = 0.0
        self._now_s = 0.0

    def add(self, now_s: float, tokens: Sequence[Sequence[float]]) -> None:
        kept = 0.5 ** (max(0.0, now_s - self._now_s) / self._half_life_s)
        for counts, new in zip(self.counts, tokens, strict=True):
            for expert, count in enumerate(new):
                counts[expert] = counts[expert] * kept + count
        self._weight = self._weight * kept + 1.0
        self.mean_s += (now_s - self.mean_s) / self._weight
        self._now_s = now_s


def _extrapolated(fast: list[float], slow: list[float], factor: float) -> list[float]:
    predicted = []
    for new, old in zip(fast, slow, strict=True):
        trend = math.log(new / old) * factor if new > 0.0 and old > 0.0 else 0.0
        predicted.append(new * math.exp(max(-TREND_LIMIT, min(TREND_LIMIT, trend))))
    return _normalised(predicted)


def new_popularity(layers: int, experts: int) -> Popularity:
    """Create empty counts.

    Args:
        layers: Number of layers with experts.
        experts: Experts of a layer.

    Returns:
        The counts.
    """
    return Popularity(layers, experts)


def _normalised(counts: Sequence[float]) -> list[float]:
    total = sum(counts)
    return [count / total for count in counts] if total > 0.0 else [1.0 / len(counts)] * len(counts)
