"""Replays requests of many fronts to one server that names a limit."""

from __future__ import annotations

import collections
import dataclasses
import math
import random

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import server_limits

SERVER = ids.BackendServerId("i-1")
STEP_S = 0.05
NEWS_DELAY_S = 0.06
ANSWER_DELAY_S = 0.1
DETECTION_S = 2.6
"""Time until the others notice that a front has stopped."""
WINDOW_S = 4.0
KNOWN_AFTER_S = 0.5
LEARNING_S = 3.0
DURATION_S = 65.0


@dataclasses.dataclass
class Replay:
    """Fronts that all have more requests than the server takes.

    Attributes:
        limit_per_s: Limit that the server names in each answer, or None.
        demand_per_s: Mean number of requests per second at each front that could go to the server.
    """

    limit_per_s: float | None
    demand_per_s: float
    fronts: dict[ids.VmId, server_limits.ServerLimits] = dataclasses.field(default_factory=dict)
    live: frozenset[ids.VmId] = frozenset()
    cut: set[ids.VmId] = dataclasses.field(default_factory=set)
    now_s: float = 0.0
    sent_s: list[float] = dataclasses.field(default_factory=list)
    """Times of the requests that count: of fronts that are not cut off and know the limit."""
    news_count: int = 0

    def __post_init__(self) -> None:
        self._pending: collections.deque[tuple[float, ids.VmId, object]] = collections.deque()
        self._rng = random.Random(7)
        self._first_answer_s: dict[ids.VmId, float] = {}

    def add(self, number: int) -> None:
        vm = ids.VmId(f"front-{number}")
        self.fronts[vm] = server_limits.ServerLimits(vm, lambda _: self._seen_by(vm))
        self.live |= {vm}

    def remove(self, vm: ids.VmId) -> None:
        del self.fronts[vm]
        self._first_answer_s.pop(vm, None)

    def _seen_by(self, vm: ids.VmId) -> frozenset[ids.VmId]:
        return frozenset() if vm in self.cut else self.live - self.cut - {vm}

    def run(self, until_s: float) -> None:
        while self.now_s < until_s:
            self.now_s += STEP_S
            self._deliver()
            for vm, limits in self.fronts.items():
                if self._rng.random() < self.demand_per_s * STEP_S and limits.allows(
                    SERVER, self.now_s
                ):
                    limits.record_send(SERVER)
                    if vm not in self.cut and self._knows_limit(vm):
                        self.sent_s.append(self.now_s)
                    self._pending.append((self.now_s + ANSWER_DELAY_S, vm, self.limit_per_s))
                self._publish(vm, limits)

    def _knows_limit(self, vm: ids.VmId) -> bool:
        """Return whether a front got an answer with the limit at least `KNOWN_AFTER_S` ago.

        The platform counts the requests of such fronts only.
        """
        first_s = self._first_answer_s.get(vm, math.inf)
        return self.now_s - first_s >= KNOWN_AFTER_S

    def _publish(self, vm: ids.VmId, limits: server_limits.ServerLimits) -> None:
        for item in limits.take_news(self.now_s):
            self.news_count += 1
            if vm not in self.cut:
                self._pending.append((self.now_s + NEWS_DELAY_S, vm, item))

    def _deliver(self) -> None:
        due = [item for item in self._pending if item[0] <= self.now_s]
        self._pending = collections.deque(item for item in self._pending if item[0] > self.now_s)
        for _, vm, content in due:
            if isinstance(content, server_limits.LimitNews):
                for other, limits in self.fronts.items():
                    if other != vm and other not in self.cut:
                        limits.record_news(content, self.now_s)
            elif vm in self.fronts:
                self._first_answer_s.setdefault(vm, self.now_s)
                self.fronts[vm].record_answer(SERVER, content, self.now_s)

    def most_in_window(self) -> int:
        times_s = [sent_s for sent_s in self.sent_s if sent_s > LEARNING_S]
        counts = [
            sum(first_s <= other_s < first_s + WINDOW_S for other_s in times_s)
            for first_s in times_s
        ]
        return max(counts, default=0)


