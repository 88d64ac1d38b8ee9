"""Goodput under overload, and a small organisation beside a large one.

Run with `python -m benchmarks.admission [seed]`.
"""

from __future__ import annotations

import dataclasses
import functools
import sys

from benchmarks import fakes, figures, fleet
from gentianpaddle_core import ids

MULTIPLES = (1.0, 1.5, 2.0, 3.0)
SMALL_SHARE = 0.05
LARGE = ids.OrganisationId("large")
SMALL = ids.OrganisationId("small")
SERVERS = 6
ENTRIES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Goodput:
    """Calls in target at a multiple of the capacity."""

    multiple: float
    per_second: float
    of_peak: float
    """Share of the best goodput over all multiples."""
    refused: float
    answered_in_target: float
    """Share in target of the calls that were not refused."""
    retry_after_median_s: float
    """Median of the advice to refused callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fairness:
    """A small organisation within its share while a large one overloads the fleet."""

    small_in_target: float
    large_in_target: float


def shape(seed: int) -> fleet.Shape:
    """Fleet of these benchmarks, small enough for a quick run at 3x load."""
    return fleet.Shape(seed=seed, servers=SERVERS, entries=ENTRIES, until_s=30.0)


def run_goodput(
    seed: int, multiples: tuple[float, ...] = MULTIPLES, mix: fakes.Mix = fleet.MIX
) -> list[Goodput]:
    """Measure goodput at several multiples of the capacity.

    Args:
        seed: Seed of the arrivals.
        multiples: Offered load as multiples of the capacity.
        mix: What callers send.

    Returns:
        Figures by multiple.
    """
    size = shape(seed)
    full = fleet.capacity(size)
    runs = []
    for multiple in multiples:
        rate = full * multiple
        calls = fleet.Fleet(fleet.Policy.EXPECTED_TIME, size).run(
            functools.partial(_constant, rate), rate, mix
        )
        runs.append((multiple, calls, fleet.figures(calls, size.warm_up_s, size.until_s)))
    peak = max(figures.goodput for _, _, figures in runs)
    return [
        Goodput(
            multiple=multiple,
            per_second=figures.goodput,
            of_peak=figures.goodput / peak,
            refused=figures.refused,
            answered_in_target=figures.in_target / max(1e-9, 1.0 - figures.refused),
            retry_after_median_s=fleet.quantile(
                sorted(call.retry_after_s for call in calls if call.refused), 0.5
            ),
        )
        for multiple, calls, figures in runs
    ]


def run_fairness(seed: int, multiple: float = 2.0) -> Fairness:
    """Measure the share in target of each organisation.

    Args:
        seed: Seed of the arrivals.
        multiple: Load of the large organisation as a multiple of the capacity.

    Returns:
        Share in target of the small and the large organisation.
    """
    size = shape(seed)
    rate = fleet.capacity(size) * (multiple + SMALL_SHARE)
    mix = fakes.Mix({fleet.QUOTE: 1.0}, {LARGE: multiple, SMALL: SMALL_SHARE})
    calls = fleet.Fleet(fleet.Policy.EXPECTED_TIME, size).run(lambda _: rate, rate, mix)
    counted = [call for call in calls if call.arrived_s >= size.warm_up_s]
    return Fairness(
        small_in_target=fleet.share([call for call in counted if call.organisation == SMALL]),
        large_in_target=fleet.share([call for call in counted if call.organisation == LARGE]),
    )


def _constant(rate: float, _: float) -> float:
    return rate


def measure(seed: int = 1) -> list[figures.Figure]:
    """Measure the figures that have bounds.

    Args:
        seed: Seed of the arrivals.

    Returns:
        Figures of goodput and fairness.
    """
    bounds = figures.bounds("admission")
    guard = "tests/test_benchmark_routing.py::"
    measured = [
        figures.Figure(
            f"goodput at {each.multiple:g}x of peak",
            each.of_peak,
            "share",
            bounds["goodput_at_3x_of_peak_min"] if each.multiple == max(MULTIPLES) else None,
            figures.Sense.AT_LEAST,
            guard + "test_goodput_under_overload",
        )
        for each in run_goodput(seed)
    ]
    fairness = run_fairness(seed)
    small = figures.Figure(
        "in target, small organisation beside a large one",
        fairness.small_in_target,
        "share",
        bounds["small_organisation_in_target_min"],
        figures.Sense.AT_LEAST,
        guard + "test_small_organisation_beside_a_large_one",
    )
    return [*measured, small]


def main() -> None:
    """Run and print everything."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for goodput in run_goodput(seed):
        print(goodput)
    print(run_fairness(seed))


if __name__ == "__main__":
    main()
