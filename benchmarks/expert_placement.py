"""Load skew and moved bytes of expert placement, under a dawn rush and under steady drift.

Policies see the token counts of past periods only. A plan made at the end of a period is in force
in the next one; the bytes it loads fit into half a period at the rate of the weight store.
"""

from __future__ import annotations

import dataclasses
import math
import random
import typing
from collections.abc import Iterator

from benchmarks import figures
from gentianpaddle_core import expert_placement, expert_popularity

EXPERTS = 64
LAYERS = 8
PERIOD_S = 60.0
PERIODS = 40
TOKENS_PER_RANK = 200_000
EXPERT_BYTES = 44_000_000
STORE_BYTES_S = 1e9 * LAYERS / 61
"""Share of the simulated layers in a store rate of 1 GB/s for a model of 61 layers."""

SLOW_RANK = 3
SLOW_RANK_RATE = 0.7
"""Rate of the slow rank relative to a healthy one."""
SLOW_FROM_PERIOD = 15
"""Period from which the slow rank is slow."""
DAWN_PERIODS = range(10, 30)
"""Periods of the dawn rush over which skew is measured."""
RANKS_AND_SPARE_MEMORY = ((8, 0.25), (16, 0.25), (32, 0.25), (32, 0.5))
"""Pairs of ranks and spare memory as a share of the memory that holds every expert once.

At 32 ranks, 0.5 is one spare expert per layer and rank.
"""

SEED = 7


class PlacementPolicy(typing.Protocol):
    """Chooses the expert map of the next period."""

    def __call__(
        self,
        current: expert_placement.ExpertMap,
        popularity: expert_popularity.PopularityPredictor,
        group: expert_placement.RankGroup,
    ) -> tuple[expert_placement.ExpertMap, int]:
        """Return the next map, and the bytes that the weight store serves for it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Figures of one run."""

    mean_skew: float
    """Mean skew of the measured periods."""
    worst_skew: float
    """Largest skew of a measured period."""
    moved_bytes: int
    """Bytes that the weight store served over the run."""


def keep_first_map(
    current: expert_placement.ExpertMap,
    popularity: expert_popularity.PopularityPredictor,
    group: expert_placement.RankGroup,
) -> tuple[expert_placement.ExpertMap, int]:
    """Keep the first map."""
    return current, 0


def solve_each_period(
    current: expert_placement.ExpertMap,
    popularity: expert_popularity.PopularityPredictor,
    group: expert_placement.RankGroup,
) -> tuple[expert_placement.ExpertMap, int]:
    """Solve the placement from scratch in each period."""
    new = expert_placement.place_from_scratch(popularity.predicted_shares(PERIOD_S), group)
    moved = 0
    for old_layer, new_layer in zip(current.layers, new.layers, strict=True):
        for old, replicas in zip(old_layer, new_layer, strict=True):
            moved += len({r.rank for r in replicas} - {r.rank for r in old})
    return new, moved * group.expert_bytes


def apply_plan(
    current: expert_placement.ExpertMap,
    popularity: expert_popularity.PopularityPredictor,
    group: expert_placement.RankGroup,
) -> tuple[expert_placement.ExpertMap, int]:
    """Apply the incremental plan of `expert_placement.plan`."""
    budget_bytes = int(group.store_bytes_s * PERIOD_S / 2)
    decision = expert_placement.plan(
        current, popularity.predicted_shares(PERIOD_S), group, popularity.validity_s(), budget_bytes
    )
    if isinstance(decision, expert_placement.NoChange):
        return current, 0
    return decision.new_map, decision.moved_bytes


POLICY_BY_NAME: dict[str, PlacementPolicy] = {
    "never": keep_first_map,
    "full": solve_each_period,
    "incremental": apply_plan,
}


def dawn_rush(rng: random.Random) -> Iterator[list[list[float]]]:
    """Yield the expert popularity by period, which shifts at dawn from a night to a day pattern."""
    night = [[rng.gauss(0.0, 1.0) for _ in range(EXPERTS)] for _ in range(LAYERS)]
    # Correlated with the night, at about the same variance: 0.3 ** 2 + 0.95 ** 2 is about 1.
    day = [[0.3 * x + 0.95 * rng.gauss(0.0, 1.0) for x in layer] for layer in night]
    for period in range(PERIODS):
        # Logistic transition in the middle of the dawn rush with a time constant of 2.5 periods.
        day_weight = 1.0 / (
            1.0 + math.exp(-(period - (DAWN_PERIODS.start + DAWN_PERIODS.stop) / 2) / 2.5)
        )
        yield [
            _softmax([a * (1 - day_weight) + b * day_weight for a, b in zip(x, y, strict=True)])
            for x, y in zip(night, day, strict=True)
        ]


def steady_drift(rng: random.Random) -> Iterator[list[list[float]]]:
    """Yield the expert popularity by period, which drifts at a constant rate."""
    logits = [[rng.gauss(0.0, 1.0) for _ in range(EXPERTS)] for _ in range(LAYERS)]
    for _ in range(PERIODS):
        yield [_softmax(layer) for layer in logits]
        # The variance stays at about 1: 0.995 ** 2 + 0.1 ** 2 is about 1.
        logits = [[0.995 * x + rng.gauss(0.0, 0.1) for x in layer] for layer in logits]


