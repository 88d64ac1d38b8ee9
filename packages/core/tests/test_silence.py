"""When a server that has accepted a request counts as silent."""

from __future__ import annotations

import dataclasses
import random

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import attempts, routes, silence

ROUTE = routes.Route(
    name="summary",
    host="h",
    path_prefix="/",
    kind=routes.RouteKind.STREAMING,
    resumable=True,
    timeout_s=8.0,
    target_s=0.4,
    target_event_gap_s=0.12,
    caller_patience_s=None,
    max_attempts=2,
    public=False,
    priority=1,
    weight_by_service=(),
)
PLAIN_ROUTE = dataclasses.replace(ROUTE, kind=routes.RouteKind.SAFE, target_s=0.2)
SERVER, OTHER = ids.BackendServerId("i-1"), ids.BackendServerId("i-2")


def progress_with_events(server: ids.BackendServerId, until_s: float) -> silence.ServiceProgress:
    """Return progress with an event of a server each 0.05 s from 0."""
    progress = silence.ServiceProgress()
    for step in range(int(until_s / 0.05)):
        progress.record_progress(server, step * 0.05)
    return progress


@pytest.mark.parametrize(
    ("route", "sender", "started", "silent_for_s", "silent"),
    [
        (ROUTE, OTHER, False, 0.7, False),
        (ROUTE, OTHER, False, 0.9, True),
        (ROUTE, OTHER, True, 0.3, False),
        (ROUTE, OTHER, True, 0.5, True),
        # Only the server itself made progress, on other streams: the service may be stalled.
        (ROUTE, SERVER, False, 5.0, False),
        (ROUTE, SERVER, True, 5.0, False),
        # Plain servers do not depend on each other.
        (PLAIN_ROUTE, SERVER, False, 0.05, False),
        (PLAIN_ROUTE, SERVER, False, 0.11, True),
    ],
)
def test_silence(
    route: routes.Route,
    sender: ids.BackendServerId,
    started: bool,
    silent_for_s: float,
    silent: bool,
) -> None:
    """Guards against waiting for a dead server, and against leaving a stalled or slow one."""
    progress = progress_with_events(sender, 2.0 + silent_for_s)
    assert silent is silence.is_silent(route, progress, SERVER, 2.0, started, 0, 2.0 + silent_for_s)


def test_stall_of_the_whole_group_is_no_silence() -> None:
    """Guards against moving all streams of a group that stalls for 1.5 s and then goes on."""
    progress = progress_with_events(OTHER, 2.0)
    assert not silence.is_silent(ROUTE, progress, SERVER, 2.0, True, 0, 3.4)
    # The group goes on: the other stream's event arrives a moment before this one's.
    progress.record_progress(OTHER, 3.45)
    assert not silence.is_silent(ROUTE, progress, SERVER, 2.0, True, 0, 3.46)


def test_patience_follows_a_slow_service() -> None:
    """Guards against giving up every request of a service on which all servers are slow.

    Each request takes 2 s until its first event; those that are given up count with their time.
    """
    rng = random.Random(7)
    progress = silence.ServiceProgress()
    for _ in range(20):
        progress.record_first_answer(0.25, 800)
    given_up = 0
    for _ in range(200):
        patience_s = silence.patience_s(ROUTE, progress, False, 800)
        needed_s = rng.uniform(1.5, 2.5)
        given_up += needed_s > patience_s
        progress.record_first_answer(min(needed_s, patience_s), 800)
    assert given_up < 60
    assert silence.patience_s(ROUTE, progress, False, 800) > 2.5


@pytest.mark.parametrize(
    ("prompt_tokens", "silent"), [(0, True), (400, True), (800, True), (3_200, False)]
)
def test_large_prompts_get_more_time(prompt_tokens: int, silent: bool) -> None:
    """Guards against giving up large requests, which would be served less often than small ones."""
    progress = progress_with_events(OTHER, 3.5)
    for _ in range(20):
        progress.record_first_answer(0.25, 800)
    assert silent is silence.is_silent(ROUTE, progress, SERVER, 2.0, False, prompt_tokens, 3.5)


def test_memory_of_progress_is_bounded() -> None:
    """Guards against memory that grows with the time for which a front runs."""
    progress = progress_with_events(OTHER, 600.0)
    assert len(progress.servers_by_tick) <= silence.RETAINED_TICKS


@pytest.mark.parametrize(
    ("change", "runs", "remaining_s", "allowed"),
    [
        ({}, 0, 5.0, True),
        ({}, 1, 5.0, False),
        ({}, 0, 0.2, False),
        ({"resumable": False}, 0, 5.0, False),
        ({"kind": routes.RouteKind.UNSAFE}, 0, 5.0, False),
        ({"kind": routes.RouteKind.SAFE}, 0, 5.0, True),
        ({"max_attempts": 1}, 0, 5.0, False),
    ],
)
def test_requests_that_may_be_moved(
    change: dict[str, object], runs: int, remaining_s: float, allowed: bool
) -> None:
    """Guards against a booking that runs twice, and against more runs than a route allows."""
    route = dataclasses.replace(ROUTE, **change)  # type: ignore[arg-type]
    history = attempts.AttemptHistory(runs=runs, total_attempts=runs)
    assert attempts.may_move(route, history, remaining_s, 0.3) is allowed


@pytest.mark.parametrize(("arrived", "asked"), [(True, 1), (False, 0)])
def test_only_requests_that_arrived_draw_on_the_budget(arrived: bool, asked: int) -> None:
    """Guards against refusals in a loss of servers because failed connections used the budget."""
    calls = []

    def budget() -> bool:
        calls.append(1)
        return True

    history = attempts.AttemptHistory()
    result = attempts.NotRun("no connection", arrived=arrived)
    history.add(result)
    step = attempts.next_step(ROUTE, history, result, 5.0, True, budget)
    assert isinstance(step, attempts.Retry)
    assert len(calls) == asked
