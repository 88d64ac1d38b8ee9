"""Resource usage by fleet size, from which the usage at the design size is extrapolated.

Run with `python -m benchmarks.capacity`. Daemons run over loopback. Each figure is a straight line
fitted over a few sizes. Processor time is that of the measured process alone. The results are
written to `build/capacity.json`.
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

AGENT_COUNTS = (2, 8, 16, 32, 48)
ENTRY_COUNTS = (1, 3, 9)
CONFIGURATION_ENTRY_COUNTS = (4, 8)
CONFIGURATION_CHANGES = 4
FIXED_AGENTS = 16
MEMBER_COUNTS = (100, 360, 1_000, 2_360)
MEMBERSHIP_COUNTS = (8, 64, 360)
EXCHANGE_COST_COUNTS = (8, 64, 360, 2_360)
SETTLE_S = 6.0
"""Time before measuring, as records of new members still spread for some seconds after joining."""
WINDOW_S = 3.0
WINDOW_COUNT = 2
OUTPUT = pathlib.Path("build/capacity.json")


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """A straight line through measured points."""

    name: str
    """Measured quantity with its unit, and the size it is measured against."""
    x: tuple[float, ...]
    """Sizes, with one item for each measurement."""
    y: tuple[float, ...]
    """Measured value at each item of `x`."""
    slope: float
    """Change of the value per unit of size."""
    intercept: float
    """Fitted value at size 0."""
    error: float
    """Standard deviation of the residuals."""


@dataclasses.dataclass(frozen=True, slots=True)
class IdleUsage:
    """Mean resource usage of an idle process."""

    processor_ms_s: float
    resident_mb: float
    sent_bytes_s: float
    received_bytes_s: float


def fit(name: str, points: Iterable[tuple[float, float]]) -> Line:
    """Fit a straight line by least squares.

    Args:
        name: Name of the figure.
        points: Pairs of size and value.

    Returns:
        Fitted line.
    """
    pairs = list(points)
    x, y = (np.array([pair[axis] for pair in pairs]) for axis in (0, 1))
    slope, intercept = np.polyfit(x, y, 1)
    degrees_of_freedom = max(1, len(pairs) - 2)
    error = float(np.sqrt(np.sum((y - slope * x - intercept) ** 2) / degrees_of_freedom))
    return Line(
        name, tuple(map(float, x)), tuple(map(float, y)), float(slope), float(intercept), error
    )


def measure_idle(fleet: capacity_fleet.Fleet, vms: list[str]) -> list[IdleUsage]:
    """Measure idle processes over `WINDOW_COUNT` windows.

    Args:
        fleet: Fleet of the processes.
        vms: VMs of the processes.

    Returns:
        Usage in each window, as the mean over the processes.
    """
    time.sleep(SETTLE_S)
    windows = []
    for _ in range(WINDOW_COUNT):
        started_s, before = time.monotonic(), fleet.usage(vms)
        time.sleep(WINDOW_S)
        elapsed_s, after = time.monotonic() - started_s, fleet.usage(vms)
        pairs = [(before[vm], after[vm]) for vm in vms]
        windows.append(
            IdleUsage(
                _mean_rate([(a.processor_ms, b.processor_ms) for a, b in pairs], elapsed_s),
                statistics.fmean(b.resident_mb for _, b in pairs),
                _mean_rate([(a.sent_bytes, b.sent_bytes) for a, b in pairs], elapsed_s),
                _mean_rate([(a.received_bytes, b.received_bytes) for a, b in pairs], elapsed_s),
            )
        )
    return windows


def entry_lines_by_agents(directory: pathlib.Path) -> list[Line]:
    """Measure one idle entry with a growing number of agents."""
    points: list[tuple[float, IdleUsage]] = []
    messages: list[tuple[float, float]] = []
    with capacity_fleet.Fleet(directory) as fleet:
        for agents in AGENT_COUNTS:
            fleet.grow_to(1, agents)
            started_s, before = time.monotonic(), sum(fleet.control_bytes_by_kind().values())
            points += [(agents, each) for each in measure_idle(fleet, ["entry0"])]
            sent = sum(fleet.control_bytes_by_kind().values()) - before
            messages.append((agents, sent / (time.monotonic() - started_s)))
    lines = _idle_lines("entry at rest", "agents", points)
    return [*lines, fit("entry at rest: message bytes sent/s by agents", messages)]


def agent_lines_by_entries(directory: pathlib.Path) -> list[Line]:
    """Measure idle agents and configuration change times with a growing number of entries."""
    points: list[tuple[float, IdleUsage]] = []
    entry_points: list[tuple[float, IdleUsage]] = []
    calls: list[tuple[float, float]] = []
    changes: list[tuple[float, float]] = []
    with capacity_fleet.Fleet(directory) as fleet:
        for entries in sorted({*ENTRY_COUNTS, *CONFIGURATION_ENTRY_COUNTS}):
            fleet.grow_to(entries, FIXED_AGENTS)
            if entries in CONFIGURATION_ENTRY_COUNTS:
                changes += [
                    (entries, _configuration_change_s(fleet, n))
                    for n in range(CONFIGURATION_CHANGES)
                ]
            if entries not in ENTRY_COUNTS:
                continue
            started_s, before = time.monotonic(), fleet.store.calls_by_kind.total()
            points += [(entries, each) for each in measure_idle(fleet, fleet.vms("agent"))]
            made = fleet.store.calls_by_kind.total() - before
            calls.append((entries, made / (time.monotonic() - started_s)))
            entry_points += [(entries, each) for each in measure_idle(fleet, fleet.vms("entry"))]
    return [
        *_idle_lines("agent at rest", "entries", points),
        *_idle_lines(f"entry at rest with {FIXED_AGENTS} agents", "entries", entry_points),
        fit("object API calls/s by entries", calls),
        fit(f"s until a change is in force, {FIXED_AGENTS} agents, by entries", changes),
    ]


def member_memory_lines() -> list[Line]:
    """Measure the memory of a membership table over the number of members."""
    memory = []
    for size in MEMBER_COUNTS:
        record = membership_fleet.Fleet(1, 1).members[0].exchanger.table.own
        table = membership_fleet.Fleet(1, 1).members[0].exchanger.table
        tracemalloc.start()
        for number in range(size):
            vm = type(record.vm)(f"{record.vm}-{number}")
            table.merge(dataclasses.replace(record, vm=vm, port=number + 1), 1_000.0)
        memory.append((size, tracemalloc.get_traced_memory()[0] / 1e3))
        tracemalloc.stop()
    return [fit("KB of Python objects by members", memory)]


def exchange_cost_lines() -> list[Line]:
    """Measure the processor time of one exchange on the client and the server."""
    costs = [
        (size, capacity_wire.measure_exchange_cost(size))
        for size in EXCHANGE_COST_COUNTS
        for _ in range(3)
    ]
    return [
        fit(f"one exchange: processor ms of the {side} by members", points)
        for side, points in (
            ("client", [(size, cost.client_ms) for size, cost in costs]),
            ("server", [(size, cost.server_ms) for size, cost in costs]),
        )
    ]


def run_membership(size: int) -> membership.Figures:
    """Run the membership benchmark with a number of members."""
    return membership.run(size, 1)


def membership_lines(results: list[membership.Figures]) -> list[Line]:
    """Fit lines to the figures of the membership benchmark."""
    named: dict[str, Callable[[membership.Figures], float]] = {
        "processor ms/s": lambda each: each.processor_ms_s,
        "bytes/s sent and received": lambda each: each.rest_both_bytes_s,
        "peak bytes/s sent and received": lambda each: each.peak_both_bytes_s,
        "s until a revision is everywhere": lambda each: each.revision_s,
        "s until a leaving mark is everywhere": lambda each: each.leaving_s,
    }
    return [
        fit(
            f"exchange, virtual time: {name} by members",
            [(result.members, value_of(result)) for result in results],
        )
        for name, value_of in named.items()
    ]


def measure_data_path(directory: pathlib.Path) -> tuple[list[capacity_load.PointSeries], list[str]]:
    """Measure the data path; runs in a process of its own, concurrently with the other parts.

    Args:
        directory: Directory in which a subdirectory for settings files is created.

    Returns:
        Measured points, and notes on the run.
    """
    own_directory = directory / "load"
    own_directory.mkdir()
    notes: list[str] = []
    return list(capacity_load.measure_load(own_directory, notes)), notes


def _idle_lines(name: str, size_name: str, points: list[tuple[float, IdleUsage]]) -> list[Line]:
    return [
        fit(f"{name}: {unit} by {size_name}", [(size, getattr(use, field)) for size, use in points])
        for unit, field in (
            ("processor ms/s", "processor_ms_s"),
            ("resident MB", "resident_mb"),
            ("TCP bytes/s sent", "sent_bytes_s"),
            ("TCP bytes/s received", "received_bytes_s"),
        )
    ]


def _configuration_change_s(fleet: capacity_fleet.Fleet, number: int) -> float:
    started_s = time.monotonic()
    label = f"{len(fleet.process_by_vm)}-{number}"
    status, body = fleet.put_configuration(capacity_fleet.declaration(0, label))
    if status != 200:
        raise AssertionError(f"the change was refused: {body!r}")
    capacity_fleet.wait_until(lambda: all(map(fleet.has_converged, fleet.entry_urls)), 0.02)
    return time.monotonic() - started_s


def _mean_rate(pairs: list[tuple[float, float]], elapsed_s: float) -> float:
    return statistics.fmean(after - before for before, after in pairs) / elapsed_s


def main() -> None:
    """Measure all parts, print the fitted lines and write them to `OUTPUT`."""
    started_s = time.monotonic()
    lines: list[Line] = []
    with (
        tempfile.TemporaryDirectory() as name,
        concurrent.futures.ProcessPoolExecutor(2) as pool,
    ):
        directory = pathlib.Path(name)
        data_path_future = pool.submit(measure_data_path, directory)
        membership_futures = [pool.submit(run_membership, size) for size in MEMBERSHIP_COUNTS]
        part_functions: list[Callable[[], list[Line]]] = [
            lambda: agent_lines_by_entries(directory),
            lambda: entry_lines_by_agents(directory),
            member_memory_lines,
            exchange_cost_lines,
        ]
        for measure_part in part_functions:
            lines += _print_lines(measure_part())
        data_path_points, notes = data_path_future.result()
        lines += _print_lines([fit(points.name, points.pairs) for points in data_path_points])
        lines += _print_lines(membership_lines([each.result() for each in membership_futures]))
    for note in notes:
        sys.stdout.write(f"note: {note}\n")
    OUTPUT.parent.mkdir(exist_ok=True)
    document = {"lines": [dataclasses.asdict(line) for line in lines], "notes": notes}
    OUTPUT.write_text(json.dumps(document, indent=1))
    sys.stdout.write(f"{OUTPUT} written after {time.monotonic() - started_s:.0f} s\n")


def _print_lines(lines: list[Line]) -> list[Line]:
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
