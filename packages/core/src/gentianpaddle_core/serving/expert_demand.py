"""Demand for each expert, estimated from the token counts of all ranks."""

from __future__ import annotations

from collections.abc import Sequence

HALF_LIFE_S = 0.8
"""Half-life of a count. Demand changes every 3 to 4 s on busy days; over shorter windows the
counts depend too much on the few requests in progress."""

DEMAND_SHIFT_THRESHOLD = 0.25
"""Share of the demand, from 0 to 1, that must move to other experts for older counts to be reduced
to a quarter at once."""


class Demand:
    """Exponentially decayed token counts by set and expert.

    Args:
        sets: Number of layer sets.
        experts: Number of experts in a set.
    """

    def __init__(self, sets: int, experts: int) -> None:
        self.counts = [[0.0] * experts for _ in range(sets)]
        self._updated_s: float | None = None

    def add(self, counts: Sequence[Sequence[float]], now_s: float) -> None:
        """Add the counts of all ranks since the last call.

        Args:
            counts: Number of tokens by set and expert.
            now_s: Monotonic time in seconds.
        """
        if not any(map(any, counts)):
            return
        decay = 1.0
        if self._updated_s is not None:
            decay = 0.5 ** ((now_s - self._updated_s) / HALF_LIFE_S)
        self._updated_s = now_s
        if self._shift_from(counts) > DEMAND_SHIFT_THRESHOLD:
            decay *= 0.25
        for row, new in zip(self.counts, counts, strict=True):
            for expert, count in enumerate(new):
                row[expert] = row[expert] * decay + count

    def _shift_from(self, counts: Sequence[Sequence[float]]) -> float:
        """Return the share of demand that moved between experts, averaged over the sets."""
        shifts = []
        for row, new in zip(self.counts, counts, strict=True):
            old_total, new_total = sum(row), sum(new)
            if old_total <= 0.0 or new_total <= 0.0:
                continue
            difference = sum(
                abs(old / old_total - count / new_total)
                for old, count in zip(row, new, strict=True)
            )
            shifts.append(difference / 2.0)
        return sum(shifts) / len(shifts) if shifts else 0.0
