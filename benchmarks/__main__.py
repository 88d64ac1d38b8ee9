"""Runs all benchmarks, compares them with their bounds and writes a page.

Run with `python -m benchmarks`. Every module of this package that has `measure` takes part. The
page is `build/bench/index.html`. Exit code 1 after a miss that `KNOWN-RED.txt` does not list.
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
CAPACITY = pathlib.Path("build/capacity.json")
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
CHART_LIMIT = 3.0
"""Longest bar of a chart, as a multiple of the bound."""


def names() -> list[str]:
    """Return the modules of this package that have `measure`."""
    found = (item.name for item in pkgutil.iter_modules(benchmarks.__path__))
    others = [name for name in found if name != "__main__"]
    return [
        name for name in others if hasattr(importlib.import_module(f"benchmarks.{name}"), "measure")
    ]


def measure(name: str) -> tuple[list[figures.Figure], float]:
    """Run one benchmark.

    Args:
        name: Module.

    Returns:
        Its figures and the seconds it took.
    """
    began_s = time.monotonic()
    found: list[figures.Figure] = importlib.import_module(f"benchmarks.{name}").measure()
    return found, time.monotonic() - began_s


def verdict(figure: figures.Figure, known_red: frozenset[str]) -> str:
    """Compare a figure with its bound.

    Args:
        figure: The figure.
        known_red: Tests that are known to fail.

    Returns:
        `reported`, `met`, `known red` or `MISSED`.
    """
    if figure.bound is None:
        return "reported"
    if not figure.missed:
        return "met"
    return "known red" if figure.guard in known_red else "MISSED"


def _known_red() -> frozenset[str]:
    if not KNOWN_RED.exists():
        return frozenset()
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    return frozenset(line.strip() for line in lines if line and not line.startswith(" "))


def _chart(name: str, found: list[figures.Figure]) -> None:
    """Draw each figure with a bound as a multiple of it."""
    bounded = [each for each in found if each.bound]
    if not bounded:
        return
    ratios = [min(CHART_LIMIT, each.value / (each.bound or 1.0)) for each in bounded]
    colours = ["firebrick" if each.missed else "seagreen" for each in bounded]
    labels = [f"{each.name} ({each.sense})" for each in bounded]
    drawn, axes = pyplot.subplots(figsize=(9, 0.9 + 0.35 * len(bounded)))
    axes.barh(labels[::-1], ratios[::-1], color=colours[::-1])
    axes.axvline(1.0, color="black", linewidth=1)
    axes.set_xlabel("value / bound")
    drawn.tight_layout()
    drawn.savefig(OUTPUT / f"{name}.svg")
    pyplot.close(drawn)


def _capacity_chart() -> bool:
    """Draw the lines of the last `python -m benchmarks.capacity`."""
    if not CAPACITY.exists():
        return False
    lines = json.loads(CAPACITY.read_text(encoding="utf-8"))["lines"]
    columns = 3
    rows = -(-len(lines) // columns)
    drawn, grid = pyplot.subplots(rows, columns, figsize=(15, 2.6 * rows), squeeze=False)
    for axes in grid.flat[len(lines) :]:
        axes.axis("off")
    for axes, line in zip(grid.flat, lines, strict=False):
        ends = [0.0, max(line["x"])]
        axes.plot(line["x"], line["y"], "o")
        axes.plot(ends, [line["intercept"] + line["slope"] * end for end in ends], "-")
        axes.set_title(line["name"], fontsize=8)
    drawn.tight_layout()
    drawn.savefig(OUTPUT / "capacity.svg")
    pyplot.close(drawn)
    return True


def _row(figure: figures.Figure, outcome: str) -> str:
    bound = "" if figure.bound is None else f"{figure.sense} {figure.bound:g}"
    cells = (figure.name, f"{figure.value:.4g}", figure.unit, bound, outcome)
    return "<tr>" + "".join(f"<td>{html.escape(cell)}</td>" for cell in cells) + "</tr>"


def _section(name: str, found: list[figures.Figure], took_s: float, known: frozenset[str]) -> str:
    _chart(name, found)
    rows = "\n".join(_row(each, verdict(each, known)) for each in found)
    image = f'<img src="{name}.svg" alt="{name}">' if any(each.bound for each in found) else ""
    heads = "".join(f"<th>{head}</th>" for head in ("figure", "value", "unit", "bound", "result"))
    return (
        f"<h2>{name}</h2><p>{took_s:.0f} s</p><table><tr>{heads}</tr>\n{rows}\n</table>\n{image}\n"
    )


def main() -> int:
    """Run all benchmarks.

    Returns:
        Exit code.
    """
    OUTPUT.mkdir(parents=True, exist_ok=True)
    known = _known_red()
    sections = []
    missed = 0
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        running = {name: pool.submit(measure, name) for name in names()}
        for name, future in running.items():
            found, took_s = future.result()
            sections.append(_section(name, found, took_s, known))
            for each in found:
                outcome = verdict(each, known)
                missed += outcome == "MISSED"
                bound = "" if each.bound is None else f" ({each.sense} {each.bound:g})"
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
    sys.stdout.write(f"{OUTPUT / 'index.html'} written, {missed} bounds missed\n")
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
