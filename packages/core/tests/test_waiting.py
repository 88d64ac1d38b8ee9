"""Replays of more work than the servers take, against first in, first out."""

from __future__ import annotations

import random
import typing

import pytest

from gentianpaddle_core.serving import waiting

TARGET_S = 0.2
SERVICE_S = 1.2
SLOTS = 12


class Line(typing.Protocol):
    """Ours or the baseline."""

    def add(self, entry: waiting.Waiting[int]) -> None: ...

    def first(self, now_s: float) -> waiting.Waiting[int] | None: ...

    def take(self, entry: waiting.Waiting[int]) -> None: ...


class FirstInFirstOut:
    """The baseline."""

    def __init__(self) -> None:
        self._entries: list[waiting.Waiting[int]] = []

    def add(self, entry: waiting.Waiting[int]) -> None:
        self._entries.append(entry)

    def first(self, now_s: float) -> waiting.Waiting[int] | None:
        return self._entries[0] if self._entries else None

    def take(self, entry: waiting.Waiting[int]) -> None:
        self._entries.remove(entry)


def replay(line: Line, rate_per_s: float, seed: int) -> tuple[float, float]:
    """Play a burst of 4 s and return the shares of requests that start in time and that start."""
    source = random.Random(seed)
    arrivals = []
    now_s = 0.0
    while now_s < 4.0:
        now_s += source.expovariate(rate_per_s)
        arrivals.append(now_s)
    ends: list[float] = []
    timely = started = index = step = 0
    while step < 1_400:
        now_s = step * 0.01
        ends = [end_s for end_s in ends if end_s > now_s]
        while index < len(arrivals) and arrivals[index] <= now_s:
            arrived_s = arrivals[index]
            line.add(waiting.Waiting(index, arrived_s, arrived_s + TARGET_S, arrived_s + 8.0))
            index += 1
        while len(ends) < SLOTS and (entry := line.first(now_s)) is not None:
            line.take(entry)
            if now_s < entry.end_s:
                ends.append(now_s + SERVICE_S * source.uniform(0.5, 1.5))
                started += 1
                timely += now_s <= entry.start_by_s
        step += 1
    return timely / len(arrivals), started / len(arrivals)


@pytest.mark.parametrize("overload", [1.3, 1.7, 2.5])
def test_burst(overload: float) -> None:
    """Guards against a burst that makes every answer late, and against starved late requests."""
    rate = overload * SLOTS / SERVICE_S
    ours = [replay(waiting.WaitingLine(), rate, seed) for seed in range(6)]
    plain = [replay(FirstInFirstOut(), rate, seed) for seed in range(6)]
    ours_timely = sum(timely for timely, _ in ours) / len(ours)
    plain_timely = sum(timely for timely, _ in plain) / len(plain)
    assert ours_timely > plain_timely + 0.15
    assert min(started for _, started in ours) > 0.95 * min(started for _, started in plain)


def entry(item: int, arrived_s: float, start_by_s: float, end_s: float) -> waiting.Waiting[int]:
    return waiting.Waiting(item, arrived_s, start_by_s, end_s)


def test_requests_past_their_end_are_turned_away() -> None:
    """Guards against requests that are held although they cannot be served any more."""
    line: waiting.WaitingLine[int] = waiting.WaitingLine()
    line.add(entry(1, 0.0, 0.2, 1.0))
    line.add(entry(2, 0.0, 0.2, 9.0))
    assert [item.item for item in line.expired(1.0)] == [1]
    assert len(line) == 1


@pytest.mark.parametrize(
    ("waiting_requests", "duration_s", "places", "expected_s"),
    [(0, 1.0, 12.0, 0.0), (12, 1.5, 12.0, 1.5), (10, None, 5.0, 2.0), (10, 1.0, 0.0, 1_000.0)],
)
def test_expected_wait(
    waiting_requests: int, duration_s: float | None, places: float, expected_s: float
) -> None:
    """Guards against requests that wait although the line cannot reach them in time."""
    line: waiting.WaitingLine[int] = waiting.WaitingLine()
    for index in range(waiting_requests):
        line.add(entry(index, 0.0, 1.0, 9.0))
    if duration_s is not None:
        line.ended(duration_s)
    assert line.expected_wait_s(places) == pytest.approx(expected_s)


def test_a_line_outlasts_a_group_that_forms_again() -> None:
    """Guards against refusals while nothing ends: half of what they turn away could be served."""
    line: waiting.WaitingLine[int] = waiting.WaitingLine()
    line.ended(1.3)
    accepted = 0
    # A front of a calm day gets 5 requests a second; the group is down for 3 s.
    for index in range(15):
        now_s = index * 0.2
        latest_s = line.latest_start_s(now_s + 8.0)
        if now_s + line.expected_wait_s(places=12.0) <= latest_s:
            line.add(entry(index, now_s, now_s + 0.2, latest_s))
            accepted += 1
    assert accepted == 15


def test_returns_are_spread_within_limits() -> None:
    """Guards against refused callers that come back all at once."""
    line: waiting.WaitingLine[int] = waiting.WaitingLine()
    for index in range(10):
        line.add(entry(index, 0.0, 1.0, 9.0))
    waits = [line.retry_after_s(10.0, draw / 10.0) for draw in range(11)]
    shortest, longest = waiting.RETRY_AFTER_LIMITS_S
    assert all(shortest <= wait_s <= longest for wait_s in waits)
    assert len(set(waits)) > 3
