"""Tests of the request queue with priorities and organisations, by replays of overloads."""

from __future__ import annotations

import collections
import dataclasses
import itertools
import random
import typing

import pytest

from gentianpaddle_core.serving import recent_load, request_queue

SLOTS = 8
DURATION_S = 1.3
TIMEOUT_S = 8.0
CAPACITY_PER_S = SLOTS / DURATION_S


class Class(typing.NamedTuple):
    """Class of work."""

    name: str
    priority: int
    target_s: float
    patience_s: float
    share: float


CLASSES = (
    Class("urgent", 0, 0.4, 2.0, 0.36),
    Class("caller", 1, 0.4, 2.0, 0.16),
    Class("low", 2, 1.0, 4.0, 0.48),
)


class Arrival(typing.NamedTuple):
    """Arrival of a request."""

    arrived_s: float
    work_class: Class
    organisation: str | None = None


Entry = request_queue.QueuedRequest[Arrival]


class PlainQueue:
    """Order, refusals and Retry-After without priorities and organisations (commit 0cdcde6)."""

    def __init__(self) -> None:
        self.entries: list[Entry] = []
        self.duration_s: float | None = None
        self.started = 0

    def offer(self, entry: Entry, slots: float, now_s: float) -> list[Entry]:
        if now_s + self.wait_s(slots, entry.expires_s) > entry.end_s:
            return [entry]
        self.entries.append(entry)
        return []

    def wait_s(self, slots: float, expires_s: float) -> float:
        ahead = sum(entry.expires_s <= expires_s for entry in self.entries)
        return ahead * (self.duration_s or 1.0) / max(slots, 0.01)

    def next_to_start(self, now_s: float) -> Entry | None:
        late = [entry for entry in self.entries if entry.start_by_s < now_s]
        on_time = [entry for entry in self.entries if entry.start_by_s >= now_s]
        if late and (not on_time or self.started % 4 == 3):
            return min(late, key=lambda entry: (entry.expires_s, entry.arrived_s))
        return min(on_time, key=lambda entry: entry.start_by_s) if on_time else None

    def start(self, entry: Entry, now_s: float) -> None:
        self.started += 1
        self.entries.remove(entry)

    def end(self, entry: Entry, duration_s: float, now_s: float) -> None:
        previous_s = self.duration_s
        self.duration_s = (
            duration_s if previous_s is None else previous_s + 0.05 * (duration_s - previous_s)
        )

    def pop_expired(self, now_s: float) -> list[Entry]:
        expired = [entry for entry in self.entries if entry.end_s <= now_s]
        self.entries = [entry for entry in self.entries if entry.end_s > now_s]
        return expired

    def refused(self, entry: Entry, slots: float, draw: float, now_s: float) -> float:
        wait_s = self.wait_s(slots, float("inf"))
        return min(2.0, max(0.2, wait_s)) * (0.5 + 0.5 * draw)


class NewQueue(request_queue.RequestQueue[Arrival]):
    """The queue under test, driven as by a front."""

    def offer(self, entry: Entry, slots: float, now_s: float) -> list[Entry]:
        self.record_arrival(entry.group, now_s)
        self.add(entry)
        return self.pop_unservable(entry, slots, now_s)

    def start(self, entry: Entry, now_s: float) -> None:
        self.remove_started(entry)
        self.record_start(entry.group, now_s)

    def end(self, entry: Entry, duration_s: float, now_s: float) -> None:
        self.record_end(entry.group, duration_s, now_s)

    def refused(self, entry: Entry, slots: float, draw: float, now_s: float) -> float:
        remaining_s = entry.expires_s - now_s
        return self.retry_after_s(slots, True, draw, entry.group, remaining_s, now_s)


Queue = PlainQueue | NewQueue


@dataclasses.dataclass
class Outcome:
    """What became of a request."""

    arrival: Arrival
    started_s: float | None = None
    on_time: bool = False
    refused_s: float | None = None
    retry_after_s: float = 0.0


def entry_of(arrival: Arrival) -> Entry:
    work_class = arrival.work_class
    group = request_queue.RequestGroup(
        (work_class.priority, work_class.priority), arrival.organisation
    )
    arrived_s = arrival.arrived_s
    return request_queue.QueuedRequest(
        arrival,
        arrived_s,
        arrived_s + work_class.target_s - request_queue.FIRST_EVENT_ALLOWANCE_S,
        arrived_s + work_class.patience_s - request_queue.FIRST_EVENT_ALLOWANCE_S,
        arrived_s + TIMEOUT_S,
        group,
    )


