"""Guards against orders that an earlier lease holder sent or that are carried out twice."""

from __future__ import annotations

import pytest

from gentianpaddle_core import ids, orders

NEW = orders.Running(ids.ModelName("m"), "2", "decode")
OLD = orders.Running(ids.ModelName("m"), "1", "decode")
GROUP = ids.GroupId("g")


def check(checker: orders.OrderChecker, order_id: str, fence: int) -> orders.Verdict:
    return checker.check_order(order_id, GROUP, ids.Fence(fence), NEW)


@pytest.mark.parametrize(
    ("acknowledged", "running", "accepted", "reason"),
    [
        (True, NEW, True, None),
        (False, NEW, True, None),  # The answer of the backend server was lost.
        (True, OLD, False, orders.OrderReason.NOT_CONFIRMED),
        (False, OLD, False, orders.OrderReason.BACKEND_REFUSED),
    ],
)
def test_repeated_order_gets_the_kept_result(
    acknowledged: bool, running: orders.Running, accepted: bool, reason: orders.OrderReason | None
):
    """Guards against a second execution of an order that is repeated after a lost answer."""
    checker = orders.new_order_checker()
    assert check(checker, "o1", 3) == orders.Execute("o1")
    waiting = orders.Answer(False, orders.OrderReason.IN_PROGRESS, ids.Fence(3))
    assert check(checker, "o1", 3) == waiting
    answer = checker.record_result(acknowledged, running)
    assert answer == orders.Answer(accepted, reason, ids.Fence(3))
    assert check(checker, "o1", 3) == answer


def test_old_fence_is_not_carried_out():
    """Guards against an order that is passed on although a later lease holder was seen."""
    checker = orders.new_order_checker()
    assert check(checker, "o1", 3) == orders.Execute("o1")
    assert check(checker, "o2", 4) == orders.Answer(False, orders.OrderReason.BUSY, ids.Fence(4))
    assert not checker.may_execute("o1"), "a later holder gave an order before the engine was told"
    checker.record_result(False, OLD)
    old = orders.Answer(False, orders.OrderReason.OLD_FENCE, ids.Fence(4))
    assert check(checker, "o3", 3) == old


def test_number_of_kept_results_is_bounded():
    """Guards against kept results that grow without limit."""
    checker = orders.new_order_checker()
    for number in range(orders.MAX_KEPT_RESULTS + 1):
        check(checker, f"o{number}", 1)
        checker.record_result(True, NEW)
    assert isinstance(check(checker, "o1", 1), orders.Answer)
    assert check(checker, "o0", 1) == orders.Execute("o0")
