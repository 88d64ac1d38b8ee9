"""Map changes with lost or delayed orders, restarts and freezes, alone and beside a rescuer."""

from __future__ import annotations

import dataclasses
import random

import pytest

from gentianpaddle_core.serving import engine_state, map_change

RANKS = 4
ROUND_S = 0.01
ROUNDS_PER_PASS = 4


class Rank:
    """Model of one rank, according to the engine's documentation."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.map_version = 0
        self.highest_version = 0
        self.prepared: int | None = None
        self.armed: tuple[int, int] | None = None
        self.held: int | None = None

    def report(self, passes: int) -> engine_state.EngineReport:
        return engine_state.EngineReport(
            group="g",
            epoch=1,
            rank=self.number,
            rank_count=RANKS,
            group_accepts_requests=True,
            running=0,
            queued=0,
            memory_used=0,
            memory_total=1,
            slowdown_factor=1.0,
            busy=False,
            last_pass=passes,
            map_version=self.map_version,
            prepared_version=self.prepared,
            armed_switch=self.armed,
            held_pass=self.held,
            started_ms=1,
        )

    def apply_order(self, order: engine_state.Order, passes: int) -> bool:
        kind = order.operation
        if kind is engine_state.Operation.PREPARE:
            if order.version <= self.highest_version or self.armed is not None:
                return order.version == self.prepared
            self.highest_version = self.prepared = order.version
        elif kind is engine_state.Operation.ARM:
            if self.prepared != order.version or order.at_pass <= passes:
                return False
            if self.armed is not None and self.armed != (order.version, order.at_pass):
                return False
            self.armed = (order.version, order.at_pass)
        elif kind is engine_state.Operation.DISARM:
            if self.armed is None or self.armed[0] != order.version:
                return False
            self.armed = None
        elif kind is engine_state.Operation.HOLD:
            if order.at_pass <= passes or self.held is not None:
                return False
            self.held = order.at_pass
        elif kind is engine_state.Operation.RELEASE:
            if self.held != order.at_pass:
                return False
            self.held = None
        return True


@dataclasses.dataclass
class Group:
    """Model of a group whose ranks run passes in step, with orders in transit."""

    seed: int
    loss_ratio: float
    """Share of orders that get no answer and are executed late or never."""

    def __post_init__(self) -> None:
        self.random = random.Random(self.seed)
        self.ranks = [Rank(number) for number in range(RANKS)]
        self.passes = 0
        self.round = 0
        self.delayed: list[tuple[int, int, engine_state.Order]] = []

    def reports(self) -> dict[int, engine_state.EngineReport]:
        return {rank.number: rank.report(self.passes) for rank in self.ranks}

    def send(self, number: int, order: engine_state.Order) -> bool | None:
        if self.random.random() < self.loss_ratio:
            if self.random.random() < 0.8:
                delay = self.random.randrange(1, 300)
                self.delayed.append((self.round + delay, number, order))
            return None
        return self.ranks[number].apply_order(order, self.passes)

    def advance(self) -> None:
        self.round += 1
        due = [item for item in self.delayed if item[0] <= self.round]
        self.delayed = [item for item in self.delayed if item[0] > self.round]
        for _, number, order in due:
            self.ranks[number].apply_order(order, self.passes)
        if self.round % ROUNDS_PER_PASS == 0:
            self.run_pass()

    def run_pass(self) -> None:
        next_pass = self.passes + 1
        if any(rank.held is not None and rank.held <= next_pass for rank in self.ranks):
            return
        self.passes = next_pass
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] <= next_pass:
                rank.map_version, rank.armed, rank.prepared = rank.armed[0], None, None
        versions = {rank.map_version for rank in self.ranks}
        assert len(versions) == 1, f"pass {next_pass} has the maps {versions}"


def run(group: Group, rounds: int, restart_probability: float) -> map_change.MapChange:
    """Run changes; in each round the coordinator may restart and lose its state."""
    change = map_change.MapChange(1, RANKS, group.random)
    for _ in range(rounds):
        now_s = group.round * ROUND_S
        if change.phase is map_change.Phase.IDLE:
            reports = group.reports()
            no_change_in_progress = not any(
                r.armed_switch or r.held_pass is not None for r in reports.values()
            )
            if no_change_in_progress and group.random.random() < 0.1:
                change.begin(((),), reports, now_s)
        if group.random.random() < restart_probability:
            change = map_change.MapChange(1, RANKS, group.random)
        for number, order in change.next_orders(group.reports(), now_s).items():
            if group.send(number, order) is False:
                change.order_declined(order, now_s)
        group.advance()
    return change


@pytest.mark.parametrize(
    ("lost", "stops"), [(0.0, 0.0), (0.35, 0.0), (0.0, 0.05), (0.35, 0.05), (0.7, 0.02)]
)
@pytest.mark.parametrize("seed", range(12))
def test_no_pass_mixes_maps_and_no_hold_remains(lost: float, stops: float, seed: int) -> None:
    """Guards against two maps in one pass, and against a group that stays held forever.

    An order is delayed or lost with the probability `lost`; the coordinator restarts with the
    probability `stops` per round. After 2,000 rounds no further order is delayed or lost, and the
    last change must complete or be rolled back.
    """
    group = Group(seed, lost)
    change = run(group, 2_000, stops)
    if lost <= 0.35 and stops == 0.0:
        assert group.ranks[0].map_version > 0, "no change was ever completed"
    group.loss_ratio = 0.0
    for _ in range(800):
        now_s = group.round * ROUND_S
        for number, order in change.next_orders(group.reports(), now_s).items():
            if group.send(number, order) is False:
                change.order_declined(order, now_s)
        group.advance()
    assert change.phase is map_change.Phase.IDLE
    assert all(rank.held is None and rank.armed is None for rank in group.ranks)


def test_late_arm_order_is_declined_after_rollback() -> None:
    """Guards against a delayed order to arm taking effect after the change was rolled back."""
    group = Group(0, 0.0)
    change = map_change.MapChange(1, RANKS, group.random)
    change.begin(((),), group.reports(), 0.0)
    late_order: engine_state.Order | None = None
    now_s = 0.0
    while change.phase is not map_change.Phase.IDLE or late_order is None:
        now_s += ROUND_S
        for number, order in change.next_orders(group.reports(), now_s).items():
            if number == 2 and order.operation is engine_state.Operation.ARM:
                late_order = order
            else:
                group.send(number, order)
        assert now_s < 10.0
    assert not group.ranks[2].apply_order(late_order, group.passes)
    for _ in range(20):
        group.run_pass()


def test_declining_rank_does_not_cause_repeated_copies() -> None:
    """Guards against copying experts in every round while one rank declines every map."""
    ranks = [Rank(number) for number in range(RANKS)]
    change = map_change.MapChange(1, RANKS, random.Random(1))
    reports = {rank.number: rank.report(1) for rank in ranks}
    change.begin((), reports, 0.0)
    versions = set()
    now_s = 0.0
    while change.phase is not map_change.Phase.IDLE:
        for number, order in change.next_orders(reports, now_s).items():
            if number == 2:
                change.order_declined(order, now_s)
                continue
            versions.add(order.version)
            ranks[number].apply_order(order, 1)
            reports[number] = ranks[number].report(1)
        now_s += ROUND_S
    assert len(versions) <= 2
    assert now_s < map_change.PREPARE_TIMEOUT_S + 1.0


@pytest.mark.parametrize("restarted", [False, True])
def test_layout_of_a_predecessor_is_not_taken_for_a_known_one(restarted: bool) -> None:
    """Guards against changes that start from an old layout after a restart of the coordinator.

    The coordinator restarts when all ranks are armed, and completes the change of its predecessor.
    """
    old_layout, new_layout = (((0,), (1,)),), (((1,), (0,)),)
    group = Group(3, 0.0)
    change = map_change.MapChange(1, RANKS, group.random, current_layout=old_layout)
    change.begin(new_layout, group.reports(), 0.0)
    now_s = 0.0
    while any(rank.armed is None for rank in group.ranks):
        now_s += ROUND_S
        for number, order in change.next_orders(group.reports(), now_s).items():
            group.send(number, order)
        assert now_s < 10.0
    if restarted:
        change = map_change.MapChange(1, RANKS, group.random, current_layout=old_layout)
    for _ in range(200):
        now_s += ROUND_S
        for number, order in change.next_orders(group.reports(), now_s).items():
            group.send(number, order)
        group.advance()
    assert change.phase is map_change.Phase.IDLE
    assert {rank.map_version for rank in group.ranks} != {0}
    assert change.current_layout == (() if restarted else new_layout)


MAX_FREEZE_ROUNDS = 400
"""Longest freeze, in rounds of orders; 4 s."""


@dataclasses.dataclass
class Process:
    """A process that reads the ranks one after the other, then sends orders one by one."""

    group: Group
    ranks: range
    """Ranks that it can reach."""
    reports: dict[int, engine_state.EngineReport] = dataclasses.field(default_factory=dict)
    pending: list[tuple[int, engine_state.Order]] = dataclasses.field(default_factory=list)
    frozen_until: int = 0

    def act(self, freeze_probability: float) -> None:
        """Read one rank or send one order, unless the process is frozen."""
        rng = self.group.random
        if self.group.round < self.frozen_until:
            return
        if rng.random() < freeze_probability:
            self.frozen_until = self.group.round + rng.randrange(1, MAX_FREEZE_ROUNDS)
        elif self.pending:
            number, order = self.pending.pop(0)
            if self.group.send(number, order) is False:
                self.declined(order)
        elif len(self.reports) < len(self.ranks):
            number = self.ranks[len(self.reports)]
            self.reports[number] = self.group.ranks[number].report(self.group.passes)
        else:
            self.pending = list(self.decide(self.group.round * ROUND_S).items())
            self.reports = {}

    def decide(self, now_s: float) -> dict[int, engine_state.Order]:
        """Return the orders that follow from the reports."""
        raise NotImplementedError

    def declined(self, order: engine_state.Order) -> None:
        """Learn that an order was declined."""


@dataclasses.dataclass
class Coordinator(Process):
    """Process on the VM of rank 0."""

    begins: bool = True
    change: map_change.MapChange = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.restart()

    def restart(self) -> None:
        self.change = map_change.MapChange(1, RANKS, self.group.random)
        self.pending, self.reports = [], {}

    def decide(self, now_s: float) -> dict[int, engine_state.Order]:
        unfinished = any(r.armed_switch or r.held_pass is not None for r in self.reports.values())
        idle = self.change.phase is map_change.Phase.IDLE
        if idle and self.begins and not unfinished and self.group.random.random() < 0.3:
            self.change.begin(((),), self.reports, now_s)
        return self.change.next_orders(self.reports, now_s)

    def declined(self, order: engine_state.Order) -> None:
        self.change.order_declined(order, self.group.round * ROUND_S)


@dataclasses.dataclass
class Rescuer(Process):
    """Process on the VM of rank 1; it does not wait until a hold has lasted for long."""

    rescue: map_change.Rescue | None = None

    def decide(self, now_s: float) -> dict[int, engine_state.Order]:
        if all(report.held_pass is None for report in self.reports.values()):
            self.rescue = None
            return {}
        if self.rescue is None:
            self.rescue = map_change.Rescue(1, self.group.random, ((),))
        return self.rescue.next_orders(self.reports)


def new_processes(group: Group) -> tuple[Coordinator, Rescuer]:
    return Coordinator(group, range(RANKS)), Rescuer(group, range(1, RANKS))


@pytest.mark.parametrize(
    ("lost", "freezes", "restarts"),
    [
        (0.0, 0.02, 0.0),
        (0.0, 0.2, 0.0),
        (0.2, 0.02, 0.0),
        (0.4, 0.05, 0.0),
        (0.0, 0.02, 0.01),
        (0.3, 0.05, 0.01),
    ],
)
@pytest.mark.parametrize("seed", range(20))
def test_no_pass_mixes_maps_beside_a_rescuer(
    lost: float, freezes: float, restarts: float, seed: int
) -> None:
    """Guards against two maps in one pass when a change is taken back for a frozen coordinator.

    Each process may freeze between any two steps and continues with reports that are no longer
    true. When nothing freezes any more and no order is lost, no hold may remain.
    """
    group = Group(seed, lost)
    coordinator, rescuer = new_processes(group)
    for _ in range(3_000):
        if group.random.random() < restarts:
            coordinator.restart()
        coordinator.act(freezes)
        rescuer.act(freezes)
        group.advance()
    group.loss_ratio = 0.0
    coordinator.begins = False
    for _ in range(2_000):
        coordinator.act(0.0)
        if group.round % 400 < 200:
            rescuer.act(0.0)
        group.advance()
    assert all(rank.held is None and rank.armed is None for rank in group.ranks)


@pytest.mark.parametrize("orders_before_freeze", range(14))
def test_a_frozen_coordinator_does_not_hold_the_group(orders_before_freeze: int) -> None:
    """Guards against a group that is held for as long as the VM of its coordinator stands still.

    The coordinator freezes for good after a number of orders of its first change. Only while all
    other ranks are armed may the hold last, as rank 0 may be armed too.
    """
    group = Group(1, 0.0)
    coordinator, rescuer = new_processes(group)
    sent = 0
    while sent < orders_before_freeze:
        before = len(coordinator.pending)
        coordinator.act(0.0)
        sent += len(coordinator.pending) < before
        group.advance()
    all_armed = all(rank.armed is not None for rank in group.ranks[1:])
    for _ in range(100):
        rescuer.act(0.0)
        group.advance()
    assert all_armed or all(rank.held is None for rank in group.ranks)
