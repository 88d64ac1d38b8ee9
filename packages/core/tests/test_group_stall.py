"""Replays the reports of an engine whose group makes passes, rests or stands still."""

from __future__ import annotations

import pytest

from gentianpaddle_core.serving import engine_state, group_stall

REPORT_INTERVAL_S = 0.1


def report(last_pass: int, running: int, epoch: int = 1) -> engine_state.EngineReport:
    return engine_state.EngineReport(
        group="g",
        epoch=epoch,
        rank=0,
        rank_count=63,
        group_accepts_requests=True,
        running=running,
        queued=0,
        memory_used=0,
        memory_total=1,
        slowdown_factor=1.0,
        busy=False,
        last_pass=last_pass,
        map_version=0,
        prepared_version=None,
        armed_switch=None,
        held_pass=None,
        started_ms=1,
    )


def first_stall_s(pass_s: float, running: int, stops_s: float, resumes_s: float) -> float | None:
    """Return when a group that makes no passes between two times is first seen as stalled."""
    stall = group_stall.GroupStall()
    progress_s = now_s = 0.0
    while now_s < 8.0:
        if not stops_s <= now_s < resumes_s and running:
            progress_s += REPORT_INTERVAL_S
        if stall.record(report(int(progress_s / pass_s), running), now_s):
            return now_s
        now_s += REPORT_INTERVAL_S
    return None


@pytest.mark.parametrize(
    ("pass_s", "running", "stops_s", "resumes_s", "seen_within_s"),
    [
        pytest.param(0.07, 4, 3.0, 7.0, 0.8, id="held for seconds"),
        pytest.param(0.15, 4, 3.0, 7.0, 1.0, id="held while passes are long"),
        pytest.param(0.07, 4, 3.0, 3.2, None, id="held for a change of the map"),
        pytest.param(0.07, 0, 0.0, 8.0, None, id="idle"),
        pytest.param(0.70, 4, 8.0, 8.0, None, id="one slow rank"),
    ],
)
def test_stall_is_seen_in_time(
    pass_s: float, running: int, stops_s: float, resumes_s: float, seen_within_s: float | None
):
    """Guards against requests that are sent to a group that stands still, and false alarms."""
    seen_s = first_stall_s(pass_s, running, stops_s, resumes_s)
    if seen_within_s is None:
        assert seen_s is None
    else:
        assert seen_s is not None
        assert stops_s < seen_s <= stops_s + seen_within_s


def test_a_group_that_forms_again_is_not_stalled():
    """Guards against a new group that is taken for the stalled one, whose passes it counts anew."""
    stall = group_stall.GroupStall()
    for step in range(20):
        stall.record(report(100, 3), step * REPORT_INTERVAL_S)
    assert not stall.record(report(0, 3, epoch=2), 2.0)
    assert not stall.record(report(1, 3, epoch=2), 2.1)
