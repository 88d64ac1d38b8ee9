"""Replays shifts of the demand for experts against the limit on running requests."""

from __future__ import annotations

import pytest

from gentianpaddle_core.serving import pace_limit, routes

ENGINES = 63
STEP_S = 0.05
"""Interval between two values of the running requests."""


def capacity(slots: int, steps_per_pass: int, step_ms: float) -> routes.EngineCapacity:
    return routes.EngineCapacity(
        slots=slots,
        steps_per_pass=steps_per_pass,
        step_ms=step_ms,
        per_sequence_ms=0.85,
        prefill_tokens_per_s=61_200.0,
        prefill_chunk=512,
        token_capacity=155_000,
        experts=None,
    )


def pass_s(engine: routes.EngineCapacity, running: float, per_request_s: float) -> float:
    """Return the duration of a pass: a fixed part and a part for each running request."""
    return engine.steps_per_pass * engine.step_ms / 1000.0 + running * per_request_s


def replay(
    engine: routes.EngineCapacity,
    target_s: float,
    per_request_s: float,
    limited: bool,
    duration_s: float = 12.0,
) -> list[tuple[float, float]]:
    """Replay a lasting overload and return the running requests and the pauses, step by step.

    Requests are always waiting. Those that run end after 23 passes, so the number of running
    requests follows the limit slowly.
    """
    limit = pace_limit.PaceLimit()
    running = float(engine.slots)
    history = []
    now_s = 0.0
    while now_s < duration_s:
        pause_s = pass_s(engine, running, per_request_s)
        limit.record_running(running)
        for _ in range(3):
            limit.record_pause(pause_s, now_s)
        allowed = limit.requests_per_engine(engine, target_s, now_s) if limited else engine.slots
        running -= running * STEP_S / (23 * pause_s)
        running = max(running, min(allowed, running + 1.0))
        history.append((running, pause_s))
        now_s += STEP_S
    return history


@pytest.mark.parametrize(
    ("slots", "steps_per_pass", "step_ms", "target_s", "per_request_s"),
    [
        (5, 6, 5.85, 0.12, 0.020),
        (5, 6, 5.85, 0.12, 0.035),
        (5, 5, 4.55, 0.15, 0.030),
        (6, 5, 5.85, 0.12, 0.022),
    ],
)
def test_pauses_meet_the_target_when_passes_become_long(
    slots: int, steps_per_pass: int, step_ms: float, target_s: float, per_request_s: float
):
    """Guards against answers that are all late because all slots are filled."""
    engine = capacity(slots, steps_per_pass, step_ms)
    unlimited = replay(engine, target_s, per_request_s, limited=False)
    assert unlimited[-1][1] > target_s
    limited = replay(engine, target_s, per_request_s, limited=True)
    settled = limited[len(limited) // 2 :]
    assert all(pause_s <= target_s for _, pause_s in settled)
    usable = (target_s - pass_s(engine, 0.0, 0.0)) / per_request_s
    assert min(running for running, _ in settled) >= 0.7 * min(slots, usable)


@pytest.mark.parametrize(
    ("pauses", "pause_s", "running", "expected"),
    [
        pytest.param(20, 0.06, 5.0, 5.0, id="the target is met with all slots"),
        pytest.param(4, 0.30, 5.0, 5.0, id="too few measurements"),
        pytest.param(20, 0.90, 5.0, 5.0, id="one request is too slow, only throughput counts"),
        pytest.param(20, 0.30, 0.0, 5.0, id="nothing runs"),
        pytest.param(20, 0.03, 5.0, 5.0, id="faster than the published capacity"),
    ],
)
def test_all_slots_are_used_where_a_limit_does_not_help(
    pauses: int, pause_s: float, running: float, expected: float
):
    """Guards against unused slots while no caller gains from them."""
    limit = pace_limit.PaceLimit()
    limit.record_running(running)
    for number in range(pauses):
        limit.record_pause(pause_s, number * 0.01)
    assert limit.requests_per_engine(capacity(5, 6, 5.85), 0.12, 0.2) == expected


def test_the_limit_ends_with_its_measurements():
    """Guards against a limit from before an outage that stays in force after it."""
    limit = pace_limit.PaceLimit()
    limit.record_running(5.0)
    for number in range(20):
        limit.record_pause(0.14, number * 0.01)
    engine = capacity(5, 6, 5.85)
    assert limit.requests_per_engine(engine, 0.12, 0.2) < 5.0
    assert limit.requests_per_engine(engine, 0.12, 0.2 + pace_limit.WINDOW_S + 0.2) == 5.0


@pytest.mark.parametrize(
    ("requests_per_engine", "engines", "expected"),
    [(5.0, 63, 315), (2.6, 63, 163), (1.0, 1, 1), (0.4, 1, 1)],
)
def test_room(requests_per_engine: float, engines: int, expected: int):
    """Guards against a room of zero, with which nothing would run and nothing be measured."""
    assert pace_limit.room(requests_per_engine, engines) == expected
