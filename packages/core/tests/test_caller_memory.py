"""Guards against memory beyond the budget, and against callers that stop the service of others."""

from __future__ import annotations

import hypothesis
import pytest
from hypothesis import strategies

from gentianpaddle_core.serving import caller_memory, caller_pace

Grant = caller_memory.Grant
Pool = caller_memory.Pool
Stage = caller_memory.Stage

BUDGET = caller_memory.Budget(
    total_bytes=1_000,
    reserve_bytes=400,
    response_bytes=100,
    connection_bytes=10,
    connections=20,
    stall_s=0.25,
)
LARGE_BODY = 125
"""Four of them fit into the part of the budget that large bodies can use."""


def new_memory() -> tuple[caller_memory.CallerMemory, list[caller_memory.Holder]]:
    evicted: list[caller_memory.Holder] = []
    return caller_memory.CallerMemory(BUDGET, evicted.append), evicted


def connect(memory: caller_memory.CallerMemory, now_s: float) -> caller_memory.Holder:
    holder = memory.connect(now_s)
    assert holder is not None
    return holder


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["connect", "disconnect", "take", "release", "stage", "stop"]),
            strategies.integers(0, 30),
            strategies.integers(0, 1_200),
            strategies.sampled_from(Pool),
            strategies.sampled_from(Stage),
            strategies.sampled_from([0.0, 0.1, 0.3]),
        ),
        max_size=60,
    )
)
def test_no_sequence_exceeds_the_budget(
    steps: list[tuple[str, int, int, Pool, Stage, float]],
) -> None:
    """Guards against any order of events in which more bytes are held than the budget allows."""
    memory, evicted = new_memory()
    holders: list[caller_memory.Holder] = []
    held: dict[caller_memory.Holder, int] = {}
    now_s = 0.0
    for action, index, size, pool, stage, elapsed_s in steps:
        now_s += elapsed_s
        holder = holders[index % len(holders)] if holders else None
        if action == "connect":
            new = memory.connect(now_s)
            if new is not None:
                holders.append(new)
        elif holder is None:
            continue
        elif action == "take" and (pool is Pool.RESPONSE or holder.body_pool in (None, pool)):
            if memory.take(holder, size, pool, now_s) is Grant.TAKEN:
                held[holder] = held.get(holder, 0) + size
        elif action == "disconnect":
            memory.disconnect(holder)
        elif action == "release":
            memory.release(holder)
        elif action == "stage":
            holder.stage = stage
            holder.progress_s = now_s
        elif action == "stop":
            memory.stop_waiting(holder)
        if action in ("disconnect", "release") and holder is not None:
            held.pop(holder, None)
        for each in evicted:
            held.pop(each, None)
        open_count = sum(each.connected for each in holders)
        assert open_count == memory.connection_count <= BUDGET.connections
        actual = open_count * BUDGET.connection_bytes + sum(held.values())
        assert actual == memory.held_bytes <= BUDGET.total_bytes


def test_stalled_bodies_leave_room_for_others() -> None:
    """Guards against callers that stop before the end of their bodies and keep all others out."""
    memory, evicted = new_memory()
    stalled = [connect(memory, 0.0) for _ in range(4)]
    for holder in stalled:
        assert memory.take(holder, LARGE_BODY, Pool.LARGE, 0.0) is Grant.TAKEN
    stalled[2].progress_s = -1.0
    stalled[3].stage = Stage.RUNNING
    stalled[3].progress_s = -9.0
    large, second = connect(memory, 0.1), connect(memory, 0.1)
    assert memory.take(large, LARGE_BODY, Pool.LARGE, 0.1) is Grant.TAKEN
    assert evicted == [stalled[2]], "the longest without progress, but none that runs"
    assert memory.take(second, LARGE_BODY, Pool.LARGE, 0.1) is Grant.WAIT
    small = connect(memory, 0.1)
    assert memory.take(small, 60, Pool.SMALL, 0.1) is Grant.TAKEN
    assert evicted == [stalled[2]], "small bodies have a reserve"
    assert memory.take(second, LARGE_BODY, Pool.LARGE, 0.3) is Grant.TAKEN
    assert evicted[1] in stalled[:2]


