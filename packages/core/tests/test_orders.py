"""Guards against orders of an earlier lease holder and orders that are carried out twice."""

from __future__ import annotations

import pytest

from gentianpaddle_core import ids, orders

NEW = orders.Running(ids.ModelName("m"), "2", "decode")
OLD = orders.Running(ids.ModelName("m"), "1", "decode")
GROUP = ids.GroupId("g")


def check(desk: orders.OrderDesk, order_id: str, fence: int) -> orders.Verdict:
    return desk.check(order_id, GROUP, ids.Fence(fence), NEW)


@pytest.mark.parametrize(
    ("taken", "running", "accepted", "reason"),
    [
        (True, NEW, True, None),
        (False, NEW, True, None),  # The answer of the backend server was lost.
        (True, OLD, False, orders.OrderReason.NOT_CONFIRMED),
        (False, OLD, False, orders.OrderReason.BACKEND_REFUSED),
    ],
)
def test_repeat_is_answered_from_memory(
    taken: bool, running: orders.Running, accepted: bool, reason: orders.OrderReason | None
):
    desk = orders.new_order_desk()
    assert check(desk, "o1", 3) == orders.Execute("o1")
    waiting = orders.Answer(False, orders.OrderReason.IN_PROGRESS, ids.Fence(3))
    assert check(desk, "o1", 3) == waiting
    answer = desk.finished(taken, running)
    assert answer == orders.Answer(accepted, reason, ids.Fence(3))
    assert check(desk, "o1", 3) == answer


def test_old_fence_is_not_carried_out():
    desk = orders.new_order_desk()
    assert check(desk, "o1", 3) == orders.Execute("o1")
    assert check(desk, "o2", 4) == orders.Answer(False, orders.OrderReason.BUSY, ids.Fence(4))
    assert not desk.may_execute("o1"), "a later holder gave an order before the engine was told"
    desk.finished(False, OLD)
    old = orders.Answer(False, orders.OrderReason.OLD_FENCE, ids.Fence(4))
    assert check(desk, "o3", 3) == old


def test_memory_is_bounded():
    desk = orders.new_order_desk()
    for number in range(orders.REMEMBERED_ORDERS + 1):
        check(desk, f"o{number}", 1)
        desk.finished(True, NEW)
    assert isinstance(check(desk, "o1", 1), orders.Answer)
    assert check(desk, "o0", 1) == orders.Execute("o0")
