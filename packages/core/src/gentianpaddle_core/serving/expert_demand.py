"""How much each expert is asked for, from counts that every rank keeps."""

from __future__ import annotations

from collections.abc import Sequence

HALF_LIFE_S = 0.8
"""Age at which a count weighs half. Demand changes every 3 to 4 s on busy days; the requests in
progress make shorter windows uneven."""

SHIFT_DISTANCE = 0.25
"""Share of the demand that must lie elsewhere for older counts to be dropped at once."""


class Demand:
    """Decayed counts by set and expert.

    Args:
        sets: Sets of layers.
        experts: Experts in a set.
    """

    def __init__(self, sets: int, experts: int) -> None:
        self.counts = [[0.0] * experts for _ in range(sets)]
        self._updated_s: float | None = None

    def add(self, counts: Sequence[Sequence[float]], now_s: float) -> None:
        """Take the counts of all ranks since the last call.

        Args:
            counts: Tokens by set and expert.
            now_s: Monotonic time in seconds.
        """
        if not any(map(any, counts)):
            return
        kept = 1.0
        if self._updated_s is not None:
            kept = 0.5 ** ((now_s - self._updated_s) / HALF_LIFE_S)
        self._updated_s = now_s
        if self._distance(counts) > SHIFT_DISTANCE:
            kept *= 0.25
        for row, new in zip(self.counts, counts, strict=True):
            for expert, count in enumerate(new):
                row[expert] = row[expert] * kept + count

    def _distance(self, counts: Sequence[Sequence[float]]) -> float:
        distances = []
        for row, new in zip(self.counts, counts, strict=True):
            old_total, new_total = sum(row), sum(new)
            if old_total <= 0.0 or new_total <= 0.0:
                continue
            moved = sum(
                abs(old / old_total - count / new_total)
                for old, count in zip(row, new, strict=True)
            )
            distances.append(moved / 2.0)
        return sum(distances) / len(distances) if distances else 0.0
