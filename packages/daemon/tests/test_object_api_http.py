"""Guards against reporting a write as failed although it may have taken effect."""

from __future__ import annotations

import random
import threading
import time
from collections.abc import Iterator

import pytest

from gentianpaddle_core import object_api
from gentianpaddle_daemon import object_api_http
from gentianpaddle_standins import faults, object_server, object_store

Served = tuple[faults.FaultyObjectApi, object_api_http.HttpObjectApi, object_store.ObjectStore]


@pytest.fixture
def served() -> Iterator[Served]:
    store = object_store.ObjectStore()
    faulty = faults.FaultyObjectApi(store, random.Random(1))
    server = object_server.ObjectServer(faulty)
    server.start()
    address = f"http://127.0.0.1:{server.port}"
    yield faulty, object_api_http.HttpObjectApi(address, read_timeout_s=0.3), store
    server.stop()


def test_calls_return_the_results_of_the_store(served: Served):
    """Keys, values and versions must pass through HTTP unchanged."""
    _, api, _ = served
    assert api.get("a/1") == object_api.Absent("a/1")
    assert api.put("a/1", b"\x00x", 0) == object_api.Written(1)
    assert api.put("a/1", b"y", 0) == object_api.VersionConflict(1)
    assert api.put("a/1", b"y", 1) == object_api.Written(2)
    assert api.put("a/2", b"z", 0) == object_api.Written(1)
    assert api.put("b/1", b"z", 0) == object_api.Written(1)
    assert api.get("a/1") == object_api.StoredObject("a/1", b"y", 2)
    assert api.list_after("a/", "a/1", 9) == (object_api.StoredObject("a/2", b"z", 1),)
    assert api.watch("a/1", 2, 0.05) == object_api.StoredObject("a/1", b"y", 2)


def test_watch_returns_when_the_object_changes(served: Served):
    """A watch that only returns after its wait would delay each change of the configuration."""
    _, api, store = served
    threading.Timer(0.1, store.put, ("a", b"new", 0)).start()
    started_s = time.monotonic()
    assert api.watch("a", 0, 5.0) == object_api.StoredObject("a", b"new", 1)
    assert time.monotonic() - started_s < 4.0


@pytest.mark.parametrize(
    ("rates", "kind", "took_effect"),
    [
        (faults.FaultRates(lost_write_response=1.0), object_api.ResponseLost, True),
        (faults.FaultRates(delayed_call=1.0, delay_s=0.6), object_api.ResponseLost, True),
        (faults.FaultRates(failure_before_effect=1.0), object_api.StoreUnavailable, False),
    ],
)
def test_failed_write_is_classified_by_its_effect(
    served: Served, rates: faults.FaultRates, kind: type, took_effect: bool
):
    """A lost or late answer leaves the outcome open; only a proven failure is unavailable."""
    faulty, api, store = served
    faulty.rates = rates
    assert isinstance(api.put("a", b"x", 0), kind)
    time.sleep(rates.delay_s)
    assert isinstance(store.get("a"), object_api.StoredObject) == took_effect


def test_refused_connection_is_unavailable():
    """A write that never reached the object API must not count as possibly done."""
    api = object_api_http.HttpObjectApi("http://127.0.0.1:9")
    assert isinstance(api.put("a", b"x", 0), object_api.StoreUnavailable)
    assert isinstance(api.get("a"), object_api.StoreUnavailable)
