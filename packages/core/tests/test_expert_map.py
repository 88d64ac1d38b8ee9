"""Guards against two ranks that run the same step with different expert maps."""

from __future__ import annotations

import random

import pytest
from hypothesis import settings, stateful
from hypothesis import strategies as st

from gentianpaddle_core import expert_map, ids, map_gate, map_messages, object_api

RANKS = 3
KEY = "maps/g"


def new_map(version: int) -> map_messages.ExpertMap:
    return map_messages.ExpertMap(version, b"%d" % version)


class Group:
    """Simulated group: ranks, coordinators, object API and messages in flight.

    Nothing happens unless a method is called.
    """

    def __init__(self) -> None:
        self.now_s = 0.0
        self.value: bytes | None = None
        self.version = 0
        self.coordinators: list[expert_map.Coordinator] = []
        self.orders_in_flight: list[tuple[expert_map.Coordinator, expert_map.SendOrder]] = []
        self.replies_in_flight: list[tuple[expert_map.Coordinator, map_messages.RankStatus]] = []
        self.store_calls: list[tuple[expert_map.Coordinator, object]] = []
        self.delayed_writes: list[expert_map.WriteRecord] = []
        self.gates = [
            map_gate.new_rank_gate(ids.RankIndex(i), ids.Incarnation(1)) for i in range(RANKS)
        ]
        self.incarnations = [1] * RANKS
        self.steps = [0] * RANKS
        self.version_by_step: dict[int, int] = {}
        self.last_proposed_version = 1
        self.take_over()

    def take_over(self) -> None:
        fence = ids.Fence(len(self.coordinators) + 1)
        coordinator = expert_map.new_coordinator(ids.GroupId("g"), RANKS, fence, new_map(1), 1e9)
        self.coordinators.append(coordinator)

    def collect_actions(self, coordinator: expert_map.Coordinator) -> None:
        for action in coordinator.actions(self.now_s):
            if isinstance(action, expert_map.SendOrder):
                self.orders_in_flight.append((coordinator, action))
            else:
                self.store_calls.append((coordinator, action))

    def answer_store_call(self, index: int, fault: str) -> None:
        """Answer a call of the object API.

        Args:
            index: Index of the call in `store_calls`.
            fault: `down`: no effect; `lost`: takes effect, answer lost; `late`: takes effect later.
        """
        coordinator, call = self.store_calls.pop(index)
        if isinstance(call, expert_map.ReadRecord):
            result: object_api.GetResult = object_api.Absent(KEY)
            if self.value is not None:
                result = object_api.StoredObject(KEY, self.value, self.version)
            unavailable = object_api.StoreUnavailable("down")
            coordinator.on_read(unavailable if fault == "down" else result, self.now_s)
            return
        assert isinstance(call, expert_map.WriteRecord)
        put_result: object_api.PutResult = object_api.ResponseLost("lost")
        if fault == "down":
            put_result = object_api.StoreUnavailable("down")
        elif fault == "late":
            self.delayed_writes.append(call)
        else:
            actual_result = self.apply(call)
            put_result = put_result if fault == "lost" else actual_result
        coordinator.on_write(put_result, self.now_s)

    def apply(self, call: expert_map.WriteRecord) -> object_api.PutResult:
        if call.expected_version != self.version:
            return object_api.VersionConflict(self.version)
        self.value, self.version = call.value, self.version + 1
        return object_api.Written(self.version)

    def deliver(self, index: int, duplicate: bool) -> None:
        coordinator, action = (
            self.orders_in_flight[index] if duplicate else self.orders_in_flight.pop(index)
        )
        self.replies_in_flight.append((coordinator, self.gates[action.rank].handle(action.order)))

    def load(self, rank: int) -> None:
        for item in self.gates[rank].maps_to_load():
            self.gates[rank].mark_loaded(item.version)

    def step(self, rank: int) -> bool:
        step = self.steps[rank]
        result = self.gates[rank].start_step(step)
        if isinstance(result, map_gate.StepBlocked):
            return False
        version = result.expert_map.version
        assert self.version_by_step.setdefault(step, version) == version, "two maps in one step"
        self.steps[rank] += 1
        return True

    def restart(self, rank: int) -> None:
        self.incarnations[rank] += 1
        incarnation = ids.Incarnation(self.incarnations[rank])
        self.gates[rank] = map_gate.new_rank_gate(ids.RankIndex(rank), incarnation)

    def run_round(self, coordinator: expert_map.Coordinator) -> None:
        """Carry out the actions of a coordinator and deliver all messages without faults."""
        self.now_s += 0.6
        self.collect_actions(coordinator)
        while self.store_calls:
            self.answer_store_call(0, "")
        self.deliver_all()

    def deliver_all(self) -> None:
        while self.orders_in_flight:
            self.deliver(0, duplicate=False)
        while self.replies_in_flight:
            sender, status = self.replies_in_flight.pop(0)
            sender.on_status(status)
        for rank in range(RANKS):
            self.load(rank)

    def run_rounds_until(
        self, coordinator: expert_map.Coordinator, phase: expert_map.Phase
    ) -> None:
        for _ in range(20):
            if coordinator.phase is phase:
                return
            self.run_round(coordinator)
        raise AssertionError(f"{coordinator.phase} instead of {phase}")

    def settle(self, coordinator: expert_map.Coordinator) -> None:
        """Run rounds and steps without faults until the coordinator is ready."""
        for _ in range(60):
            self.run_round(coordinator)
            target = max(self.steps) + expert_map.ACTIVATION_STEP_MARGIN // 4
            for rank in range(RANKS):
                while self.steps[rank] < target and self.step(rank):
                    pass
            if coordinator.phase is expert_map.Phase.READY:
                return

    def random_event(self, rng: random.Random) -> None:
        """Trigger one random event: an action, store call, order, reply, step, load or restart."""
        rank, self.now_s = rng.randrange(RANKS), self.now_s + rng.choice((0.0, 0.01, 0.05))
        kind = rng.choices(range(7), (4, 6, 10, 10, 3, 4, 0.15))[0]
        if kind == 0:
            self.collect_actions(
                self.coordinators[-min(rng.choice((1, 1, 1, 2, 3)), len(self.coordinators))]
            )
        elif kind == 1 and self.delayed_writes and rng.random() < 0.5:
            self.apply(self.delayed_writes.pop(rng.randrange(len(self.delayed_writes))))
        elif kind == 1 and self.store_calls:
            fault = rng.choice(("", "", "", "", "down", "lost", "late"))
            self.answer_store_call(rng.randrange(len(self.store_calls)), fault)
        elif kind == 2 and self.orders_in_flight and rng.random() < 0.95:
            self.deliver(rng.randrange(len(self.orders_in_flight)), duplicate=rng.random() < 0.2)
        elif kind == 3 and self.replies_in_flight:
            sender, status = self.replies_in_flight.pop(rng.randrange(len(self.replies_in_flight)))
            if rng.random() < 0.95:
                sender.on_status(status)
        elif kind == 4:
            for _ in range(rng.choice((1, 30, 250))):
                self.step(rank)
        elif kind == 5:
            self.load(rank)
            decision = self.gates[rng.randrange(RANKS)].decision
            if decision and rng.random() < 0.1:
                self.gates[rank].apply_peer_decision(decision)
        elif kind == 6:
            self.restart(rank)

    def propose(self) -> None:
        result = self.coordinators[-1].propose(new_map(self.last_proposed_version + 1), self.now_s)
        self.last_proposed_version += isinstance(result, expert_map.Proposed)


