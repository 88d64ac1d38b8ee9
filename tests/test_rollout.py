"""Guards against a change of version that breaks chats or takes down two servers at once."""

from __future__ import annotations

import itertools
import threading
import typing

import pytest

from tests import conftest

CHATS_LIMIT = 200


@pytest.mark.parametrize("lost", [0, 1])
def test_new_version_reaches_one_engine_after_the_other(own_fleet: typing.Any, lost: int):
    fleet, results, done = own_fleet, [], threading.Event()
    fleet.engines[0].options.lost_order_answers = lost
    # The entry stops waiting for the answer before that, so only the reports keep the order.
    fleet.engines[0].options.load_s = 3.0

    def chat(url: str) -> None:
        for number in range(CHATS_LIMIT):
            if done.is_set():
                return
            results.append(fleet.chats_whole(url, f"during {url} {number}", 20))

    threads = [threading.Thread(target=chat, args=(url,)) for url in fleet.urls]
    for thread in threads:
        thread.start()
    try:
        text = conftest.DECLARATION.replace('version = "1"', 'version = "2"')
        status, payload = fleet.apply(text, fleet.status(fleet.urls[0])["revision"])
        assert status == 200, payload
        conftest.wait_until(lambda: all(each.version == "2" for each in fleet.engines))
    finally:
        done.set()
        for thread in threads:
            thread.join(conftest.READY_LIMIT_S)
    orders = [order for each in fleet.engines for order in each.orders]
    orders.sort(key=lambda order: order.started_s)
    assert [order.version for order in orders] == ["2", "2"]
    assert all(first.ended_s < later.started_s for first, later in itertools.pairwise(orders))
    assert [each.broken_by_loads for each in fleet.engines] == [0, 0]
    assert results
    assert all(results), (len(results), results.count(False))
    assert fleet.chats_whole(fleet.urls[1], "after")
