"""Replays an overload against the placement, with fronts of uneven demand and delayed reports."""

from __future__ import annotations

import collections
import dataclasses
import functools
import heapq
import math
import random
import typing

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import free_slots, placement, room_share, routes, servers

FRONTS, ENGINES, SLOTS = 41, 63, 5
DURATION_S = 1.3
REPORT_INTERVAL_S = 0.1
REPORT_DELAY_S = (0.13, 0.17)
"""With the interval, reports are 0.2 s old on average when a request is placed."""
HEARTBEAT_S, HEARTBEAT_DELAY_S = 0.5, 0.04
PATIENCE_S = 0.4
RETRY_RATIO = 0.2
WARM_UP_S, END_S = 2.0, 6.0
SERVICE = routes.ServiceName("s")
IDS = [ids.BackendServerId(f"i-{number}") for number in range(ENGINES)]
CENTRES = [ids.DataCentreId(name) for name in "abc"]
ENTRIES = [
    servers.ServerEntry(item, SERVICE, "10.0.0.1:80", CENTRES[number % 3], SLOTS, False, 0, 0.0)
    for number, item in enumerate(IDS)
]


@dataclasses.dataclass(frozen=True)
class Scenario:
    """Load and faults of a replay; times are in seconds."""

    seed: int = 1
    divided: bool = True
    load: float = 1.3
    heartbeats_end_s: float = math.inf
    lost_ratio: float = 0.0
    idle_until_s: float = 0.0
    """Time until which front 0 has no demand."""
    dies_s: float = math.inf
    """Time at which front 1 dies."""
    slot_limit: float = math.inf


class Front:
    """A front with its queue."""

    def __init__(self, number: int, scenario: Scenario) -> None:
        self.vm = ids.VmId(f"f{number}")
        seed = scenario.seed * 100 + number
        self.placement = placement.new_placement(CENTRES[number % 3], seed, 0.0)
        self.demand = room_share.ServiceDemand()
        self.table = room_share.DemandTable(self.vm)
        self.waiting: collections.deque[float] = collections.deque()
        self.starts_s: collections.deque[float] = collections.deque()
        self.shares: tuple[float, room_share.Shares] | None = None


