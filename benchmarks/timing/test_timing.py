"""Timings of the hot decisions, as ratios to the first case of each group.

Run with `pytest benchmarks/timing --benchmark-enable --benchmark-columns=median,rounds`. Absolute
times depend on the machine; only the ratios that pytest-benchmark prints in brackets count. The
baseline decides nothing: it hashes 4 KB, so its time follows the speed of the machine.
"""

from __future__ import annotations

import dataclasses
import hashlib
import itertools
import random
import typing
from collections.abc import Callable

import pytest

from benchmarks import membership_fleet, routing
from gentianpaddle_core import answer_stream, capacity, ids, ledger

ROUNDS = 500
KEY = ids.RequestKey("crew/1")
ENTRY = ids.VmId("entry0")


def _baseline() -> Callable[[], object]:
    block = bytes(4_096)
    return lambda: hashlib.sha256(block).digest()


def _routing(servers: int) -> Callable[[], object]:
    router = routing._router_of(1, servers)
    requests = routing._requests(1, 500)
    routing._fill_prefixes(router, requests[:250])
    order = itertools.cycle(requests)
    return lambda: router.choose(next(order), 0.2)


def _admission() -> Callable[[], object]:
    places = capacity.new_capacity(capacity.CapacitySettings(64, 0.5))
    places.hear(0.0, ENTRY, demand=8)
    places.refresh(0.0)
    attempts = ledger.new_ledger(ids.Incarnation(1), places)
    numbers = itertools.count()

    def admit() -> object:
        key = ids.RequestKey(f"crew/{next(numbers)}")
        start = ledger.StartRequest(
            ENTRY, key, ids.Attempt(1), ids.Fingerprint(key), ids.Incarnation(1), 30.0, True
        )
        admitted = attempts.admit(0.1, start, ledger.Conditions())
        attempts.cancel(0.1, ENTRY, key, ids.Attempt(1))
        return admitted

    return admit


def _refresh(entries: int) -> Callable[[], object]:
    places = capacity.new_capacity(capacity.CapacitySettings(64, 0.5))
    for number in range(entries):
        places.hear(0.0, ids.VmId(f"entry{number}"), demand=8)
    return lambda: places.refresh(0.1)


def _stream() -> Callable[[], object]:
    stream = answer_stream.new_answer_stream(KEY, ids.Attempt(1))
    numbers = itertools.count()
    return lambda: stream.receive_chunk(
        answer_stream.Chunk(KEY, ids.Attempt(1), next(numbers), b"word ")
    )


def _exchange(members: int) -> Callable[[], object]:
    fleet = membership_fleet.Fleet(2, 1)
    rng = random.Random(1)
    first, second = (member.exchanger for member in fleet.members)
    for number in range(members):
        record = dataclasses.replace(first.table.own, vm=ids.VmId(f"m{number}"), port=number + 1)
        first.table.merge(record, fleet.now_s)
        second.table.merge(record, fleet.now_s)
    clock = itertools.count()

    def exchange() -> object:
        now_s = fleet.now_s + next(clock) * 0.5
        outgoing = first.build_requests(now_s, rng)
        for each in outgoing:
            first.handle_reply(each, second.handle_request(each.request, now_s, rng), now_s)
        return outgoing

    return exchange


CASES: dict[str, Callable[[], Callable[[], object]]] = {
    "baseline": _baseline,
    "routing at 20": lambda: _routing(20),
    "routing at 200": lambda: _routing(200),
    "routing at 2000": lambda: _routing(2_000),
    "ledger admission": _admission,
    "capacity refresh at 9": lambda: _refresh(9),
    "answer stream": _stream,
    "exchange round at 64": lambda: _exchange(64),
    "exchange round at 360": lambda: _exchange(360),
}


@pytest.mark.parametrize("name", list(CASES))
def test_time_of(name: str, benchmark: typing.Any) -> None:
    assert benchmark.pedantic(CASES[name](), rounds=ROUNDS, warmup_rounds=20) is not None
