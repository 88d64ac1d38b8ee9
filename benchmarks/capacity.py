"""Slopes that carry the design size, measured on real daemons over loopback.

Run with `python -m benchmarks.capacity`. Each figure is a straight line over a few sizes. Processor
time is that of the measured process alone. Results go to `build/capacity.json`.
"""

from __future__ import annotations

import concurrent.futures
import dataclasses
import json
import pathlib
import statistics
import sys
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterable

import numpy as np

from benchmarks import (
    capacity_fleet,
    capacity_load,
    capacity_wire,
    membership,
    membership_fleet,
)

LINK_SIZES = (2, 8, 16, 32, 48)
ENTRY_SIZES = (1, 3, 9)
CONFIGURATION_SIZES = (4, 8)
CONFIGURATION_CHANGES = 4
AGENTS = 16
MEMBER_SIZES = (100, 360, 1_000, 2_360)
EXCHANGE_SIZES = (8, 64, 360)
COST_SIZES = (8, 64, 360, 2_360)
SETTLE_S = 6.0
"""Members that have just joined are still spread for some seconds."""
WINDOW_S = 3.0
WINDOWS = 2
OUTPUT = pathlib.Path("build/capacity.json")


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A straight line through measured points."""

    name: str
    """What was measured, with its unit, against what."""
    x: tuple[float, ...]
    """Sizes, with one item for each repeat."""
    y: tuple[float, ...]
    """Measured values."""
    slope: float
    """Change of the value for one more."""
    intercept: float
    """Value at zero."""
    error: float
    """Standard deviation of the residuals."""


@dataclasses.dataclass(frozen=True, slots=True)
class Rest:
    """Use of one process at rest, by second."""

    processor_ms_s: float
    resident_mb: float
    sent_bytes_s: float
    received_bytes_s: float


def fit(name: str, points: Iterable[tuple[float, float]]) -> Line:
    """Fit a straight line by least squares.

    Args:
        name: Name of the figure.
        points: Sizes and values.

    Returns:
        The line.
    """
    pairs = list(points)
    x, y = (np.array([pair[axis] for pair in pairs]) for axis in (0, 1))
    slope, intercept = np.polyfit(x, y, 1)
    freedom = max(1, len(pairs) - 2)
    error = float(np.sqrt(np.sum((y - slope * x - intercept) ** 2) / freedom))
    return Line(
        name, tuple(map(float, x)), tuple(map(float, y)), float(slope), float(intercept), error
    )


def rest(fleet: capacity_fleet.Fleet, vms: list[str]) -> list[Rest]:
    """Measure processes at rest in some windows; the values of each are means over the processes.

    Args:
        fleet: Fleet that they belong to.
        vms: VMs of the processes.

    Returns:
        Use by window.
    """
    time.sleep(SETTLE_S)
    windows = []
    for _ in range(WINDOWS):
        began_s, before = time.monotonic(), fleet.usage(vms)
        time.sleep(WINDOW_S)
        passed_s, after = time.monotonic() - began_s, fleet.usage(vms)
        pairs = [(before[vm], after[vm]) for vm in vms]
        windows.append(
            Rest(
                _rate([(a.processor_ms, b.processor_ms) for a, b in pairs], passed_s),
                statistics.fmean(b.resident_mb for _, b in pairs),
                _rate([(a.sent_bytes, b.sent_bytes) for a, b in pairs], passed_s),
                _rate([(a.received_bytes, b.received_bytes) for a, b in pairs], passed_s),
            )
        )
    return windows


def links_of_an_entry(directory: pathlib.Path) -> list[Line]:
    """Measure one entry at rest with more and more agents."""
    points: list[tuple[float, Rest]] = []
    messages: list[tuple[float, float]] = []
    with capacity_fleet.Fleet(directory) as fleet:
        for agents in LINK_SIZES:
            fleet.grow(1, agents)
            began_s, before = time.monotonic(), sum(fleet.control_messages().values())
            points += [(agents, each) for each in rest(fleet, ["entry0"])]
            sent = sum(fleet.control_messages().values()) - before
            messages.append((agents, sent / (time.monotonic() - began_s)))
    lines = _rest_lines("entry at rest", "agents", points)
    return [*lines, fit("entry at rest: message bytes sent/s by agents", messages)]


def entries_of_an_agent(directory: pathlib.Path) -> list[Line]:
    """Measure agents at rest and the time of a configuration change with more and more entries."""
    points: list[tuple[float, Rest]] = []
    of_entries: list[tuple[float, Rest]] = []
    calls: list[tuple[float, float]] = []
    changes: list[tuple[float, float]] = []
    with capacity_fleet.Fleet(directory) as fleet:
        for entries in sorted({*ENTRY_SIZES, *CONFIGURATION_SIZES}):
            fleet.grow(entries, AGENTS)
            if entries in CONFIGURATION_SIZES:
                changes += [(entries, _change_s(fleet, n)) for n in range(CONFIGURATION_CHANGES)]
            if entries not in ENTRY_SIZES:
                continue
            began_s, before = time.monotonic(), fleet.store.calls_by_kind.total()
            points += [(entries, each) for each in rest(fleet, fleet.vms("agent"))]
            made = fleet.store.calls_by_kind.total() - before
            calls.append((entries, made / (time.monotonic() - began_s)))
            of_entries += [(entries, each) for each in rest(fleet, fleet.vms("entry"))]
    return [
        *_rest_lines("agent at rest", "entries", points),
        *_rest_lines(f"entry at rest with {AGENTS} agents", "entries", of_entries),
        fit("object API calls/s by entries", calls),
        fit(f"s until a change is in force, {AGENTS} agents, by entries", changes),
    ]


def members() -> list[Line]:
    """Measure memory and, from `benchmarks.membership`, the exchange over the number of members."""
    memory = []
    for size in MEMBER_SIZES:
        record = membership_fleet.Fleet(1, 1).members[0].exchanger.table.own
        one = membership_fleet.Fleet(1, 1).members[0].exchanger.table
        tracemalloc.start()
        for number in range(size):
            vm = type(record.vm)(f"{record.vm}-{number}")
            one.merge(dataclasses.replace(record, vm=vm, port=number + 1), 1_000.0)
        memory.append((size, tracemalloc.get_traced_memory()[0] / 1e3))
        tracemalloc.stop()
    return [fit("KB of Python objects by members", memory)]


def exchange_costs() -> list[Line]:
    """Measure the processor time of one exchange for each side."""
    costs = [(size, capacity_wire.exchange_cost(size)) for size in COST_SIZES for _ in range(3)]
    return [
        fit(f"one exchange: processor ms of the {side} by members", points)
        for side, points in (
            ("client", [(size, cost.client_ms) for size, cost in costs]),
            ("server", [(size, cost.server_ms) for size, cost in costs]),
        )
    ]


def exchange(size: int) -> membership.Figures:
    """Run the membership benchmark at one size."""
    return membership.run(size, 1)


def exchange_lines(figures: list[membership.Figures]) -> list[Line]:
    """Fit the figures of the membership benchmark."""
    named: dict[str, Callable[[membership.Figures], float]] = {
        "processor ms/s": lambda each: each.processor_ms_s,
        "bytes/s sent and received": lambda each: each.rest_both_bytes_s,
        "peak bytes/s sent and received": lambda each: each.peak_both_bytes_s,
        "s until a revision is everywhere": lambda each: each.revision_s,
        "s until a leaving mark is everywhere": lambda each: each.leaving_s,
    }
    return [
        fit(f"exchange, virtual time: {name} by members", [(f.members, read(f)) for f in figures])
        for name, read in named.items()
    ]


def load(directory: pathlib.Path) -> tuple[list[capacity_load.Points], list[str]]:
    """Measure the data path beside the other parts, in a process of its own.

    Args:
        directory: Directory in which it makes one of its own.

    Returns:
        Points and notes.
    """
    own = directory / "load"
    own.mkdir()
    notes: list[str] = []
    return list(capacity_load.measure_load(own, notes)), notes


def _rest_lines(name: str, by: str, points: list[tuple[float, Rest]]) -> list[Line]:
    return [
        fit(f"{name}: {unit} by {by}", [(size, getattr(use, field)) for size, use in points])
        for unit, field in (
            ("processor ms/s", "processor_ms_s"),
            ("resident MB", "resident_mb"),
            ("TCP bytes/s sent", "sent_bytes_s"),
            ("TCP bytes/s received", "received_bytes_s"),
        )
    ]


def _change_s(fleet: capacity_fleet.Fleet, number: int) -> float:
    began_s = time.monotonic()
    mark = f"{len(fleet.process_by_vm)}-{number}"
    status, body = fleet.apply(capacity_fleet.declaration(0, mark))
    if status != 200:
        raise AssertionError(f"the change was refused: {body!r}")
    capacity_fleet.wait_until(lambda: all(map(fleet.in_force, fleet.entry_urls)), 0.02)
    return time.monotonic() - began_s


def _rate(pairs: list[tuple[float, float]], passed_s: float) -> float:
    return statistics.fmean(after - before for before, after in pairs) / passed_s


def main() -> None:
    """Run everything, print the lines and write them."""
    began_s = time.monotonic()
    lines: list[Line] = []
    with (
        tempfile.TemporaryDirectory() as name,
        concurrent.futures.ProcessPoolExecutor(2) as pool,
    ):
        directory = pathlib.Path(name)
        loading = pool.submit(load, directory)
        running = [pool.submit(exchange, size) for size in EXCHANGE_SIZES]
        parts: list[Callable[[], list[Line]]] = [
            lambda: entries_of_an_agent(directory),
            lambda: links_of_an_entry(directory),
            members,
            exchange_costs,
        ]
        for part in parts:
            lines += _show(part())
        found, notes = loading.result()
        lines += _show([fit(points.name, points.pairs) for points in found])
        lines += _show(exchange_lines([each.result() for each in running]))
    for note in notes:
        sys.stdout.write(f"note: {note}\n")
    OUTPUT.parent.mkdir(exist_ok=True)
    document = {"lines": [dataclasses.asdict(line) for line in lines], "notes": notes}
    OUTPUT.write_text(json.dumps(document, indent=1))
    sys.stdout.write(f"{OUTPUT} written after {time.monotonic() - began_s:.0f} s\n")


def _show(lines: list[Line]) -> list[Line]:
    for line in lines:
        points = " ".join(f"{x:g}:{y:.4g}" for x, y in zip(line.x, line.y, strict=True))
        sys.stdout.write(
            f"{line.name}: slope {line.slope:.4g} intercept {line.intercept:.4g} "
            f"error {line.error:.3g} [{points}]\n"
        )
    sys.stdout.flush()
    return lines


if __name__ == "__main__":
    main()