def new_replay(fronts: int, limit_per_s: float, demand_per_s: float = 10.0) -> Replay:
    replay = Replay(limit_per_s, demand_per_s)
    for number in range(fronts):
        replay.add(number)
    return replay


def holder(replay: Replay) -> ids.VmId:
    """Return a front that may use the limit."""
    later_s = replay.now_s + 2.0
    return max(replay.fronts, key=lambda vm: replay.fronts[vm].allows(SERVER, later_s))


@pytest.mark.parametrize("fronts", [1, 8, 24, 291])
@pytest.mark.parametrize("limit_per_s", [0.5, 1.1, 6.0])
@pytest.mark.parametrize("disturbance", ["none", "restart", "join", "leave", "cut"])
def test_limit_is_kept_and_used(fronts: int, limit_per_s: float, disturbance: str) -> None:
    """Guards against an overrun server in need, and against one that is hardly used.

    In any 4 s the server gets at most half of what the platform allows, or, if its limit is above
    one request per second, what the limit itself allows. At least 70 % of the limit is used. The
    front that uses the limit restarts, leaves or is cut off.
    """
    replay = new_replay(fronts, limit_per_s)
    replay.run(15.0)
    vm = holder(replay)
    if disturbance == "join":
        replay.add(fronts)
    elif disturbance != "none" and fronts > 1:
        if disturbance == "cut":
            replay.cut.add(vm)
        else:
            replay.remove(vm)
        replay.run(15.0 + DETECTION_S)
        replay.live -= {vm}
        if disturbance == "restart":
            replay.add(int(vm.removeprefix("front-")))
        replay.run(25.0)
        if disturbance == "cut":
            replay.cut.clear()
            replay.live |= {vm}
    replay.run(DURATION_S)
    half_of_platform_bound = (1.5 * WINDOW_S * limit_per_s + 5.0) / 2.0
    limit_itself = math.ceil(WINDOW_S * limit_per_s)
    assert replay.most_in_window() <= max(half_of_platform_bound, limit_itself)
    used_per_s = sum(sent_s > 25.0 for sent_s in replay.sent_s) / (DURATION_S - 25.0)
    assert used_per_s >= 0.7 * limit_per_s


@pytest.mark.parametrize("limit_per_s", [0.5, 1.1])
def test_limit_is_used_by_fronts_with_few_requests(limit_per_s: float) -> None:
    """Guards against a limit that goes unused because requests arrive at other moments."""
    replay = new_replay(8, limit_per_s, demand_per_s=3.0)
    replay.run(DURATION_S)
    used_per_s = sum(sent_s > 5.0 for sent_s in replay.sent_s) / (DURATION_S - 5.0)
    assert used_per_s >= 0.7 * limit_per_s


@pytest.mark.parametrize("fronts", [1, 8, 291])
def test_limit_ends_with_the_first_answer_without_it(fronts: int) -> None:
    """Guards against a server that gets next to nothing long after it has recovered."""
    replay = new_replay(fronts, 0.5)
    replay.run(15.0)
    replay.limit_per_s = None
    replay.run(22.0)
    assert all(limits.allows(SERVER, replay.now_s) for limits in replay.fronts.values())


def test_limit_without_further_answers_expires() -> None:
    """Guards against a server that is shut out for good because nobody asks it any more."""
    replay = new_replay(8, 0.0)
    replay.run(5.0)
    expired_s = replay.now_s + server_limits.EXPIRY_S + 8 * server_limits.EXPIRY_STEP_S
    assert all(limits.allows(SERVER, expired_s) for limits in replay.fronts.values())


def test_number_of_messages_does_not_grow_with_the_fronts() -> None:
    """Guards against messages that flood the links of hundreds of VMs."""
    replay = new_replay(291, 0.5)
    replay.run(5.0)
    before = replay.news_count
    replay.run(25.0)
    assert replay.news_count - before <= 2 * 20
