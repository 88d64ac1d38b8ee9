"""Guards against wrong outcomes of writes with a lost answer, stale replies and excess calls."""

from __future__ import annotations

import random
import typing

import pytest

from gentianpaddle_core import object_api
from gentianpaddle_daemon import store_client
from gentianpaddle_standins import faults, object_store


class ScriptedApi(object_store.NonBlockingObjectStore):
    """Object store whose next replies are scripted; a step of None passes the call on."""

    def __init__(self) -> None:
        super().__init__()
        self.puts: list[object] = []
        self.gets: list[object] = []

    def put(self, key: str, value: bytes, expected_version: int) -> object_api.PutResult:
        step = self.puts.pop(0) if self.puts else None
        if step == "lost before":
            return object_api.ResponseLost("")
        result = super().put(key, value, expected_version)
        if step == "replaced":
            super().put(key, b"other", expected_version + 1)
        return object_api.ResponseLost("") if step else result

    def get(self, key: str) -> object_api.GetResult:
        step = self.gets.pop(0) if self.gets else None
        return typing.cast(object_api.GetResult, step) if step else super().get(key)


def new_client(api: object_api.ObjectApi, rate: float = 1_000.0) -> store_client.StoreClient:
    return store_client.StoreClient(api, store_client.CallBudget(rate, rate), lambda: 0.0)


@pytest.mark.parametrize(
    ("puts", "gets", "expected"),
    [
        (["lost after"], [], object_api.Written(1)),
        (["lost before"], [], object_api.Written(1)),
        (["lost after"], [object_api.Absent("a")], object_api.Written(1)),
        (["lost before", "lost before"], [], object_api.Written(1)),
        (["lost before", "lost after"], [], object_api.Written(1)),
        (["replaced"], [], object_api.ResponseLost("replaced by version 2")),
        (["lost after"], [object_api.StoreUnavailable("")] * 3, object_api.ResponseLost("")),
    ],
)
def test_outcome_of_write_with_lost_answer(
    puts: list[object], gets: list[object], expected: object
):
    """A write whose answer is lost must not be reported as failed if it took effect."""
    api = ScriptedApi()
    api.puts, api.gets = puts, gets
    assert new_client(api).put("a", b"mine", 0) == expected


def test_stale_reply_is_discarded():
    """A stale reply of the object API must not take the process back to an older version."""
    store = object_store.NonBlockingObjectStore()
    faulty = faults.FaultyObjectApi(store, random.Random(1))
    client = new_client(faulty)
    for version in range(3):
        client.put("a", b"%d" % version, version)
    faulty.rates = faults.FaultRates(stale_read=1.0)
    assert client.get("a") == object_api.StoreUnavailable("stale reply")
    assert client.list_after("a", "", 9) == object_api.StoreUnavailable("stale reply")
    assert client.watch("a", 3, 1.0) == object_api.StoreUnavailable("stale reply")
    faulty.rates = faults.FaultRates()
    assert client.get("a") == object_api.StoredObject("a", b"2", 3)


def test_reads_and_writes_have_separate_budgets():
    """A process that calls too often must stay within its rate of reads and its rate of writes."""
    now_s = 0.0
    faulty = faults.FaultyObjectApi(object_store.NonBlockingObjectStore(), random.Random(1))
    budget = store_client.CallBudget(reads_per_s=5.0, writes_per_s=2.0)
    client = store_client.StoreClient(faulty, budget, lambda: now_s)
    for tick in range(100):
        now_s = tick * 0.1
        client.get("a")
        client.get("a")
        client.put("a", b"%d" % tick, client.calls_by_kind[store_client.CallKind.WRITE])
    assert faulty.calls_by_kind[faults.CallKind.GET] == pytest.approx(5 + 5 * 9.9, abs=1)
    assert faulty.calls_by_kind[faults.CallKind.PUT] == pytest.approx(2 + 2 * 9.9, abs=1)
