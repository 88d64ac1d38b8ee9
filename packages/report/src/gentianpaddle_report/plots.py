"""Plots of the evening page as inline SVG."""

from __future__ import annotations

import dataclasses
import io
import math
import threading
from collections.abc import Sequence

import matplotlib
from matplotlib import axes as axes_module
from matplotlib import figure

WIDTH_INCHES = 4.6
"""Drawn at 390 px of a phone, 9 pt text is about 9 px high."""

HEIGHT_INCHES = 2.1
AXES = (0.11, 0.12, 0.84, 0.74)
"""Left, bottom, width and height of the axes as shares of the figure; a fixed place takes less
processor time than a computed one."""

DARK = "#1b4965"
LIGHT = "#5fa8d3"
TARGET = "#b00020"
UNREPORTED = "#d8d8d8"

_METADATA = ("Creator", "Date", "Format", "Type")
"""Entries that are left out, so that equal figures give equal pages."""

_lock = threading.Lock()


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """One measure of one class over the day."""

    median: dict[int, float]
    """Median by hour."""
    high: dict[int, float]
    """Value that 95 % do not exceed, by hour."""
    target: float | None
    """Target in the same unit."""
    unit: str
    """Unit of all values."""


def draw(series: Series, unreported: Sequence[tuple[float, float]], last_hour: int = 24) -> str:
    """Draw a measure over the day.

    Args:
        series: What to draw.
        unreported: Hours from and to of times that are not fully reported.
        last_hour: End of the time axis.

    Returns:
        An SVG element without XML prologue; it holds no text from outside.
    """
    with (
        _lock,
        matplotlib.rc_context(
            {
                "svg.fonttype": "none",
                "svg.hashsalt": "gentianpaddle",
                "font.family": "sans-serif",
                "font.size": 9,
                "text.parse_math": False,
            }
        ),
    ):
        drawing = figure.Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES))
        axes = drawing.add_axes(AXES)
        for start, end in unreported:
            axes.axvspan(start, end, color=UNREPORTED, linewidth=0)
        _line(axes, series.high, DARK, "-", "o", "95 in 100 within")
        _line(axes, series.median, LIGHT, "--", "s", "half within")
        if series.target is not None:
            axes.axhline(series.target, color=TARGET, linewidth=1.2, linestyle=":", label="target")
        highest = max([*series.high.values(), *series.median.values(), series.target or 0.0])
        axes.set_ylim(0.0, highest * 1.1 or 1.0)
        axes.set_xlim(0, last_hour)
        axes.set_xticks(range(0, last_hour + 1, 3), [f"{h:02}:00" for h in range(0, 25, 3)])
        axes.set_ylabel(series.unit)
        axes.spines[["top", "right"]].set_visible(False)
        axes.grid(axis="y", color="#e6e6e6", linewidth=0.6)
        axes.set_axisbelow(True)
        drawing.legend(loc="upper left", ncols=3, frameon=False, handlelength=1.8)
        output = io.BytesIO()
        drawing.savefig(output, format="svg", metadata=dict.fromkeys(_METADATA))
    text = output.getvalue().decode()
    return text[text.index("<svg") :]


def _line(
    axes: axes_module.Axes, values: dict[int, float], colour: str, style: str, mark: str, label: str
) -> None:
    hours = range(min(values, default=0), max(values, default=-1) + 1)
    axes.plot(
        [hour + 0.5 for hour in hours],
        [values.get(hour, math.nan) for hour in hours],
        color=colour,
        linestyle=style,
        marker=mark,
        markersize=2.6,
        linewidth=1.4,
        label=label,
    )
