"""The common description of a measured figure and its bound."""

from __future__ import annotations

import dataclasses
import enum
import pathlib
import tomllib

BOUNDS_FILE = pathlib.Path(__file__).with_name("bounds.toml")


class Sense(enum.StrEnum):
    """Side of the bound on which a figure must be."""

    AT_MOST = "at most"
    AT_LEAST = "at least"


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One figure of a benchmark run."""

    name: str
    """What was measured, and under which conditions."""
    value: float
    """Measured value."""
    unit: str
    """Unit of the value."""
    bound: float | None = None
    """Bound from the stated target; None for a figure that is only reported."""
    sense: Sense = Sense.AT_MOST
    """Side of the bound on which the value must be."""
    guard: str = ""
    """Test that guards the figure; a miss passes only where `KNOWN-RED.txt` lists it."""

    @property
    def missed(self) -> bool:
        """Whether the value is on the wrong side of the bound, or not a number."""
        if self.bound is None:
            return False
        if self.sense is Sense.AT_MOST:
            return not self.value <= self.bound
        return not self.value >= self.bound


def bounds(table: str) -> dict[str, float]:
    """Return the bounds of one benchmark.

    Args:
        table: Name of its table in `bounds.toml`.

    Returns:
        Bounds by key.
    """
    document = tomllib.loads(BOUNDS_FILE.read_text(encoding="utf-8"))
    return {key: float(value) for key, value in document[table].items()}
