"""Runs all benchmarks, compares the figures with their bounds and writes an HTML report.

Run with `python -m benchmarks`. Every module of this package that defines `measure` is run. The
report is `build/bench/index.html`. Exits with 1 if a figure misses its bound and `KNOWN-RED.txt`
does not list the test that guards it.
"""

from __future__ import annotations

import concurrent.futures
import html
import importlib
import json
import pathlib
import pkgutil
import sys
import time

import matplotlib

matplotlib.use("agg")

from matplotlib import pyplot

import benchmarks
from benchmarks import figures

WORKERS = 4
OUTPUT = pathlib.Path("build/bench")
CAPACITY_RESULTS = pathlib.Path("build/capacity.json")
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
CHART_LIMIT = 3.0
"""Value/bound ratio at which the bars of a chart are cut off."""


def benchmark_names() -> list[str]:
    """Return the names of the modules of this package that define `measure`."""
    module_names = (item.name for item in pkgutil.iter_modules(benchmarks.__path__))
    modules = [name for name in module_names if name != "__main__"]
    return [
        name
        for name in modules
        if hasattr(importlib.import_module(f"benchmarks.{name}"), "measure")
    ]


def run_benchmark(name: str) -> tuple[list[figures.Figure], float]:
    """Run one benchmark.

    Args:
        name: Name of the module in this package.

    Returns:
        Measured figures, and the run time in seconds.
    """
    started_s = time.monotonic()
    measured: list[figures.Figure] = importlib.import_module(f"benchmarks.{name}").measure()
    return measured, time.monotonic() - started_s


def verdict(figure: figures.Figure, known_red: frozenset[str]) -> str:
    """Compare a figure with its bound.

    Args:
        figure: The figure.
        known_red: Tests that are known to fail, as pytest node ids.

    Returns:
        `reported`, `met`, `known red` or `MISSED`.
    """
    if figure.bound is None:
        return "reported"
    if not figure.missed:
        return "met"
    return "known red" if figure.guard_test in known_red else "MISSED"


def _known_red_tests() -> frozenset[str]:
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(line.strip() for line in lines if line and not line.startswith(" "))


def _chart(name: str, measured: list[figures.Figure]) -> None:
    """Draw a bar chart of value/bound for the figures that have a bound."""
    bounded = [each for each in measured if each.bound]
    if not bounded:
        return
    ratios = [min(CHART_LIMIT, each.value / (each.bound or 1.0)) for each in bounded]
    colours = ["firebrick" if each.missed else "seagreen" for each in bounded]
    labels = [f"{each.name} ({each.bound_kind})" for each in bounded]
    drawing, axes = pyplot.subplots(figsize=(9, 0.9 + 0.35 * len(bounded)))
    axes.barh(labels[::-1], ratios[::-1], color=colours[::-1])
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set_xlabel("value / bound")
    drawing.tight_layout()
    drawing.savefig(OUTPUT / f"{name}.svg")
    pyplot.close(drawing)


def _capacity_chart() -> bool:
    """Draw the fitted lines of the last `python -m benchmarks.capacity`, if there are any."""
    if not CAPACITY_RESULTS.exists():
        return False
    lines = json.loads(CAPACITY_RESULTS.read_text(encoding="utf-8"))["lines"]
    columns = 3
    rows = -(-len(lines) // columns)
    drawing, grid = pyplot.subplots(rows, columns, figsize=(15, 2.6 * rows), squeeze=False)
    for axes in grid.flat[len(lines) :]:
        axes.axis("off")
    for axes, line in zip(grid.flat, lines, strict=False):
        line_ends = [0.0, max(line["x"])]
        axes.plot(line["x"], line["y"], "o")
        axes.plot(line_ends, [line["intercept"] + line["slope"] * end for end in line_ends], "-")
        axes.set_title(line["name"], fontsize=8)
    drawing.tight_layout()
    drawing.savefig(OUTPUT / "capacity.svg")
    pyplot.close(drawing)
    return True


def _row(figure: figures.Figure, outcome: str) -> str:
    bound = "" if figure.bound is None else f"{figure.bound_kind} {figure.bound:g}"
    cells = (figure.name, f"{figure.value:.4g}", figure.unit, bound, outcome)
    return "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells) + "</tr>"


def _section(
    name: str, measured: list[figures.Figure], run_s: float, known_red: frozenset[str]
) -> str:
    _chart(name, measured)
    rows = "\n".join(_row(each, verdict(each, known_red)) for each in measured)
    image = f'<img src="{name}.svg" alt="{name}">' if any(each.bound for each in measured) else ""
    headers = "".join(
        f"<th>{header}</th>" for header in ("figure", "value", "unit", "bound", "result")
    )
    return (
        f"<h2>{name}</h2><p>{run_s:.0f} s</p><table><tr>{headers}</tr>\n{rows}\n</table>\n{image}\n"
    )


def main() -> int:
    """Run all benchmarks and write the report.

    Returns:
        Exit code: 1 if a figure misses its bound and is not known red, otherwise 0.
    """
    OUTPUT.mkdir(parents=True, exist_ok=True)
    known_red = _known_red_tests()
    sections = []
    missed = 0
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        future_by_name = {name: pool.submit(run_benchmark, name) for name in benchmark_names()}
        for name, future in future_by_name.items():
            measured, run_s = future.result()
            sections.append(_section(name, measured, run_s, known_red))
            for each in measured:
                outcome = verdict(each, known_red)
                missed += outcome == "MISSED"
                bound = "" if each.bound is None else f" ({each.bound_kind} {each.bound:g})"
                sys.stdout.write(
                    f"{name}: {each.name}: {each.value:.4g} {each.unit}{bound}: {outcome}\n"
                )
            sys.stdout.flush()
    if _capacity_chart():
        sections.append('<h2>capacity</h2><img src="capacity.svg" alt="capacity">\n')
    style = "<style>body{font-family:sans-serif}td,th{padding:2px 8px;text-align:left}</style>"
    page = f"<!doctype html><meta charset='utf-8'><title>Benchmarks</title>{style}"
    page += "<h1>Benchmarks</h1>\n" + "".join(sections)
    (OUTPUT / "index.html").write_text(page, encoding="utf-8")
    sys.stdout.write(
        f"{OUTPUT / 'index.html'} written, {missed} bounds missed that are not known red\n"
    )
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
