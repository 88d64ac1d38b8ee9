"""Replays passes that become long from one moment to the next against a front's queue."""

from __future__ import annotations

import pytest

from gentianpaddle_core.serving import answer_times, request_queue, routes

PATIENCE_S = 2.0
TARGET_S = 0.4
EVENTS = 23
STEP_S = 0.05
SLOTS = 8


def engine() -> routes.EngineCapacity:
    return routes.EngineCapacity(
        slots=5,
        steps_per_pass=6,
        step_ms=5.85,
        per_sequence_ms=0.85,
        prefill_tokens_per_s=61_200.0,
        prefill_chunk=512,
        token_capacity=155_000,
        experts=None,
        usual_answer_tokens=EVENTS * 6.0,
    )


def replay(pass_s_by_second: list[float], arrivals_per_s: float, follow_pace: bool) -> list[int]:
    """Return how many requests are started in time, started too late, and refused.

    Started too late means that the first event comes after the caller has left.
    """
    queue: request_queue.RequestQueue[int] = request_queue.RequestQueue()
    running: list[float] = []
    in_time = too_late = refused = arrived = 0
    steps = int(len(pass_s_by_second) / STEP_S)
    for step in range(steps):
        now_s = step * STEP_S
        pass_s = pass_s_by_second[int(now_s)]
        for end_s in [end_s for end_s in running if end_s <= now_s]:
            running.remove(end_s)
            queue.record_duration((EVENTS + 3) * pass_s_by_second[max(0, int(now_s) - 1)])
        if follow_pace:
            queue.expected_times = answer_times.at_pace(engine(), pass_s)
        while arrived < now_s * arrivals_per_s:
            arrived += 1
            latest_s = queue.latest_start_s(now_s + 8.0, now_s + PATIENCE_S)
            if now_s + queue.expected_wait_s(SLOTS) > latest_s:
                refused += 1
                continue
            start_by_s = now_s + TARGET_S - queue.first_event_allowance_s
            queue.add(
                request_queue.QueuedRequest(arrived, now_s, start_by_s, latest_s, now_s + 8.0)
            )
        refused += len(queue.pop_expired(now_s))
        while len(running) < SLOTS and (entry := queue.next_to_start(now_s)) is not None:
            queue.remove_started(entry)
            running.append(now_s + (EVENTS + 3) * pass_s)
            if now_s + 3.0 * pass_s > entry.arrived_s + PATIENCE_S:
                too_late += 1
            else:
                in_time += 1
    return [in_time, too_late, refused]


@pytest.mark.parametrize("slow_pass_s", [0.15, 0.2, 0.25])
def test_no_request_is_started_that_gets_no_event_in_time(slow_pass_s: float):
    """Guards against requests that wait at the front and are sent when it is too late.

    Passes take 0.06 s for 3 s, then several times as long, while 4 requests arrive per second.
    """
    pass_s_by_second = [0.06] * 3 + [slow_pass_s] * 9
    before = replay(pass_s_by_second, 4.0, follow_pace=False)
    after = replay(pass_s_by_second, 4.0, follow_pace=True)
    assert before[1] > 0
    assert after[1] == 0
    assert after[0] >= before[0]


@pytest.mark.parametrize(
    ("pause_s", "usual_tokens", "known"), [(None, 138.0, False), (0.1, 0.0, False), (0.1, 1, True)]
)
def test_times_need_a_pace_and_a_usual_size(
    pause_s: float | None, usual_tokens: float, known: bool
):
    """Guards against times from missing figures, which would refuse or accept everything."""
    capacity = routes.EngineCapacity(5, 6, 5.85, 0.85, 61_200.0, 512, 155_000, None, usual_tokens)
    assert (answer_times.at_pace(capacity, pause_s) is not None) == known
