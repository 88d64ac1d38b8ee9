"""Tests of the request queue, with replays of an overload against a first-in, first-out queue."""

from __future__ import annotations

import random
import typing

import pytest

from gentianpaddle_core.serving import request_queue

TARGET_S = 0.2
SERVICE_S = 1.2
SLOTS = 12


class RequestQueue(typing.Protocol):
    """Interface of the request queue and of the baseline."""

    def add(self, entry: request_queue.QueuedRequest[int]) -> None: ...

    def next_to_start(self, now_s: float) -> request_queue.QueuedRequest[int] | None: ...

    def remove_started(self, entry: request_queue.QueuedRequest[int]) -> None: ...


class FifoQueue:
    """Baseline: requests start in the order of arrival."""

    def __init__(self) -> None:
        self._entries: list[request_queue.QueuedRequest[int]] = []

    def add(self, entry: request_queue.QueuedRequest[int]) -> None:
        self._entries.append(entry)

    def next_to_start(self, now_s: float) -> request_queue.QueuedRequest[int] | None:
        return self._entries[0] if self._entries else None

    def remove_started(self, entry: request_queue.QueuedRequest[int]) -> None:
        self._entries.remove(entry)


def replay(queue: RequestQueue, rate_per_s: float, seed: int) -> tuple[float, float]:
    """Replay a burst of 4 s.

    Returns:
        The share of requests that start in time, and the share that start at all.
    """
    rng = random.Random(seed)
    arrivals = []
    now_s = 0.0
    while now_s < 4.0:
        now_s += rng.expovariate(rate_per_s)
        arrivals.append(now_s)
    ends: list[float] = []
    on_time = started = index = step = 0
    while step < 1_400:
        now_s = step * 0.01
        ends = [end_s for end_s in ends if end_s > now_s]
        while index < len(arrivals) and arrivals[index] <= now_s:
            arrived_s = arrivals[index]
            queue.add(
                request_queue.QueuedRequest(index, arrived_s, arrived_s + TARGET_S, arrived_s + 8.0)
            )
            index += 1
        while len(ends) < SLOTS and (entry := queue.next_to_start(now_s)) is not None:
            queue.remove_started(entry)
            if now_s < entry.end_s:
                ends.append(now_s + SERVICE_S * rng.uniform(0.5, 1.5))
                started += 1
                on_time += now_s <= entry.start_by_s
        step += 1
    return on_time / len(arrivals), started / len(arrivals)


@pytest.mark.parametrize("overload", [1.3, 1.7, 2.5])
def test_burst_keeps_requests_on_time(overload: float) -> None:
    """Guards against an overload making every answer late, and against starving late requests."""
    rate = overload * SLOTS / SERVICE_S
    by_deadline = [replay(request_queue.RequestQueue(), rate, seed) for seed in range(6)]
    fifo = [replay(FifoQueue(), rate, seed) for seed in range(6)]
    queue_on_time = sum(on_time for on_time, _ in by_deadline) / len(by_deadline)
    fifo_on_time = sum(on_time for on_time, _ in fifo) / len(fifo)
    assert queue_on_time > fifo_on_time + 0.15
    assert min(started for _, started in by_deadline) > 0.95 * min(started for _, started in fifo)


def entry(
    item: int, arrived_s: float, start_by_s: float, end_s: float
) -> request_queue.QueuedRequest[int]:
    return request_queue.QueuedRequest(item, arrived_s, start_by_s, end_s)


def test_expired_requests_are_removed() -> None:
    """Guards against keeping requests that can no longer be served."""
    queue: request_queue.RequestQueue[int] = request_queue.RequestQueue()
    queue.add(entry(1, 0.0, 0.2, 1.0))
    queue.add(entry(2, 0.0, 0.2, 9.0))
    assert [item.item for item in queue.pop_expired(1.0)] == [1]
    assert len(queue) == 1


@pytest.mark.parametrize(
    ("waiting_requests", "duration_s", "places", "expected_s"),
    [(0, 1.0, 12.0, 0.0), (12, 1.5, 12.0, 1.5), (10, None, 5.0, 2.0), (10, 1.0, 0.0, 1_000.0)],
)
def test_expected_wait(
    waiting_requests: int, duration_s: float | None, places: float, expected_s: float
) -> None:
    """Guards against a wrong wait estimate, which admits requests that cannot start in time."""
    queue: request_queue.RequestQueue[int] = request_queue.RequestQueue()
    for index in range(waiting_requests):
        queue.add(entry(index, 0.0, 1.0, 9.0))
    if duration_s is not None:
        queue.record_duration(duration_s)
    assert queue.expected_wait_s(places) == pytest.approx(expected_s)