def replay(queue: Queue, arrivals: list[Arrival], seed: int) -> list[Outcome]:
    """Play arrivals at a fixed number of slots, in steps of 10 ms."""
    rng = random.Random(seed)
    outcome_by_id = {id(arrival): Outcome(arrival) for arrival in arrivals}
    running: list[tuple[float, float, Entry]] = []
    pending = collections.deque(arrivals)

    def refuse(entries: list[Entry], now_s: float) -> None:
        for entry in entries:
            outcome = outcome_by_id[id(entry.item)]
            outcome.refused_s = now_s
            outcome.retry_after_s = queue.refused(entry, SLOTS, rng.random(), now_s)

    for step in range(int((arrivals[-1].arrived_s + 6.0) * 100)):
        now_s = step * 0.01
        for ended in [each for each in running if each[0] <= now_s]:
            running.remove(ended)
            queue.end(ended[2], ended[1], now_s)
        while pending and pending[0].arrived_s <= now_s:
            refuse(queue.offer(entry_of(pending.popleft()), SLOTS, now_s), now_s)
        refuse(queue.pop_expired(now_s), now_s)
        while len(running) < SLOTS and (entry := queue.next_to_start(now_s)) is not None:
            queue.start(entry, now_s)
            duration_s = DURATION_S * rng.uniform(0.5, 1.5)
            running.append((now_s + duration_s, duration_s, entry))
            outcome = outcome_by_id[id(entry.item)]
            outcome.started_s, outcome.on_time = now_s, now_s <= entry.start_by_s
    return list(outcome_by_id.values())


def poisson(rng: random.Random, rate_per_s: float, from_s: float, to_s: float) -> list[float]:
    times = []
    now_s = from_s + rng.expovariate(rate_per_s)
    while now_s < to_s:
        times.append(now_s)
        now_s += rng.expovariate(rate_per_s)
    return times


def burst_of_low(load: float, seed: int) -> list[Arrival]:
    """Return 3 s of a load relative to the capacity, then 6 s with 2.5 times the low class."""
    rng = random.Random(seed)
    arrivals = []
    for work_class in CLASSES:
        rate = load * CAPACITY_PER_S * work_class.share
        factor = 2.5 if work_class.name == "low" else 1.0
        times = [*poisson(rng, rate, 0.0, 3.0), *poisson(rng, rate * factor, 3.0, 9.0)]
        arrivals += [Arrival(time_s, work_class) for time_s in times]
    return sorted(arrivals, key=lambda arrival: arrival.arrived_s)


def shares(
    outcomes: typing.Iterable[Outcome], key: typing.Callable[[Arrival], str], on_time: bool
) -> dict[str, float]:
    values = collections.defaultdict(list)
    for outcome in outcomes:
        value = outcome.on_time if on_time else outcome.started_s is not None
        values[key(outcome.arrival)].append(value)
    return {name: sum(each) / len(each) for name, each in values.items()}


def burst_outcomes(new_queue: type[Queue], load: float) -> list[Outcome]:
    outcomes = [replay(new_queue(), burst_of_low(load, seed), seed) for seed in range(20)]
    return [each for each in itertools.chain(*outcomes) if each.arrival.arrived_s >= 3.0]


def flood(load: float, flooding_share: float, seed: int, classes: bool) -> list[Arrival]:
    """Return 6 s of requests of 11 small organisations and of one that sends far more."""
    rng = random.Random(seed)
    arrivals = []
    for time_s in poisson(rng, load * CAPACITY_PER_S, 0.0, 6.0):
        flooding = rng.random() < flooding_share
        organisation = "flooding" if flooding else f"small-{rng.randrange(11)}"
        chosen = rng.choices(CLASSES, [each.share for each in CLASSES])[0]
        arrivals.append(Arrival(time_s, chosen if classes else CLASSES[0], organisation))
    return arrivals


def organisation_kind(arrival: Arrival) -> str:
    return (arrival.organisation or "").partition("-")[0]