def test_large_bodies_wait_in_order() -> None:
    """Guards against a new large body that overtakes one that waits."""
    memory, _ = new_memory()
    running = [connect(memory, 0.0) for _ in range(4)]
    for holder in running:
        assert memory.take(holder, LARGE_BODY, Pool.LARGE, 0.0) is Grant.TAKEN
        holder.stage = Stage.RUNNING
    first, second = connect(memory, 0.0), connect(memory, 0.0)
    assert memory.take(first, LARGE_BODY, Pool.LARGE, 0.0) is Grant.WAIT
    assert memory.take(second, LARGE_BODY, Pool.LARGE, 0.0) is Grant.WAIT
    memory.release(running[0])
    assert memory.take(second, LARGE_BODY, Pool.LARGE, 0.0) is Grant.WAIT
    assert memory.take(first, LARGE_BODY, Pool.LARGE, 0.0) is Grant.TAKEN
    memory.disconnect(running[1])
    assert memory.take(second, LARGE_BODY, Pool.LARGE, 0.0) is Grant.TAKEN


def test_new_connection_replaces_the_one_longest_without_progress() -> None:
    """Guards against slow callers that occupy all connections."""
    memory, evicted = new_memory()
    holders = [connect(memory, float(number)) for number in range(BUDGET.connections)]
    holders[0].stage = Stage.RUNNING
    connect(memory, 50.0)
    assert evicted == [holders[1]]
    for holder in holders[2:]:
        holder.stage = Stage.RUNNING
    newest = connect(memory, 51.0)
    newest.stage = Stage.RUNNING
    assert memory.connect(52.0) is None


def test_unread_responses_are_evicted_only_for_others() -> None:
    """Guards against callers that do not read large responses and so keep others from theirs."""
    memory, evicted = new_memory()
    unread, reading, new = (connect(memory, 0.0) for _ in range(3))
    for holder in (unread, reading):
        assert memory.take(holder, 40, Pool.RESPONSE, 0.0) is Grant.TAKEN
        holder.stage = Stage.SENDING
    reading.progress_s = 5.0
    new.stage = Stage.RUNNING
    assert memory.take(new, 40, Pool.RESPONSE, 5.0) is Grant.TAKEN
    assert evicted == [unread]
    assert memory.take(connect(memory, 5.0), 40, Pool.RESPONSE, 5.0) is Grant.REFUSED


@pytest.mark.parametrize(
    ("memory_mb", "descriptors", "connections"),
    [(152, 1_124, 438), (552, 8_192, 2_600), (300, None, 1_300), (20, 280, 16)],
)
def test_budget_fits_the_vm(memory_mb: int, descriptors: int | None, connections: int) -> None:
    """Guards against a budget without space for one body of the largest size, or beyond the VM."""
    body = 4_194_304
    budget = caller_memory.new_budget(
        memory_mb * 1_000_000, descriptors, 8_192, 0.75, 65_536, 0.25, body
    )
    assert budget.connections >= connections
    if descriptors is not None:
        own = caller_memory.RESERVED_DESCRIPTORS + caller_memory.OWN_DESCRIPTORS
        assert own + 2 * budget.connections <= descriptors
    memory = caller_memory.CallerMemory(budget, lambda holder: None)
    charge = caller_memory.charge(body)
    for _ in range(2):
        assert memory.take(connect(memory, 0.0), charge, Pool.LARGE, 0.0) is Grant.TAKEN
    if memory_mb >= 152:
        assert budget.total_bytes + caller_memory.BASE_BYTES < memory_mb * 1_000_000


@pytest.mark.parametrize(
    ("read_bytes", "slow"),
    [([0, 0, 0, 0], True), ([0, 10, 20, 30], True), ([0, 900, 1_500, 2_500], False)],
)
def test_slow_readers_are_found(read_bytes: list[int], slow: bool) -> None:
    """Guards against callers that do not read, and against ending those that read steadily."""
    pace = caller_pace.ReadPace()
    found = [
        pace.is_too_slow(True, count, 4.0 * number, 10.0, 100.0)
        for number, count in enumerate(read_bytes)
    ]
    assert found == [False, False, False, slow]
    assert not pace.is_too_slow(False, 0, 99.0, 10.0, 100.0)
