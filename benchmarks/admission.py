"""Goodput under overload, and fairness between a small and a large organisation.

Run with `python -m benchmarks.admission [seed]`.
"""

from __future__ import annotations

import dataclasses
import functools
import sys

from benchmarks import fakes, figures, fleet
from gentianpaddle_core import ids

MULTIPLES = (1.0, 1.5, 2.0, 3.0)
"""Offered loads as multiples of the capacity."""
SMALL_SHARE = 0.05
"""Load of the small organisation as a share of the capacity."""
LARGE = ids.OrganisationId("large")
SMALL = ids.OrganisationId("small")
SERVERS = 6
ENTRIES = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Goodput:
    """Goodput at one multiple of the capacity."""

    multiple: float
    """Offered load as a multiple of the capacity."""
    per_second: float
    """Calls in target per second."""
    of_peak: float
    """Goodput as a share of the highest goodput over all multiples."""
    refused: float
    """Share of the calls that were refused."""
    answered_in_target: float
    """Share in target of the calls that were not refused."""
    retry_after_median_s: float
    """Median of the retry-after times given to refused callers."""


@dataclasses.dataclass(frozen=True, slots=True)
class Fairness:
    """Shares in target while a large organisation overloads the fleet and a small one does not."""

    small_in_target: float
    large_in_target: float


def new_options(seed: int) -> fleet.RunOptions:
    """Return the options of a fleet small enough for a quick run at 3x load."""
    return fleet.RunOptions(seed=seed, servers=SERVERS, entries=ENTRIES, until_s=30.0)


def run_goodput(
    seed: int, multiples: tuple[float, ...] = MULTIPLES, mix: fakes.RequestMix = fleet.MIX
) -> list[Goodput]:
    """Measure goodput at several multiples of the capacity.

    Args:
        seed: Seed of the arrivals.
        multiples: Offered load as multiples of the capacity.
        mix: Classes and organisations of the calls.

    Returns:
        Goodput at each multiple, in the given order.
    """
    options = new_options(seed)
    capacity_per_s = fleet.capacity(options)
    runs = []
    for multiple in multiples:
        rate_per_s = capacity_per_s * multiple
        calls = fleet.Fleet(fleet.Policy.EXPECTED_TIME, options).run(
            functools.partial(_constant_rate, rate_per_s), rate_per_s, mix
        )
        runs.append((multiple, calls, fleet.summarise(calls, options.warm_up_s, options.until_s)))
    peak = max(summary.goodput_per_s for _, _, summary in runs)
    return [
        Goodput(
            multiple=multiple,
            per_second=summary.goodput_per_s,
            of_peak=summary.goodput_per_s / peak,
            refused=summary.refused,
            answered_in_target=summary.in_target / max(1e-9, 1.0 - summary.refused),
            retry_after_median_s=fleet.quantile(
                sorted(call.retry_after_s for call in calls if call.refused), 0.5
            ),
        )
        for multiple, calls, summary in runs
    ]


def run_fairness(seed: int, multiple: float = 2.0) -> Fairness:
    """Measure the share of calls in target of a small and a large organisation.

    Args:
        seed: Seed of the arrivals.
        multiple: Load of the large organisation as a multiple of the capacity.

    Returns:
        Share in target of the small and the large organisation.
    """
    options = new_options(seed)
    rate_per_s = fleet.capacity(options) * (multiple + SMALL_SHARE)
    mix = fakes.RequestMix({fleet.QUOTE: 1.0}, {LARGE: multiple, SMALL: SMALL_SHARE})
    calls = fleet.Fleet(fleet.Policy.EXPECTED_TIME, options).run(
        lambda _: rate_per_s, rate_per_s, mix
    )
    counted = [call for call in calls if call.arrived_s >= options.warm_up_s]
    return Fairness(
        small_in_target=fleet.share_in_target(
            [call for call in counted if call.organisation == SMALL]
        ),
        large_in_target=fleet.share_in_target(
            [call for call in counted if call.organisation == LARGE]
        ),
    )


def _constant_rate(rate_per_s: float, _: float) -> float:
    return rate_per_s


def measure(seed: int = 1) -> list[figures.Figure]:
    """Measure the figures that have bounds.

    Args:
        seed: Seed of the arrivals.

    Returns:
        Figures of goodput and fairness.
    """
    bounds = figures.bounds("admission")
    test_prefix = "tests/test_benchmark_routing.py::"
    measured = [
        figures.Figure(
            f"goodput at {each.multiple:g}x of peak",
            each.of_peak,
            "share",
            bounds["goodput_at_3x_of_peak_min"] if each.multiple == max(MULTIPLES) else None,
            figures.BoundKind.AT_LEAST,
            test_prefix + "test_goodput_under_overload",
        )
        for each in run_goodput(seed)
    ]
    fairness = run_fairness(seed)
    small = figures.Figure(
        "in target, small organisation beside a large one",
        fairness.small_in_target,
        "share",
        bounds["small_organisation_in_target_min"],
        figures.BoundKind.AT_LEAST,
        test_prefix + "test_small_organisation_beside_a_large_one",
    )
    return [*measured, small]


def main() -> None:
    """Print goodput at all multiples, and fairness."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for goodput in run_goodput(seed):
        print(goodput)
    print(run_fairness(seed))


if __name__ == "__main__":
    main()
