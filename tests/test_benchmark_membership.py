"""Guards against slower propagation or more control traffic than the stated targets."""

from __future__ import annotations

import pathlib
import tomllib

import pytest

from benchmarks import membership

BOUNDS = tomllib.loads((pathlib.Path(membership.__file__).parent / "bounds.toml").read_text())


@pytest.mark.parametrize("members", [8, 64])
def test_propagation_and_traffic_bounds(members: int):
    figures = membership.run(members, seed=1)
    exceeded = {
        name: getattr(figures, name)
        for name, bound in BOUNDS["membership"].items()
        if getattr(figures, name) > bound
    }
    assert not exceeded


def test_regions_reconnect_after_a_partition():
    """Guards against regions that stay disconnected after a partition, shortened from an hour."""
    assert membership.partition_heal_s(20, seed=1, cut_s=60.0) <= BOUNDS["membership"]["revision_s"]
