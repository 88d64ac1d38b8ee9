"""Guards against claims that exceed the object API calls or bytes allowed by the design."""

from __future__ import annotations

import pathlib
import tomllib

import pytest

from benchmarks import claims

BOUNDS = tomllib.loads(
    pathlib.Path(claims.__file__).with_name("bounds.toml").read_text(encoding="utf-8")
)["claims"]


@pytest.mark.parametrize(("share", "duration_s"), [(0.05, 30.0), (1.0, 5.0)])
def test_claims_stay_within_the_object_api_call_limits(share: float, duration_s: float):
    figures = claims.run(2, share, duration_s)
    # Claims made in the last second may still be pending.
    assert figures.won >= figures.claims * (1.0 - 1.0 / duration_s)
    assert figures.writes_per_s <= BOUNDS["writes_per_s"]
    assert figures.reads_per_s <= BOUNDS["reads_per_s"]


def test_claim_traffic_stays_within_the_control_overhead_of_a_vm():
    figures = claims.run(2, 0.05)
    assert figures.bytes_per_s_of_shard <= BOUNDS["bytes_per_s_of_shard"]
