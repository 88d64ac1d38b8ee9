"""Guards against an evacuation that pauses callers longer than the simple strategies do."""

from __future__ import annotations

import pathlib
import tomllib

import pytest

from benchmarks import evacuation

BOUNDS = tomllib.loads((pathlib.Path(evacuation.__file__).parent / "bounds.toml").read_text())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_chosen_strategies_against_simple_strategies(seed: int):
    figures = evacuation.run(seed)
    bounds = BOUNDS["evacuation"]
    for chosen in (figures.chosen, figures.chosen_without_export):
        assert chosen.cut <= bounds["cut_streams"]
        assert chosen.p95_s <= bounds["p95_over_resume_in_turn"] * figures.resume_in_turn.p95_s
        assert chosen.p95_s <= bounds["p95_over_wait"] * figures.wait.p95_s
        assert chosen.p50_s <= min(figures.wait.p50_s, figures.resume_in_turn.p50_s)
