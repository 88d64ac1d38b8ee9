"""Guards against predictions that ignore own requests, diverge or exclude a server for good."""

from __future__ import annotations

import pytest

from gentianpaddle_core import ids, scoring

LOAD = scoring.LoadReport(limit=16, running=4, waiting_tokens=1_000, grant=8, step_time_s=0.0)


def new_score(one_way_s: float = 0.0) -> scoring.ServerScore:
    return scoring.new_server_score(scoring.new_model_fits(), one_way_s)


def attempt(number: int) -> tuple[ids.RequestKey, int]:
    return ids.RequestKey(str(number)), 1


@pytest.mark.parametrize(
    ("sent_s", "reported_s", "expected"),
    [
        # Sent before the report was measured, so the report already contains it.
        (0.1, 0.5, 1_000.0),
        # Sent after the report was measured, so it is added to the report.
        (0.48, 0.5, 1_400.0),
    ],
)
def test_own_requests_are_not_counted_twice_with_the_report(
    sent_s: float, reported_s: float, expected: float
):
    score = new_score()
    score.record_sent(attempt(1), 400.0, sent_s)
    score.apply_load_report(LOAD, reported_s)
    # The new request is the sixth, or the fifth when the report contains the one sent before.
    running = 6 if expected > 1_000.0 else 5
    assert score.gap_s() == pytest.approx(0.012 + 0.0003 * running, rel=1e-3)
    ahead = expected + 100.0
    assert score.first_token_s(100.0) == pytest.approx(0.02 + ahead / 8_000, rel=1e-3)


def test_network_delay_and_requests_over_the_limit_add_time():
    near, far, full = new_score(), new_score(0.02), new_score()
    for score, running in ((near, 4), (far, 4), (full, 32)):
        score.apply_load_report(scoring.LoadReport(16, running, 1_000, 8, 0.0), 0.0)
    expected = near.first_token_s(100.0)
    assert far.first_token_s(100.0) == pytest.approx(expected + 0.04)
    # 17 requests over the limit, in 16 places with the initial service time of 1 s each.
    assert full.first_token_s(100.0) == pytest.approx(expected + 17 / 16)


@pytest.mark.parametrize("factor", [0.5, 3.0])
def test_learned_speed_of_a_server_decays_without_observations(factor: float):
    score = new_score()
    score.apply_load_report(LOAD, 0.0)
    expected = score.first_token_s(400.0)
    for number in range(40):
        score.record_sent(attempt(number), 400.0, 0.1)
        score.record_first_token(attempt(number), 0.1 + expected * factor)
        score.record_finished(attempt(number), None, 0.2 + expected * factor)
    learned = score.first_token_s(400.0)
    assert learned / expected == pytest.approx(factor, rel=0.25)
    score.apply_load_report(LOAD, 1_000.0)
    later = score.first_token_s(400.0)
    assert abs(later - expected) < abs(learned - expected)


def test_fits_follow_observations_and_stay_non_negative():
    fit = scoring.LinearFit(intercept=1.0, slope=1.0, typical_x=10.0)
    for number in range(3_000):
        fit.observe(number % 20, 2.0 + 0.5 * (number % 20))
    assert fit.at(10.0) == pytest.approx(7.0, rel=0.02)
    for number in range(3_000):
        fit.observe(number % 20, 20.0 - number % 20)
    assert fit.slope >= 0.0
    assert fit.intercept >= 0.0
