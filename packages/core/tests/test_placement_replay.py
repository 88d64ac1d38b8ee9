"""Replays of loads against the placement: processes that see the same reports a little late."""

from __future__ import annotations

import heapq
import random

import pytest

from gentianpaddle_core import ids
from gentianpaddle_core.serving import placement, routes, servers

REPORT_INTERVAL_S = 0.1
TRAVEL_S = 0.03
SECONDS = 20.0


def fleet(size: int, slots: int) -> list[servers.ServerEntry]:
    return [
        servers.ServerEntry(
            id=ids.BackendServerId(f"i-{number}"),
            service=routes.ServiceName("s"),
            address=f"10.0.0.{number}:80",
            data_centre=ids.DataCentreId("abc"[number % 3]),
            slots=slots,
            draining=False,
            started_ms=0,
            cold_ms=0.0,
        )
        for number in range(size)
    ]


def share_of_full(fronts: int, size: int, slots: int, rate_per_s: float, seed: int) -> float:
    """Play Poisson arrivals and return the share that reaches a server with no free slot."""
    draws = random.Random(seed)
    listed = fleet(size, slots)
    loads = [
        placement.new_placement(ids.DataCentreId("abc"[front % 3]), seed * 100 + front, 0.0)
        for front in range(fronts)
    ]
    running = {entry.id: 0 for entry in listed}
    events: list[tuple[float, int, str, object]] = [(0.0, 0, "arrive", None)]
    for number, entry in enumerate(listed):
        events.append((draws.random() * REPORT_INTERVAL_S, number + 1, "read", entry))
    heapq.heapify(events)
    order = size + 1
    arrivals = full = 0
    unseen = rate_per_s * (fronts - 1) / fronts * placement.UNSEEN_S
    while events:
        now_s, _, kind, what = heapq.heappop(events)
        if now_s > SECONDS:
            break
        order += 1
        if kind == "arrive":
            front = draws.randrange(fronts)
            chosen = loads[front].choose(listed, (), 0, True, now_s, unseen)
            if chosen is not None:
                arrivals += 1
                full += running[chosen.id] >= slots
                running[chosen.id] += 1
                loads[front].started(chosen.id, now_s)
                ends_s = now_s + draws.expovariate(1.0 / 1.5)
                heapq.heappush(events, (ends_s, order, "end", (front, chosen.id)))
            following_s = now_s + draws.expovariate(rate_per_s)
            heapq.heappush(events, (following_s, order + 1_000_000, "arrive", None))
        elif kind == "end":
            front, server = what  # type: ignore[misc]
            running[server] -= 1
            loads[front].finished(server)
        elif kind == "read":
            entry = what
            heard_s = now_s + TRAVEL_S
            heapq.heappush(events, (heard_s, order, "hear", (entry, running[entry.id])))  # type: ignore[attr-defined]
            heapq.heappush(events, (now_s + REPORT_INTERVAL_S, order + 2_000_000, "read", entry))
        else:
            entry, count = what  # type: ignore[misc]
            for load in loads:
                load.reported(entry.id, count, True, 1.0, now_s)
    return full / arrivals


@pytest.mark.parametrize(
    ("fronts", "size", "slots", "rate_per_s"),
    [(31, 72, 5, 134.0), (31, 72, 5, 165.0), (8, 16, 6, 40.0), (8, 16, 6, 45.0)],
)
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_processes_do_not_all_choose_the_emptiest_server(
    fronts: int, size: int, slots: int, rate_per_s: float, seed: int
) -> None:
    """Guards against requests that queue at a full engine while others have free slots."""
    # Issue 11 asks for 0.95 in target; what queues at an engine misses its target.
    assert share_of_full(fronts, size, slots, rate_per_s, seed) < 0.03