def meets_bounds_of_classes(outcomes: list[Outcome]) -> bool:
    """Return whether no class is served too seldom, and urgent ones not less than others."""

    def name(arrival: Arrival) -> str:
        return arrival.work_class.name

    served, on_time = shares(outcomes, name, False), shares(outcomes, name, True)
    mean = sum(each.started_s is not None for each in outcomes) / len(outcomes)
    return (
        min(served.values()) >= mean / 4.0
        and served["urgent"] >= max(served["caller"], served["low"]) - 0.05
        and served["caller"] >= served["low"] - 0.05
        and on_time["urgent"] >= on_time["low"] - 0.15
    )


@pytest.mark.parametrize("load", [0.75, 1.0, 1.45])
def test_a_burst_of_the_low_class_does_not_displace_urgent_ones(load: float) -> None:
    """Guards against serving urgent classes worst in a burst; red without priorities."""
    assert not meets_bounds_of_classes(burst_outcomes(PlainQueue, load))
    after = burst_outcomes(NewQueue, load)
    assert meets_bounds_of_classes(after)
    for outcome in after:
        if outcome.refused_s is not None:
            remaining_s = outcome.arrival.arrived_s + TIMEOUT_S - outcome.refused_s
            assert 0.1 <= outcome.retry_after_s <= max(0.1, remaining_s / 3.0)


@pytest.mark.parametrize("classes", [False, True])
@pytest.mark.parametrize("load", [1.3, 2.0, 3.0])
@pytest.mark.parametrize("flooding_share", [0.04, 0.5, 0.8])
def test_a_flooding_organisation_delays_itself(
    load: float, flooding_share: float, classes: bool
) -> None:
    """Guards against small organisations waiting for a large one, and against starving that one."""
    loads = [flood(load, flooding_share, seed, classes) for seed in range(20)]
    by_kind = [
        [each for seed in range(20) for each in replay(new(), loads[seed], seed)]
        for new in (PlainQueue, NewQueue)
    ]
    before, after = (shares(each, organisation_kind, True)["small"] for each in by_kind)
    # With even load, the order must not cost more than the spread of the replay.
    assert after > before - (0.05 if flooding_share < 0.5 else 0.0)
    served = shares(by_kind[1], lambda arrival: arrival.organisation or "", False)
    mean = sum(each.started_s is not None for each in by_kind[1]) / len(by_kind[1])
    assert min(served.values()) >= mean / 4.0


@pytest.mark.parametrize("seed", range(12))
def test_equal_priorities_are_served_as_without_them(seed: int) -> None:
    """Guards against a change of order, refusals or Retry-After where no priority differs."""
    equal = [each._replace(priority=seed % 3) for each in CLASSES]
    arrivals = [
        each._replace(work_class=equal[CLASSES.index(each.work_class)])
        for each in burst_of_low(0.6 + 0.15 * seed, seed)
    ]
    assert replay(NewQueue(), arrivals, seed) == replay(PlainQueue(), arrivals, seed)


Waiting = tuple[str, int, str | None]


def queue_of(*waiting: Waiting) -> request_queue.RequestQueue[str]:
    queue: request_queue.RequestQueue[str] = request_queue.RequestQueue()
    for item, priority, organisation in waiting:
        queue.add(waiting_entry(item, priority, organisation))
    return queue


def waiting_entry(
    item: str, priority: int, organisation: str | None = None, end_s: float = 3.5
) -> request_queue.QueuedRequest[str]:
    group = request_queue.RequestGroup((priority, priority), organisation)
    return request_queue.QueuedRequest(item, 0.0, 9.0, end_s, 9.0, group)


def start_order(queue: request_queue.RequestQueue[str]) -> list[str]:
    order = []
    while (entry := queue.next_to_start(1.0)) is not None:
        queue.remove_started(entry)
        order.append(entry.item)
    return order