class GroupMachine(stateful.RuleBasedStateMachine):
    """Late, lost, duplicated and reordered messages, restarts, pauses and store faults."""

    def __init__(self) -> None:
        super().__init__()
        self.group = Group()
        self.group.settle(self.group.coordinators[0])
        self.group.propose()

    @stateful.rule(round_count=st.integers(1, 6), age=st.integers(0, 2))
    def progress(self, round_count: int, age: int) -> None:
        coordinators = self.group.coordinators
        for _ in range(round_count):
            self.group.run_round(coordinators[max(0, len(coordinators) - 1 - age)])

    @stateful.rule(seed=st.integers(0, 2**32), length=st.integers(5, 120))
    def random_events(self, seed: int, length: int) -> None:
        rng = random.Random(seed)
        for _ in range(length):
            self.group.random_event(rng)

    @stateful.rule(rank=st.integers(0, RANKS - 1))
    def restart(self, rank: int) -> None:
        self.group.restart(rank)

    @stateful.precondition(lambda self: len(self.group.coordinators) < 6)
    @stateful.rule()
    def take_over(self) -> None:
        self.group.take_over()

    @stateful.rule()
    def settle_and_propose(self) -> None:
        self.group.settle(self.group.coordinators[-1])
        self.group.propose()

    def teardown(self) -> None:
        """Check that a new coordinator brings all ranks to the same map after the faults."""
        self.group.take_over()
        coordinator = self.group.coordinators[-1]
        self.group.settle(coordinator)
        assert coordinator.phase is expert_map.Phase.READY
        assert all(self.group.step(rank) for rank in range(RANKS))


TestGroupMachine = GroupMachine.TestCase
TestGroupMachine.settings = settings(max_examples=100, stateful_step_count=30)


