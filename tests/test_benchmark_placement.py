"""Guards against placement benchmark results outside the bounds of the stated targets."""

from __future__ import annotations

import functools
import pathlib
import tomllib

import pytest

from benchmarks import expert_placement, model_placement

BOUNDS = tomllib.loads(
    (pathlib.Path(__file__).parent.parent / "benchmarks" / "bounds.toml").read_text()
)

TIGHT_MEMORY = pytest.param(
    32, 0.25, marks=pytest.mark.xfail(strict=True, reason="KNOWN-RED.txt, issue 5")
)


@functools.cache
def run(policy: str, ranks: int, spare: float) -> expert_placement.Result:
    return expert_placement.run("dawn_rush", policy, ranks, spare)


@pytest.mark.parametrize(("ranks", "spare"), [(8, 0.25), (16, 0.25), TIGHT_MEMORY, (32, 0.5)])
def test_skew_of_the_dawn_rush(ranks: int, spare: float):
    result = run("incremental", ranks, spare)
    assert result.mean_skew <= BOUNDS["expert_placement"]["skew"]


@pytest.mark.parametrize(("ranks", "spare"), expert_placement.RANKS_AND_SPARE_MEMORY)
def test_bytes_of_the_dawn_rush(ranks: int, spare: float):
    full = run("full", ranks, spare)
    result = run("incremental", ranks, spare)
    share = result.moved_bytes / full.moved_bytes
    assert 0.0 < share <= BOUNDS["expert_placement"]["bytes_share"]


@pytest.mark.parametrize("seed", [11, 12])
def test_placement_follows_daily_demand(seed: int):
    fixed = model_placement.run("fixed", seed)
    following = model_placement.run("following", seed)
    assert following.in_target >= BOUNDS["model_placement"]["in_target"]
    assert following.in_target > fixed.in_target
