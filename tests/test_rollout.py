"""Guards against a version rollout that interrupts chats or takes two engines down at once."""

from __future__ import annotations

import itertools
import threading
import typing

import pytest

from tests import conftest

MAX_CHATS = 200


@pytest.mark.parametrize("lost_answers", [0, 1])
def test_engines_load_a_new_version_one_at_a_time(own_fleet: typing.Any, lost_answers: int):
    fleet, completed, rollout_ended = own_fleet, [], threading.Event()
    fleet.engines[0].options.lost_order_responses = lost_answers
    # Longer than the order time-out of the entry, so that only engine reports can separate loads.
    fleet.engines[0].options.load_duration_s = 3.0

    def chat(url: str) -> None:
        for number in range(MAX_CHATS):
            if rollout_ended.is_set():
                return
            completed.append(fleet.chat_completes(url, f"during {url} {number}", 20))

    threads = [threading.Thread(target=chat, args=(url,)) for url in fleet.urls]
    for thread in threads:
        thread.start()
    try:
        text = conftest.DECLARATION.replace('version = "1"', 'version = "2"')
        status, payload = fleet.put_declaration(text, fleet.status(fleet.urls[0])["revision"])
        assert status == 200, payload
        conftest.wait_until(lambda: all(each.version == "2" for each in fleet.engines))
    finally:
        rollout_ended.set()
        for thread in threads:
            thread.join(conftest.READY_TIMEOUT_S)
    orders = [order for each in fleet.engines for order in each.executed_orders]
    orders.sort(key=lambda order: order.started_s)
    assert [order.version for order in orders] == ["2", "2"]
    assert all(earlier.ended_s < later.started_s for earlier, later in itertools.pairwise(orders))
    assert [each.requests_broken_by_loads for each in fleet.engines] == [0, 0]
    assert completed
    assert all(completed), (len(completed), completed.count(False))
    assert fleet.chat_completes(fleet.urls[1], "after")
