"""Which engines count as quiet, and which as stopped."""

from __future__ import annotations

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import engine_liveness

ENGINE = ids.BackendServerId("i-1")


@pytest.mark.parametrize(
    ("reports_s", "answers_s", "now_s", "quiet"),
    [
        ([0.0, 0.1], [], 0.5, False),
        ([0.0, 0.1], [], 0.7, True),
        # An unchanged load is repeated after 0.4 s.
        ([0.0, 0.4, 0.8], [], 1.3, False),
        # Events of streams are signs of life too.
        ([0.0], [0.3, 0.6], 1.1, False),
        ([0.0], [0.3, 0.6], 1.2, True),
        # A server that has no side process is never quiet.
        ([], [0.0], 60.0, False),
    ],
)
def test_quiet_engines(
    reports_s: list[float], answers_s: list[float], now_s: float, quiet: bool
) -> None:
    """Guards against a stop of a VM that no log line tells."""
    liveness = engine_liveness.EngineLiveness()
    for report_s in reports_s:
        liveness.record_report(ENGINE, report_s)
    for answer_s in answers_s:
        liveness.record_answer(ENGINE, answer_s)
    assert [found.server for found in liveness.take_quiet(now_s)] == [ENGINE] * quiet
    assert not liveness.take_quiet(now_s), "told twice"
    silent_s = liveness.record_report(ENGINE, now_s + 1.0)
    assert (silent_s is not None) is quiet