@pytest.mark.parametrize("patience_s", [None, 2.0])
def test_requests_are_queued_while_a_group_forms_again(patience_s: float | None) -> None:
    """Guards against rejecting requests while a group forms again and nothing completes.

    Half of the requests rejected by such an estimate could have been served.
    """
    queue: request_queue.RequestQueue[int] = request_queue.RequestQueue()
    queue.record_duration(1.3)
    accepted = 0
    # On a calm day a front gets 5 requests per second; the group is down for 3 s.
    for index in range(15):
        now_s = index * 0.2
        leaves_s = now_s + patience_s if patience_s is not None else None
        latest_s = queue.latest_start_s(now_s + 8.0, leaves_s)
        if now_s + queue.expected_wait_s(available_slots=12.0) <= latest_s:
            queue.add(entry(index, now_s, now_s + 0.2, latest_s))
            accepted += 1
    assert accepted == 15


def test_callers_that_came_back_start_first() -> None:
    """Guards against rejecting a caller for the second time while newer ones are served."""
    queue: request_queue.RequestQueue[int] = request_queue.RequestQueue()
    queue.record_duration(1.0)
    for index in range(6):
        queue.add(request_queue.QueuedRequest(index, float(index), 0.5, 20.0, index + 8.0))
    queue.add(request_queue.QueuedRequest(9, 6.0, 0.5, 20.0, 8.5))
    assert queue.expected_wait_s(1.0, 8.5) == 2.0
    assert queue.expected_wait_s(1.0, 14.0) == 7.0
    order = []
    while (started := queue.next_to_start(10.0)) is not None:
        queue.remove_started(started)
        order.append(started.item)
    assert order == [0, 9, 1, 2, 3, 4, 5]


def lost_in_outage(outage_s: float, patience_known: bool, seed: int) -> int:
    """Replay callers of streams that leave after 2 s and try twice while no server is open.

    Args:
        outage_s: Time for which no server is open.
        patience_known: Whether the queue knows when callers leave.
        seed: Seed of the arrivals.

    Returns:
        Number of requests that are still not started when their caller leaves for the second time.
    """
    rng = random.Random(seed)
    queue: request_queue.RequestQueue[int] = request_queue.RequestQueue()
    lost = 0
    for _ in range(100):
        now_s, started = rng.uniform(0.0, outage_s), False
        for _ in range(2):
            leaves_s = now_s + CALLER_PATIENCE_S
            known_s = leaves_s if patience_known else None
            latest_s = queue.latest_start_s(now_s + 8.0, known_s)
            if min(latest_s, leaves_s) > outage_s:
                started = True
                break
            rejected = latest_s < leaves_s
            wait_s = queue.retry_after_s(12.0, any_open=False, draw=rng.random())
            now_s = latest_s + wait_s if rejected else leaves_s
        lost += not started
    return lost


CALLER_PATIENCE_S = 2.0


@pytest.mark.parametrize("seed", [1, 2, 3])
@pytest.mark.parametrize("outage_s", [4.0, 4.6])
def test_callers_come_back_after_an_outage(outage_s: float, seed: int) -> None:
    """Guards against callers that leave for good just before a group is open again."""
    assert lost_in_outage(outage_s, True, seed) == 0


@pytest.mark.parametrize("any_open", [True, False])
def test_retry_times_are_spread_within_limits(any_open: bool) -> None:
    """Guards against rejected callers retrying all at once."""
    queue: request_queue.RequestQueue[int] = request_queue.RequestQueue()
    for index in range(10):
        queue.add(entry(index, 0.0, 1.0, 9.0))
    waits = [queue.retry_after_s(10.0, any_open, draw / 10.0) for draw in range(11)]
    shortest, longest = request_queue.RETRY_AFTER_RANGE_S
    assert all(shortest <= wait_s <= longest for wait_s in waits)
    assert len(set(waits)) > 3