class Replay:
    """Fronts and engines on a simulated clock; methods named like events handle these."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario, self.random = scenario, random.Random(scenario.seed)
        self.fronts = [Front(number, scenario) for number in range(FRONTS)]
        self.sizes = [self.random.lognormvariate(0.0, 0.6) for _ in self.fronts]
        self.running = dict.fromkeys(IDS, 0)
        self.counts: collections.Counter[str] = collections.Counter()
        self.first_outcome: str | None = None
        self.peak = 0
        self.busy_s = 0.0
        self.events: list[tuple[float, int, str, tuple]] = []
        self.order = 0
        self.slots = ENGINES * min(SLOTS, scenario.slot_limit)

    def at(self, time_s: float, kind: str, *payload: typing.Any) -> None:
        self.order += 1
        heapq.heappush(self.events, (time_s, self.order, kind, payload))

    def run(self) -> Replay:
        draw = self.random.random
        for number, front in enumerate(self.fronts):
            self.at(0.0, "arrive", number)
            self.at(draw() * HEARTBEAT_S, "beat", front)
            self.at(draw() * 0.05, "tick", front)
        for server in IDS:
            self.at(draw() * REPORT_INTERVAL_S, "read", server)
        last_s = 0.0
        while (event := heapq.heappop(self.events))[0] < END_S:
            now_s, _, kind, payload = event
            total = sum(self.running.values())
            if now_s > WARM_UP_S:
                self.busy_s += total * (now_s - last_s)
                self.peak = max(self.peak, total)
            last_s = now_s
            getattr(self, kind)(now_s, *payload)
        return self

    def arrive(self, now_s: float, number: int) -> None:
        scenario, front = self.scenario, self.fronts[number]
        peak_per_s = 1.7 * scenario.load * ENGINES * SLOTS / DURATION_S
        rate_per_s = peak_per_s * self.sizes[number] / sum(self.sizes)
        self.at(now_s + self.random.expovariate(rate_per_s), "arrive", number)
        wave = 1.0 + 0.7 * math.sin(math.tau * (now_s / 8.0 + number % 3 / 3.0))
        gone = (number == 0 and now_s < scenario.idle_until_s) or (
            number == 1 and now_s > scenario.dies_s
        )
        if self.random.random() < wave / 1.7 and not gone:
            front.demand.record_arrival(now_s)
            front.waiting.append(now_s)
            self.tick(now_s, front, False)

    def read(self, now_s: float, server: ids.BackendServerId) -> None:
        self.at(now_s + REPORT_INTERVAL_S, "read", server)
        for front in self.fronts:
            if self.random.random() >= self.scenario.lost_ratio:
                delay_s = self.random.uniform(*REPORT_DELAY_S)
                self.at(now_s + delay_s, "hear", front, server, self.running[server])

    def hear(self, now_s: float, front: Front, server: ids.BackendServerId, count: int) -> None:
        front.placement.record_report(server, count, True, 1.0, now_s)

    def beat(self, now_s: float, front: Front) -> None:
        self.at(now_s + HEARTBEAT_S, "beat", front)
        if front is self.fronts[1] and now_s > self.scenario.dies_s:
            return
        demand = {SERVICE: front.demand.demand(len(front.waiting), now_s)}
        front.table.record(front.vm, demand, now_s)
        if now_s > self.scenario.heartbeats_end_s:
            return
        for other in self.fronts:
            if other is not front and self.random.random() >= self.scenario.lost_ratio:
                self.at(now_s + HEARTBEAT_DELAY_S, "announce", other, front.vm, demand)

    def announce(self, now_s: float, front: Front, vm: ids.VmId, demand: dict) -> None:
        front.table.record(vm, demand, now_s)

    def end(self, now_s: float, front: Front, server: ids.BackendServerId) -> None:
        self.running[server] -= 1
        front.placement.record_end(server)
        self.tick(now_s, front, False)

    def reject(
        self, now_s: float, front: Front, server: ids.BackendServerId, arrived_s: float
    ) -> None:
        front.placement.record_end(server)
        front.placement.record_declined(server, now_s)
        front.demand.record_rejected(now_s)
        if self.counts["retries"] < RETRY_RATIO * self.counts["sent"]:
            self.counts["retries"] += 1
            front.waiting.appendleft(arrived_s)

    def part(self, front: Front, usage: free_slots.Usage, now_s: float) -> free_slots.Part | None:
        if not self.scenario.divided:
            return None
        if not front.demand.is_contended(usage.reported, self.slots, now_s):
            return None
        if front.shares is None or now_s - front.shares[0] >= 0.1:
            others = [other.vm for other in self.fronts if other is not front]
            demand = front.demand.demand(len(front.waiting), now_s)
            front.shares = (now_s, front.table.shares(SERVICE, demand, others, FRONTS, now_s))
        return free_slots.new_part(front.shares[1], usage.own, self.slots)

    def tick(self, now_s: float, front: Front, again: bool = True) -> None:
        if again:
            self.at(now_s + 0.05, "tick", front)
        while front.waiting and front.waiting[0] < now_s - PATIENCE_S:
            front.waiting.popleft()
            self.counts["refused"] += 1
            if front is self.fronts[0]:
                self.first_outcome = self.first_outcome or "refused"
        while front.starts_s and front.starts_s[0] < now_s - 1.0:
            front.starts_s.popleft()
        while front.waiting:
            usage = front.placement.usage(ENTRIES, now_s)
            part = self.part(front, usage, now_s)
            others = 1.0 / part.shares.ratio if part else float(FRONTS)
            unreported = len(front.starts_s) * (others - 1.0) * placement.REPORT_VISIBILITY_DELAY_S
            if self.scenario.slot_limit < SLOTS:
                room = self.slots - usage.reported
                rounding = random.Random(f"{front.vm}{now_s // 0.25}").random()
                if part and not part.allows_total(room, usage.added, rounding):
                    return
                if not part and room <= unreported + usage.added:
                    return
            limit = self.scenario.slot_limit
            chosen = front.placement.choose(
                ENTRIES, (), 0, True, now_s, unreported, FRONTS, limit, part
            )
            if chosen is None:
                return
            self.start(now_s, front, chosen.id, front.waiting.popleft())

    def start(
        self, now_s: float, front: Front, server: ids.BackendServerId, arrived_s: float
    ) -> None:
        front.placement.record_start(server, now_s)
        front.starts_s.append(now_s)
        in_flight = front.placement.load(server).own_requests
        assert in_flight <= SLOTS, "a front has more requests in progress than the engine has slots"
        self.counts["sent"] += 1
        measured = now_s > WARM_UP_S
        self.counts["measured"] += measured
        if self.running[server] >= SLOTS:
            self.counts["rejected"] += measured
            self.at(now_s + 0.01, "reject", front, server, arrived_s)
            return
        if front is self.fronts[0]:
            self.first_outcome = self.first_outcome or "served"
        self.running[server] += 1
        duration_s = max(0.2, self.random.gammavariate(4.0, DURATION_S / 4.0))
        self.at(now_s + duration_s, "end", front, server)

    @property
    def rejected_ratio(self) -> float:
        return self.counts["rejected"] / self.counts["measured"]

    @property
    def utilisation(self) -> float:
        return self.busy_s / (END_S - WARM_UP_S) / (ENGINES * SLOTS)


@functools.cache
def replayed(scenario: Scenario) -> Replay:
    return Replay(scenario).run()


@pytest.mark.parametrize(
    "scenario",
    [
        Scenario(seed=1),
        Scenario(seed=2),
        Scenario(seed=3, load=2.0, idle_until_s=4.0),
        Scenario(lost_ratio=0.1),
        Scenario(heartbeats_end_s=1.0),
        Scenario(dies_s=2.0),
    ],
)
def test_engines_reject_few_requests_under_overload(scenario: Scenario) -> None:
    """Guards against fronts that all send to the same free slots of nearly full engines."""
    replay = replayed(scenario)
    assert replay.rejected_ratio < 0.05
    undivided = replayed(Scenario(divided=False, load=scenario.load))
    assert replay.utilisation >= 0.9 * undivided.utilisation


def test_requests_do_not_wait_for_a_share_while_slots_are_free() -> None:
    """Guards against refusals without an overload, as when free slots are always divided."""
    replay = replayed(Scenario(load=0.7))
    assert replay.counts["refused"] <= 0.02 * replay.counts["sent"]


@pytest.mark.parametrize("seed", [3, 4])
def test_first_request_of_an_idle_front_is_served(seed: int) -> None:
    """Guards against a front that gets no slot because the others replace all of theirs."""
    scenario = Scenario(seed=seed, load=2.0, idle_until_s=4.0)
    assert replayed(scenario).first_outcome == "served"


def test_lowered_limit_holds_for_all_fronts_together() -> None:
    """Guards against fronts that each fill the same room below the limit on running requests."""
    replay = replayed(Scenario(slot_limit=2.5))
    assert replay.peak <= 1.1 * ENGINES * 2.5
    assert replay.utilisation * SLOTS >= 0.9 * 2.5