@pytest.mark.parametrize(
    ("waiting", "newcomer", "removed"),
    [
        # Three fit before 3.5 s at one slot and 1 s each.
        ([("a", 0, None), ("b", 0, None), ("c", 0, None)], ("new", 0, None), []),
        ([("a", 0, None)] * 4, ("new", 0, None), ["new"]),
        ([("a", 0, None), ("b", 0, None), ("c", 1, None), ("d", 1, None)], ("new", 0, None), ["d"]),
        ([("a", 2, None)] * 3, ("new", 0, None), []),
        ([("a", 0, "x"), ("b", 0, "x"), ("c", 0, "x"), ("d", 0, "x")], ("new", 0, "y"), ["d"]),
    ],
)
def test_the_last_in_order_is_displaced(
    waiting: list[Waiting], newcomer: Waiting, removed: list[str]
) -> None:
    """Guards against refusing an urgent request because less urgent ones wait."""
    queue = queue_of(*waiting)
    entry = waiting_entry(*newcomer)
    queue.add(entry)
    assert [each.item for each in queue.pop_unservable(entry, 1.0, 0.0)] == removed
    assert len(queue) == len(waiting) + 1 - len(removed)


def test_waiting_requests_stay_while_there_is_room() -> None:
    """Guards against early refusals of an organisation with two requests while a group is down."""
    queue = queue_of(*[(name, 0, name) for name in "abc"])
    queue.add(waiting_entry("a2", 0, "a", 2.0))
    newcomer = waiting_entry("d", 0, "d", 4.5)
    queue.add(newcomer)
    assert queue.pop_unservable(newcomer, 1.0, 0.0) == []


def test_a_low_class_waits_for_urgent_requests_that_have_yet_to_arrive() -> None:
    """Guards against admitting requests that urgent ones will keep from starting in time."""
    queue = queue_of(*[("low", 2, None)] * 4)
    low, urgent = request_queue.RequestGroup((2, 2)), request_queue.RequestGroup((0, 0))
    assert queue.expected_wait_s(4.0, group=low, now_s=1.0) == pytest.approx(1.0)
    for _ in range(12):
        queue.record_arrival(urgent, 1.0)
    # 12 ln 2 / 3 s = 2.8 arrivals per second take 2.8 of 4 slots.
    assert queue.expected_wait_s(4.0, group=low, now_s=1.0) == pytest.approx(3.26, abs=0.01)
    assert queue.expected_wait_s(4.0, group=urgent, now_s=1.0) == 0.0
    # At worst, the lower priorities get one start in four.
    for _ in range(50):
        queue.record_arrival(urgent, 1.0)
    assert queue.expected_wait_s(4.0, group=low, now_s=1.0) == pytest.approx(5.0)


def test_lower_priorities_get_one_start_in_four() -> None:
    """Guards against starving low classes while urgent requests take all slots."""
    queue = queue_of(*[("u", 0, None)] * 20, *[("c", 1, None)] * 9, *[("l", 2, None)] * 9)
    order = start_order(queue)
    assert [order[start : start + 4].count("u") for start in (0, 4, 8, 12)] == [3, 3, 3, 3]


def test_a_starving_organisation_gets_one_start_in_four() -> None:
    """Guards against starving a large organisation because it has used the most slot time."""
    small = [f"small-{index}" for index in range(10)]
    queue = queue_of(*[("large", 0, "large")] * 8, *[(name, 0, name) for name in small])
    for name, arrivals, starts in [("large", 200, 22), *[(name, 30, 20) for name in small]]:
        group = request_queue.RequestGroup((0, 0), name)
        for index in range(arrivals):
            queue.record_arrival(group, 1.0)
            if index < starts:
                queue.record_start(group, 1.0)
    started = start_order(queue)[:8]
    assert [index for index, name in enumerate(started) if name == "large"] == [3, 7]


def test_waiting_requests_keep_their_priority() -> None:
    """Guards against a reordering of waiting requests by a change of the configuration."""
    queue = queue_of(("old-urgent", 0, None), ("old-low", 2, None))
    # The new configuration swaps the priorities of both routes.
    queue.add(waiting_entry("new-urgent", 2))
    queue.add(waiting_entry("new-low", 0))
    assert start_order(queue)[:3] == ["old-urgent", "new-low", "old-low"]


def test_the_number_of_organisations_is_bounded() -> None:
    """Guards against memory that grows with the names of organisations."""
    load: recent_load.RecentLoad[str] = recent_load.RecentLoad()
    load.record_start("busy", 100.0, 0.0)
    for index in range(1_000):
        load.record_arrival(str(index), 0.001 * index)
    assert len(load.arrival_rates_per_s(1.0)) == recent_load.KEY_LIMIT - 1
    assert load.slot_time_s("busy", 3.0) == pytest.approx(50.0)