POPULARITY_BY_SCENARIO = {"dawn_rush": dawn_rush, "steady_drift": steady_drift}


def run(scenario: str, policy: str, ranks: int, spare: float, seed: int = SEED) -> Result:
    """Run one policy.

    Args:
        scenario: Key of `POPULARITY_BY_SCENARIO`.
        policy: Key of `POLICY_BY_NAME`.
        ranks: Number of ranks in the group.
        spare: Spare memory as a share of the memory that holds every expert once.
        seed: Seed of the popularity.

    Returns:
        Skew over the measured periods, and moved bytes.
    """
    rng = random.Random(seed)
    group = new_group(ranks, spare)
    popularity = expert_popularity.new_popularity_predictor(LAYERS, EXPERTS)
    expert_map: expert_placement.ExpertMap | None = None
    measured = DAWN_PERIODS if scenario == "dawn_rush" else range(1, PERIODS)
    skews = []
    moved_bytes = 0
    for period, loads in enumerate(POPULARITY_BY_SCENARIO[scenario](rng)):
        rates = tuple(
            SLOW_RANK_RATE if rank == SLOW_RANK and period >= SLOW_FROM_PERIOD else 1.0
            for rank in range(ranks)
        )
        tokens = [[_sample_tokens(share, ranks, rng) for share in layer] for layer in loads]
        popularity.observe(period * PERIOD_S, tokens)
        if expert_map is None:
            expert_map = expert_placement.place_from_scratch(popularity.predicted_shares(), group)
        group = dataclasses.replace(group, rates=rates)
        if period in measured:
            skews.append(expert_placement.skew(expert_map, loads, group))
        expert_map, moved = POLICY_BY_NAME[policy](expert_map, popularity, group)
        moved_bytes += moved
    return Result(sum(skews) / len(skews), max(skews), moved_bytes)


def new_group(ranks: int, spare: float) -> expert_placement.RankGroup:
    """Create a group in which all ranks run at full rate.

    Args:
        ranks: Number of ranks in the group.
        spare: Spare memory as a share of the memory that holds every expert once.

    Returns:
        New group.
    """
    slots = round(EXPERTS * LAYERS / ranks * (1.0 + spare))
    return expert_placement.RankGroup(
        rates=(1.0,) * ranks,
        memory_bytes=(slots * EXPERT_BYTES,) * ranks,
        expert_bytes=EXPERT_BYTES,
        store_bytes_s=STORE_BYTES_S,
        reserve_bytes=EXPERT_BYTES,
    )


def measure(seed: int = SEED) -> list[figures.Figure]:
    """Measure the figures that have bounds.

    Args:
        seed: Seed of the popularity.

    Returns:
        Mean skew and moved bytes of the dawn rush at each of `RANKS_AND_SPARE_MEMORY`.
    """
    bounds = figures.bounds("expert_placement")
    test = "tests/test_benchmark_placement.py::test_{}_of_the_dawn_rush[{}-{}]"
    measured = []
    for ranks, spare in RANKS_AND_SPARE_MEMORY:
        full_result = run("dawn_rush", "full", ranks, spare, seed)
        result = run("dawn_rush", "incremental", ranks, spare, seed)
        case = f"{ranks} ranks, spare memory {spare}"
        measured += [
            figures.Figure(
                f"mean skew, {case}",
                result.mean_skew,
                "ratio",
                bounds["skew"],
                guard_test=test.format("skew", ranks, spare),
            ),
            figures.Figure(
                f"moved bytes beside full solving, {case}",
                result.moved_bytes / full_result.moved_bytes,
                "ratio",
                bounds["bytes_share"],
                guard_test=test.format("bytes", ranks, spare),
            ),
        ]
    return measured


def main() -> None:
    """Print the figures of all scenarios, cases and policies."""
    print(
        f"{'scenario':14}{'ranks':>6}{'spare':>7} {'policy':12}"
        f"{'mean':>8}{'worst':>8}{'GB':>9}{'of full':>9}"
    )
    for scenario in POPULARITY_BY_SCENARIO:
        for ranks, spare in RANKS_AND_SPARE_MEMORY:
            full_moved_bytes = 0
            for policy in ("full", "never", "incremental"):
                result = run(scenario, policy, ranks, spare)
                full_moved_bytes = full_moved_bytes or result.moved_bytes
                print(
                    f"{scenario:14}{ranks:6}{spare:7.2f} {policy:12}{result.mean_skew:8.3f}"
                    f"{result.worst_skew:8.3f}{result.moved_bytes / 1e9:9.1f}"
                    f"{result.moved_bytes / full_moved_bytes:9.3f}"
                )


def _softmax(logits: list[float]) -> list[float]:
    weights = [math.exp(logit) for logit in logits]
    total = sum(weights)
    return [weight / total for weight in weights]


def _sample_tokens(share: float, ranks: int, rng: random.Random) -> float:
    expected = share * ranks * TOKENS_PER_RANK
    return max(0.0, expected + rng.gauss(0.0, 1.0) * math.sqrt(expected))


if __name__ == "__main__":
    main()