@pytest.mark.parametrize(
    ("faults", "committed"),
    [
        ((), True),
        (("lost",), True),  # The commit took effect, but its answer was lost.
        (("late", "", ""), True),  # The commit write is in flight while it is repeated.
        (("late",) + ("down",) * 12, True),  # The commit is in doubt, so it must not be aborted.
        (("down",) * 12, False),  # Nothing was written, so the abort needs no object API.
    ],
)
def test_commit_is_decided_by_the_record(faults: tuple[str, ...], committed: bool):
    """Guards against an abort of a change that another process sees as committed."""
    group = Group()
    coordinator = group.coordinators[0]
    group.settle(coordinator)
    group.propose()
    group.run_rounds_until(coordinator, expert_map.Phase.ARMING)
    group.run_round(coordinator)  # All ranks are armed.
    for fault in faults:
        group.now_s += 0.6
        group.collect_actions(coordinator)
        while group.store_calls:
            group.answer_store_call(0, fault)
    for call in group.delayed_writes:
        group.apply(call)
    group.settle(coordinator)
    assert coordinator.decision.after.version == (2 if committed else 1)
    assert coordinator.phase is expert_map.Phase.READY


def test_rank_waits_for_the_decision_and_learns_it_from_another_rank():
    """Guards against a rank that starts an undecided step while no coordinator is reachable."""
    group = Group()
    coordinator = group.coordinators[0]
    group.settle(coordinator)
    group.propose()
    group.run_rounds_until(coordinator, expert_map.Phase.ALIGNING)
    for rank in range(RANKS):
        for _ in range(2 * expert_map.ACTIVATION_STEP_MARGIN):
            group.step(rank)
    held = group.gates[0].start_step(group.steps[0])
    assert held == map_gate.StepBlocked(map_messages.GateReason.UNDECIDED)
    group.gates[1].apply_peer_decision(coordinator.decision)
    assert group.gates[1].decision == coordinator.decision
    group.gates[0].apply_peer_decision(coordinator.decision)
    assert group.step(0)


def test_nothing_is_done_past_the_lease():
    """Guards against orders from a coordinator that was paused until after its lease ended."""
    coordinator = expert_map.new_coordinator(ids.GroupId("g"), 1, ids.Fence(1), new_map(1), 5.0)
    assert coordinator.actions(4.9)
    assert coordinator.actions(5.0) == ()


def test_old_coordinator_does_not_adopt_a_restarted_rank():
    """Guards against an outdated map from a coordinator that was paused during a change."""
    group = Group()
    old = group.coordinators[0]
    group.settle(old)
    group.take_over()
    group.settle(group.coordinators[1])
    group.propose()
    group.settle(group.coordinators[1])
    assert group.coordinators[1].decision.after.version == 2
    group.restart(0)
    group.orders_in_flight.clear()
    for _ in range(5):
        group.now_s += 0.6
        group.collect_actions(old)
        # The old coordinator can reach neither the object API nor the other ranks.
        group.orders_in_flight = [item for item in group.orders_in_flight if item[1].rank == 0]
        group.deliver_all()
        assert not group.step(0)
    while group.store_calls:
        group.answer_store_call(0, "")
    assert old.phase is expert_map.Phase.STOPPED


FIRST = map_messages.Decision(map_messages.NO_ATTEMPT, new_map(1), new_map(1), 0)
ADOPT = map_messages.MapOrder(
    map_messages.OrderKind.ADOPT, ids.Fence(1), incarnation=ids.Incarnation(2), decision=FIRST
)


@pytest.mark.parametrize(
    ("fence_before", "incarnation", "reason"),
    [
        (0, 2, map_messages.GateReason.NONE),
        (2, 2, map_messages.GateReason.OLD_FENCE),
        (0, 3, map_messages.GateReason.OTHER_INCARNATION),
    ],
)
def test_gate_follows_only_orders_that_are_up_to_date(
    fence_before: int, incarnation: int, reason: map_messages.GateReason
):
    """Guards against a late adopt order that restores a map from before a restart."""
    gate = map_gate.new_rank_gate(ids.RankIndex(0), ids.Incarnation(incarnation))
    read_back = map_messages.MapOrder(map_messages.OrderKind.READ_BACK, ids.Fence(fence_before))
    gate.handle(read_back)
    status = gate.handle(ADOPT)
    assert (status.reason, status.adopted) == (reason, reason is map_messages.GateReason.NONE)


def test_restarted_rank_is_armed_only_after_it_started_a_step():
    """Guards against an activation step that the rank already ran before its restart.

    The randomised test found this with seed 49.
    """
    gate = map_gate.new_rank_gate(ids.RankIndex(0), ids.Incarnation(2))
    gate.handle(ADOPT)
    gate.mark_loaded(1)
    attempt = map_messages.MapAttempt(ids.Fence(1), 2)
    kinds = map_messages.OrderKind
    gate.handle(map_messages.MapOrder(kinds.PREPARE, ids.Fence(1), attempt, expert_map=new_map(2)))
    gate.mark_loaded(2)
    arm = map_messages.MapOrder(kinds.ARM, ids.Fence(1), attempt, step=632)
    assert gate.handle(arm).reason is map_messages.GateReason.STEP_UNKNOWN
    assert gate.start_step(650) == map_gate.StepAllowed(new_map(1))
    assert gate.handle(arm).reason is map_messages.GateReason.STEP_PASSED
