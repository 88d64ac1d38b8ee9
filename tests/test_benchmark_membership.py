"""Guards against slower spread and more control traffic than the stated targets."""

from __future__ import annotations

import pathlib
import tomllib

import pytest

from benchmarks import membership

BOUNDS = tomllib.loads((pathlib.Path(membership.__file__).parent / "bounds.toml").read_text())


@pytest.mark.parametrize("members", [8, 64])
def test_bounds(members: int):
    figures = membership.run(members, seed=1)
    above = {
        name: getattr(figures, name)
        for name, bound in BOUNDS["membership"].items()
        if getattr(figures, name) > bound
    }
    assert not above


def test_regions_find_each_other_again():
    """Guards against regions that stay apart after a cut, which is shorter here than an hour."""
    assert membership.heal(20, seed=1, cut_s=60.0) <= BOUNDS["membership"]["revision_s"]
