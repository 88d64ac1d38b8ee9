"""Timings of the operations on the request path, and of a baseline.

Run with `pytest benchmarks/timing --benchmark-enable --benchmark-columns=median,rounds`. Absolute
times depend on the machine, so compare the medians with that of the baseline, which hashes 4 KB and
runs no code of the project. The ratios that pytest-benchmark prints in brackets are relative to the
fastest case, not to the baseline.
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
    data = bytes(4_096)
    return lambda: hashlib.sha256(data).digest()


def _routing(servers: int) -> Callable[[], object]:
    router = routing._new_router(1, servers)
    requests = routing._requests(1, 500)
    routing._fill_prefixes(router, requests[:250])
    next_requests = itertools.cycle(requests)
    return lambda: router.choose(next(next_requests), 0.2)


def _ledger_admission() -> Callable[[], object]:
    agent_capacity = capacity.new_capacity(capacity.CapacitySettings(64, 0.5))
    agent_capacity.apply_heartbeat(0.0, ENTRY, demand=8)
    agent_capacity.issue_grants(0.0)
    attempt_ledger = ledger.new_ledger(ids.Incarnation(1), agent_capacity)
    numbers = itertools.count()

    def admit() -> object:
        key = ids.RequestKey(f"crew/{next(numbers)}")
        start = ledger.StartRequest(
            ENTRY, key, ids.Attempt(1), ids.Fingerprint(key), ids.Incarnation(1), 30.0, True
        )
        admitted = attempt_ledger.admit(0.1, start, ledger.AdmissionConditions())
        # Releases the capacity for the next round; its time is part of the timing.
        attempt_ledger.cancel(0.1, ENTRY, key, ids.Attempt(1))
        return admitted

    return admit


def _capacity_refresh(entries: int) -> Callable[[], object]:
    agent_capacity = capacity.new_capacity(capacity.CapacitySettings(64, 0.5))
    for number in range(entries):
        agent_capacity.apply_heartbeat(0.0, ids.VmId(f"entry{number}"), demand=8)
    return lambda: agent_capacity.issue_grants(0.1)


def _chunk() -> Callable[[], object]:
    stream = answer_stream.new_answer_stream(KEY, ids.Attempt(1))
    numbers = itertools.count()
    return lambda: stream.receive_chunk(
        answer_stream.Chunk(KEY, ids.Attempt(1), next(numbers), b"word ")
    )


def _exchange(members: int) -> Callable[[], object]:
    fleet = membership_fleet.Fleet(2, 1)
    rng = random.Random(1)
    requester, responder = (member.exchanger for member in fleet.members)
    for number in range(members):
        record = dataclasses.replace(
            requester.table.own, vm=ids.VmId(f"m{number}"), port=number + 1
        )
        requester.table.merge(record, fleet.now_s)
        responder.table.merge(record, fleet.now_s)
    round_numbers = itertools.count()

    def exchange() -> object:
        now_s = fleet.now_s + next(round_numbers) * 0.5
        outgoing = requester.build_requests(now_s, rng)
        for outgoing_request in outgoing:
            requester.handle_reply(
                outgoing_request,
                responder.handle_request(outgoing_request.request, now_s, rng),
                now_s,
            )
        return outgoing

    return exchange


NEW_CALL_BY_CASE: dict[str, Callable[[], Callable[[], object]]] = {
    "baseline": _baseline,
    "routing at 20": lambda: _routing(20),
    "routing at 200": lambda: _routing(200),
    "routing at 2000": lambda: _routing(2_000),
    "ledger admission": _ledger_admission,
    "capacity refresh at 9": lambda: _capacity_refresh(9),
    "answer stream": _chunk,
    "exchange round at 64": lambda: _exchange(64),
    "exchange round at 360": lambda: _exchange(360),
}


@pytest.mark.parametrize("name", list(NEW_CALL_BY_CASE))
def test_time_of(name: str, benchmark: typing.Any) -> None:
    """Reports the time of a call; fails only if the call raises or returns None."""
    assert benchmark.pedantic(NEW_CALL_BY_CASE[name](), rounds=ROUNDS, warmup_rounds=20) is not None
