"""Spreads an amount over loads so that the lowest ones become equal."""

from __future__ import annotations

from collections.abc import Sequence


def fill_level(loads: Sequence[float], amount: float) -> float:
    """Return the water-filling level: the load that the least loaded servers reach together.

    Args:
        loads: Load by server; at least one.
        amount: Load to spread over the servers, above 0.

    Returns:
        The level up to which the servers below it are filled.
    """
    filled = 0.0
    ordered = sorted(loads)
    for count, load in enumerate(ordered, 1):
        filled += load
        target_level = (filled + amount) / count
        if count == len(ordered) or target_level <= ordered[count]:
            return target_level
    raise ValueError("loads must not be empty")
