"""Layouts of experts: balance, what engines allow, and no copies that do not pay."""

from __future__ import annotations

import random

import pytest

from gentianpaddle_core.serving import expert_demand, expert_layout, routes

SHAPES = [
    (16, routes.ExpertShape(sets=1, experts=64, places=5, spare=2)),
    (72, routes.ExpertShape(sets=1, experts=144, places=3, spare=2)),
]


def skewed(experts: int, seed: int) -> list[float]:
    """Demand as on a busy day: a few experts get a tenth of it each."""
    shuffled = list(range(experts))
    random.Random(seed).shuffle(shuffled)
    demand = [0.0] * experts
    for place, expert in enumerate(shuffled):
        demand[expert] = 1.0 / (place + 1) ** 1.1 + 0.02
    return demand


def in_turn(ranks: int, experts: int) -> list[tuple[int, ...]]:
    return [tuple(range(rank, experts, ranks)) for rank in range(ranks)]


@pytest.mark.parametrize(("ranks", "shape"), SHAPES)
@pytest.mark.parametrize("seed", range(4))
def test_change_of_demand(ranks: int, shape: routes.ExpertShape, seed: int) -> None:
    """Guards against layouts that engines refuse or that lose an expert, and against poor ones."""
    slowness = [1.0] * ranks
    layout: list[tuple[int, ...]] | tuple[tuple[int, ...], ...] = in_turn(ranks, shape.experts)
    demand = skewed(shape.experts, seed)
    mean = sum(demand) / ranks
    for _ in range(3):
        better = expert_layout.improved(layout, demand, slowness, shape)
        assert {e for held in better for e in held} == set(range(shape.experts))
        for held, before in zip(better, layout, strict=True):
            assert len(held) <= shape.places
            assert len(set(held) - set(before)) <= shape.spare
        assert expert_layout.fullest(better, demand, slowness) <= expert_layout.fullest(
            layout, demand, slowness
        )
        layout = better
    # Issue 11 asks for a fullest rank of 1.25 times the mean 3 s after a change of demand; a
    # change of maps takes about 0.8 s.
    limit = max(1.25 * mean, 1.02 * max(demand) / ranks)
    if ranks == 16:
        assert expert_layout.fullest(layout, demand, slowness) <= limit


def test_an_even_set_is_left_alone() -> None:
    """Guards against copies that are paid for and gain nothing."""
    ranks, shape = SHAPES[0]
    layout = tuple(in_turn(ranks, shape.experts))
    demand = [1.0 + 0.1 * (expert % 3) for expert in range(shape.experts)]
    assert expert_layout.improved(layout, demand, [1.0] * ranks, shape) == layout


def test_a_slow_rank_gets_less() -> None:
    """Guards against a slow engine that sets the pace of its group for as long as it is slow."""
    ranks, shape = SHAPES[0]
    layout = in_turn(ranks, shape.experts)
    slowness = [1.0] * ranks
    slowness[5] = 2.0
    demand = [1.0] * shape.experts
    better = expert_layout.improved(layout, demand, slowness, shape)
    assert expert_layout.fullest(better, demand, slowness) < 0.8 * expert_layout.fullest(
        layout, demand, slowness
    )


def test_demand_follows_a_shift_within_a_second() -> None:
    """Guards against a layout for what was asked for before."""
    demand = expert_demand.Demand(sets=1, experts=4)
    for step in range(10):
        demand.add([[90.0, 10.0, 0.0, 0.0]], step * 0.35)
    for step in range(10, 13):
        demand.add([[0.0, 10.0, 90.0, 0.0]], step * 0.35)
    first = demand.counts[0]
    assert first[2] > 4.0 * first[0]


def test_an_idle_group_keeps_its_demand() -> None:
    """Guards against a division by nothing when no tokens were written."""
    demand = expert_demand.Demand(sets=1, experts=2)
    demand.add([[1.0, 2.0]], 0.0)
    demand.add([[0.0, 0.0]], 60.0)
    assert demand.counts == [[1.0, 2.0]]
