"""Guards against regressions from the stated targets of routing, admission and retries."""

from __future__ import annotations

import pathlib
import tomllib
import typing

import pytest

from benchmarks import admission, fleet, retries, routing

SEED = 1
BOUNDS = tomllib.loads(
    (pathlib.Path(__file__).parent.parent / "benchmarks" / "bounds.toml").read_text()
)


def test_slow_server():
    shares = {
        policy: routing.run_case(SEED, routing.Fault.SLOW, 0.95, policy).figures.in_target
        for policy in (fleet.Policy.EXPECTED_TIME, fleet.Policy.LEAST_OUTSTANDING)
    }
    misses = {policy: 1.0 - share for policy, share in shares.items()}
    bounds = BOUNDS["routing"]
    assert shares[fleet.Policy.EXPECTED_TIME] >= bounds["slow_in_target_min"]
    assert (
        misses[fleet.Policy.EXPECTED_TIME]
        <= bounds["slow_misses_of_least_outstanding_max"] * misses[fleet.Policy.LEAST_OUTSTANDING]
    )


def test_data_centre_leaves_and_returns():
    figures = routing.run_data_centre_outage(SEED, fleet.Policy.EXPECTED_TIME)
    bounds = BOUNDS["routing"]
    assert figures.worst_second >= bounds["worst_second_in_target_min"]
    assert figures.cut <= bounds["out_cut_max"]
    assert figures.late_starts <= bounds["out_late_starts_max"]


def test_goodput_under_overload():
    by_multiple = {
        figures.multiple: figures for figures in admission.run_goodput(SEED, (1.0, 1.5, 3.0))
    }
    assert by_multiple[3.0].of_peak >= BOUNDS["admission"]["goodput_at_3x_of_peak_min"]


def test_small_organisation_beside_a_large_one():
    figures = admission.run_fairness(SEED)
    assert figures.small_in_target >= BOUNDS["admission"]["small_organisation_in_target_min"]


@pytest.mark.parametrize("load", retries.LOADS)
def test_extra_load_from_retries(load: float):
    bound: typing.Any = BOUNDS["retries"]["extra_with_a_third_gone_max"]
    assert retries.run(SEED, load).extra <= bound


@pytest.mark.parametrize("servers", [20, 400])
def test_decision_weighs_a_bounded_number_of_servers(servers: int):
    scored = routing.candidate_counts(SEED, servers)
    assert 1 <= max(scored) <= 16
