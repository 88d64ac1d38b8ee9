"""Measured figures and their bounds."""

from __future__ import annotations

import dataclasses
import enum
import pathlib
import tomllib

BOUNDS_FILE = pathlib.Path(__file__).with_name("bounds.toml")


class BoundKind(enum.StrEnum):
    """Whether a bound is an upper or a lower bound."""

    AT_MOST = "at most"
    AT_LEAST = "at least"


@dataclasses.dataclass(frozen=True, slots=True)
class Figure:
    """One figure of a benchmark run."""

    name: str
    """Measured quantity and the conditions of the run."""
    value: float
    """Measured value, in `unit`."""
    unit: str
    bound: float | None = None
    """Bound from the design target, in `unit`; None if the figure is only reported."""
    bound_kind: BoundKind = BoundKind.AT_MOST
    """Whether `bound` is an upper or a lower bound."""
    guard_test: str = ""
    """Pytest node id of the test that checks the figure; a miss is tolerated only if
    `KNOWN-RED.txt` lists this test."""

    @property
    def missed(self) -> bool:
        """Whether the value violates the bound or is NaN."""
        if self.bound is None:
            return False
        if self.bound_kind is BoundKind.AT_MOST:
            return not self.value <= self.bound
        return not self.value >= self.bound


def bounds(table: str) -> dict[str, float]:
    """Return the bounds of one benchmark.

    Args:
        table: Name of the table in `bounds.toml`.

    Returns:
        Bounds by key.
    """
    document = tomllib.loads(BOUNDS_FILE.read_text(encoding="utf-8"))
    return {key: float(value) for key, value in document[table].items()}
