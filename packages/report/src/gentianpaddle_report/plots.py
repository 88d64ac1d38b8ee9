"""Draws the plots of the evening page as inline SVG."""

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
"""Width of a plot. At the 390 px of a phone screen, 9 pt text is then about 9 px high."""

HEIGHT_INCHES = 2.1
AXES_RECTANGLE = (0.11, 0.12, 0.84, 0.74)
"""Left, bottom, width and height of the axes as shares of the figure. A fixed position takes less
processor time than a computed layout."""

P95_COLOUR = "#1b4965"
MEDIAN_COLOUR = "#5fa8d3"
TARGET_COLOUR = "#b00020"
UNREPORTED_COLOUR = "#d8d8d8"

_OMITTED_METADATA = ("Creator", "Date", "Format", "Type")
"""Metadata omitted from the SVG, so that equal figures give identical pages."""

_lock = threading.Lock()


@dataclasses.dataclass(frozen=True, slots=True)
class Series:
    """Hourly values of one latency of one class."""

    median_by_hour: dict[int, float]
    """Median by hour of the day."""
    p95_by_hour: dict[int, float]
    """95th percentile by hour of the day."""
    target: float | None
    """Declared target in `unit`, or None without one."""
    unit: str
    """Unit of all values, as the axis shows it."""


def draw(series: Series, unreported: Sequence[tuple[float, float]], last_hour: int = 24) -> str:
    """Draw a series over the day.

    Args:
        series: Values to draw.
        unreported: Start and end, in hours, of each period that is not fully reported.
        last_hour: End of the time axis in hours.

    Returns:
        An SVG element without XML prologue. It contains no text that comes from callers.
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
        axes = drawing.add_axes(AXES_RECTANGLE)
        for start, end in unreported:
            axes.axvspan(start, end, color=UNREPORTED_COLOUR, linewidth=0)
        _plot_line(axes, series.p95_by_hour, P95_COLOUR, "-", "o", "95 in 100 within")
        _plot_line(axes, series.median_by_hour, MEDIAN_COLOUR, "--", "s", "half within")
        if series.target is not None:
            axes.axhline(
                series.target, color=TARGET_COLOUR, linewidth=1.2, linestyle=":", label="target"
            )
        highest = max(
            [
                *series.p95_by_hour.values(),
                *series.median_by_hour.values(),
                series.target or 0.0,
            ]
        )
        axes.set_ylim(0.0, highest * 1.1 or 1.0)
        axes.set_xlim(0, last_hour)
        axes.set_xticks(range(0, last_hour + 1, 3), [f"{h:02}:00" for h in range(0, 25, 3)])
        axes.set_ylabel(series.unit)
        axes.spines[["top", "right"]].set_visible(False)
        axes.grid(axis="y", color="#e6e6e6", linewidth=0.6)
        axes.set_axisbelow(True)
        drawing.legend(loc="upper left", ncols=3, frameon=False, handlelength=1.8)
        output = io.BytesIO()
        drawing.savefig(output, format="svg", metadata=dict.fromkeys(_OMITTED_METADATA))
    text = output.getvalue().decode()
    return text[text.index("<svg") :]


def _plot_line(
    axes: axes_module.Axes,
    value_by_hour: dict[int, float],
    colour: str,
    line_style: str,
    marker: str,
    label: str,
) -> None:
    hours = range(min(value_by_hour, default=0), max(value_by_hour, default=-1) + 1)
    axes.plot(
        [hour + 0.5 for hour in hours],
        [value_by_hour.get(hour, math.nan) for hour in hours],
        color=colour,
        linestyle=line_style,
        marker=marker,
        markersize=2.6,
        linewidth=1.4,
        label=label,
    )
