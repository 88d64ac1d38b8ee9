"""Skew across ranks and moved bytes of expert placement, on a dawn rush and on steady drift.

Policies see the tokens of past periods only. A plan made at the end of a period is in force in the
next one, and its loads fit into half of the period at the rate of the weight store.
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
"""A store rate of 1 GB/s for a model of 61 layers."""

SLOW_RANK = 3
SLOW_RATE = 0.7
SLOW_FROM = 15
DAWN = range(10, 30)
CASES = ((8, 0.25), (16, 0.25), (32, 0.25), (32, 0.5))
"""Ranks, and spare memory as a share of the memory that holds every expert once. At 32 ranks a half
is one spare expert a layer and rank."""

SEED = 7


class Policy(typing.Protocol):
    """Chooses the map of the next period."""

    def __call__(
        self,
        current: expert_placement.ExpertMap,
        popularity: expert_popularity.Popularity,
        group: expert_placement.Group,
    ) -> tuple[expert_placement.ExpertMap, int]:
        """Return the next map and the bytes moved for it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of one run."""

    mean_skew: float
    """Mean over the measured periods."""
    worst_skew: float
    """Largest skew of a measured period."""
    moved_bytes: int
    """Bytes served by the weight store over the run."""


def never(
    current: expert_placement.ExpertMap,
    popularity: expert_popularity.Popularity,
    group: expert_placement.Group,
) -> tuple[expert_placement.ExpertMap, int]:
    """Keep the first map."""
    return current, 0


def full(
    current: expert_placement.ExpertMap,
    popularity: expert_popularity.Popularity,
    group: expert_placement.Group,
) -> tuple[expert_placement.ExpertMap, int]:
    """Solve afresh in each period."""
    new = expert_placement.solve(popularity.loads(PERIOD_S), group)
    moved = 0
    for old_layer, new_layer in zip(current.layers, new.layers, strict=True):
        for old, replicas in zip(old_layer, new_layer, strict=True):
            moved += len({r.rank for r in replicas} - {r.rank for r in old})
    return new, moved * group.expert_bytes


def incremental(
    current: expert_placement.ExpertMap,
    popularity: expert_popularity.Popularity,
    group: expert_placement.Group,
) -> tuple[expert_placement.ExpertMap, int]:
    """Apply the plan of `expert_placement`."""
    budget = int(group.store_bytes_s * PERIOD_S / 2)
    decision = expert_placement.plan(
        current, popularity.loads(PERIOD_S), group, popularity.validity_s(), budget
    )
    if isinstance(decision, expert_placement.Keep):
        return current, 0
    return decision.new_map, decision.moved_bytes


POLICIES: dict[str, Policy] = {"never": never, "full": full, "incremental": incremental}


def dawn_rush(rng: random.Random) -> Iterator[list[list[float]]]:
    """Yield the popularity by period: that of the night turns into an unlike one at dawn."""
    night = [[rng.gauss(0.0, 1.0) for _ in range(EXPERTS)] for _ in range(LAYERS)]
    day = [[0.3 * x + 0.95 * rng.gauss(0.0, 1.0) for x in layer] for layer in night]
    for period in range(PERIODS):
        part = 1.0 / (1.0 + math.exp(-(period - (DAWN.start + DAWN.stop) / 2) / 2.5))
        yield [
            _shares([a * (1 - part) + b * part for a, b in zip(x, y, strict=True)])
            for x, y in zip(night, day, strict=True)
        ]


def steady_drift(rng: random.Random) -> Iterator[list[list[float]]]:
    """Yield the popularity by period: it wanders at a constant pace."""
    logits = [[rng.gauss(0.0, 1.0) for _ in range(EXPERTS)] for _ in range(LAYERS)]
    for _ in range(PERIODS):
        yield [_shares(layer) for layer in logits]
        logits = [[0.995 * x + rng.gauss(0.0, 0.1) for x in layer] for layer in logits]


SCENARIOS = {"dawn_rush": dawn_rush, "steady_drift": steady_drift}


def run(scenario: str, policy: str, ranks: int, spare: float, seed: int = SEED) -> Result:
    """Run one policy.

    Args:
        scenario: Key of `SCENARIOS`.
        policy: Key of `POLICIES`.
        ranks: Size of the group.
        spare: Spare memory as a share of the memory that holds every expert once.
        seed: Seed of the popularity.

    Returns:
        Skew and moved bytes.
    """
    rng = random.Random(seed)
    group = new_group(ranks, spare)
    popularity = expert_popularity.new_popularity(LAYERS, EXPERTS)
    expert_map: expert_placement.ExpertMap | None = None
    measured = DAWN if scenario == "dawn_rush" else range(1, PERIODS)
    skews = []
    moved_bytes = 0
    for period, loads in enumerate(SCENARIOS[scenario](rng)):
        rates = tuple(
            SLOW_RATE if rank == SLOW_RANK and period >= SLOW_FROM else 1.0 for rank in range(ranks)
        )
        tokens = [[_sampled(share, ranks, rng) for share in layer] for layer in loads]
        popularity.observe(period * PERIOD_S, tokens)
        if expert_map is None:
            expert_map = expert_placement.solve(popularity.loads(), group)
        group = dataclasses.replace(group, rates=rates)
        if period in measured:
            skews.append(expert_placement.skew(expert_map, loads, group))
        expert_map, moved = POLICIES[policy](expert_map, popularity, group)
        moved_bytes += moved
    return Result(sum(skews) / len(skews), max(skews), moved_bytes)


def new_group(ranks: int, spare: float) -> expert_placement.Group:
    """Create a healthy group.

    Args:
        ranks: Size of the group.
        spare: Spare memory as a share of the memory that holds every expert once.

    Returns:
        The group.
    """
    slots = round(EXPERTS * LAYERS / ranks * (1.0 + spare))
    return expert_placement.Group(
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
        Skew and bytes of the dawn rush by ranks and spare memory.
    """
    bounds = figures.bounds("expert_placement")
    test = "tests/test_benchmark_placement.py::test_{}_of_the_dawn_rush[{}-{}]"
    measured = []
    for ranks, spare in CASES:
        full = run("dawn_rush", "full", ranks, spare, seed)
        result = run("dawn_rush", "incremental", ranks, spare, seed)
        size = f"{ranks} ranks, spare memory {spare}"
        measured += [
            figures.Figure(
                f"mean skew, {size}",
                result.mean_skew,
                "ratio",
                bounds["skew"],
                guard=test.format("skew", ranks, spare),
            ),
            figures.Figure(
                f"moved bytes beside full solving, {size}",
                result.moved_bytes / full.moved_bytes,
                "ratio",
                bounds["bytes_share"],
                guard=test.format("bytes", ranks, spare),
            ),
        ]
    return measured


def main() -> None:
    """Print all figures."""
    print(
        f"{'scenario':14}{'ranks':>6}{'spare':>7} {'policy':12}"
        f"{'mean':>8}{'worst':>8}{'GB':>9}{'of full':>9}"
    )
    for scenario in SCENARIOS:
        for ranks, spare in CASES:
            reference = 0
            for policy in ("full", "never", "incremental"):
                result = run(scenario, policy, ranks, spare)
                reference = reference or result.moved_bytes
                print(
                    f"{scenario:14}{ranks:6}{spare:7.2f} {policy:12}{result.mean_skew:8.3f}"
                    f"{result.worst_skew:8.3f}{result.moved_bytes / 1e9:9.1f}"
                    f"{result.moved_bytes / reference:9.3f}"
                )


def _shares(logits: list[float]) -> list[float]:
    weights = [math.exp(logit) for logit in logits]
    total = sum(weights)
    return [weight / total for weight in weights]


def _sampled(share: float, ranks: int, rng: random.Random) -> float:
    expected = share * ranks * TOKENS_PER_RANK
    return max(0.0, expected + rng.gauss(0.0, 1.0) * math.sqrt(expected))


if __name__ == "__main__":
    main()
