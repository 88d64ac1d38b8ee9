"""Quality and cost of routing: faults, load, a data centre that leaves and returns.

Run with `python -m benchmarks.routing [seed]`; it takes a few minutes.
"""

from __future__ import annotations

import collections
import concurrent.futures
import dataclasses
import enum
import itertools
import random
import sys
import time

from benchmarks import fakes, figures, fleet
from gentianpaddle_core import ids, routing, scoring

LOADS = (0.5, 0.8, 0.95, 1.2)
FLEET_SIZES = (20, 200, 2_000)
OUT_AT_S, BACK_AT_S, OUT_UNTIL_S = 10.0, 19.0, 30.0
OUT_LOAD = 0.6
OUT_LIMIT_S = 5.0
WORKERS = 4


class Fault(enum.StrEnum):
    """What is wrong during a run."""

    NONE = "none"
    SLOW = "slow"
    """One server with steps of twice the time."""
    LAG = "lag"
    """Engine figures in load reports are a second old."""
    COLD = "cold"
    """A quarter of the servers becomes cold at 10 s and another quarter at 20 s."""


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """One run."""

    fault: Fault
    load: float
    policy: fleet.Policy
    figures: fleet.Figures


@dataclasses.dataclass(frozen=True, slots=True)
class OutFigures:
    """A data centre of three leaves and returns."""

    policy: fleet.Policy
    in_target: float
    worst_second: float
    """Share in target of the calls of the worst second, from leaving until 10 s after return."""
    cut: int
    late_starts: int
    """Attempts started in the data centre from 5 s after leaving until its return."""


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionTime:
    """Time of one decision; depends on the machine."""

    servers: int
    micros: float


def capacity(seed: int, slow: int) -> float:
    """Calls per second at 100 % load."""
    return fleet.capacity(fleet.Shape(seed=seed, slow=slow))


def run_case(seed: int, fault: Fault, load: float, policy: fleet.Policy) -> Case:
    """Run one policy under one fault at one load.

    Args:
        seed: Seed of arrivals and fleet.
        fault: What is wrong.
        load: Share of the capacity with this fault.
        policy: How servers are chosen.

    Returns:
        Figures of the calls after the warm-up.
    """
    slow = 1 if fault is Fault.SLOW else 0
    shape = fleet.Shape(seed=seed, slow=slow, lag_s=1.0 if fault is Fault.LAG else 0.0)
    rate = load * capacity(seed, slow)
    run_fleet = fleet.Fleet(policy, shape)
    if fault is Fault.COLD:
        for position, agent in enumerate(run_fleet.agent_by_id.values()):
            if position < shape.servers // 2:
                run_fleet.clock.at(10.0 if position % 2 else 20.0, agent.restart)
    calls = run_fleet.run(lambda _: rate, rate)
    return Case(fault, load, policy, fleet.figures(calls, shape.warm_up_s, shape.until_s))


def run_out(seed: int, policy: fleet.Policy) -> OutFigures:
    """Take one of three data centres out of service and back, where the rest has spare capacity.

    Args:
        seed: Seed of arrivals and fleet.
        policy: How servers are chosen.

    Returns:
        Figures of the calls from the leaving on.
    """
    shape = fleet.Shape(seed=seed, until_s=OUT_UNTIL_S)
    rate = OUT_LOAD * capacity(seed, 0)
    run_fleet = fleet.Fleet(policy, shape)
    clock, rng = run_fleet.clock, random.Random(seed)
    gone = [
        run_fleet.agent_by_id[server.id]
        for server in run_fleet.servers
        if server.place.data_centre == "d1"
    ]
    attempts: list[int] = []

    def count() -> None:
        attempts.append(sum(agent.attempts for agent in gone))

    clock.at(OUT_AT_S, lambda: run_fleet.set_out("d1", True, rng))
    clock.at(OUT_AT_S + OUT_LIMIT_S, count)
    clock.at(BACK_AT_S, count)
    clock.at(BACK_AT_S, lambda: run_fleet.set_out("d1", False, rng))
    calls = [call for call in run_fleet.run(lambda _: rate, rate) if call.arrived_s >= OUT_AT_S]
    by_second: dict[int, list[fakes.Call]] = collections.defaultdict(list)
    for call in calls:
        if call.arrived_s < BACK_AT_S + 10.0:
            by_second[int(call.arrived_s)].append(call)
    return OutFigures(
        policy=policy,
        in_target=fleet.share(calls),
        worst_second=min(map(fleet.share, by_second.values())),
        cut=sum(call.cut for call in calls),
        late_starts=attempts[1] - attempts[0],
    )


def _router_of(seed: int, servers: int) -> routing.Router:
    place = routing.Place(ids.DataCentreId("d0"), fleet.REGION)
    router = routing.new_router(place)
    rng = random.Random(seed)
    for number in range(servers):
        server = ids.BackendServerId(f"b{number}")
        router.add(routing.BackendServer(server, ids.VmId(server), place, (fleet.MODEL,), 0.0005))
        router.report(server, scoring.Load(24, rng.randrange(20), 500, 6, 0.015), 0.0)
    return router


def _requests(seed: int, count: int) -> list[routing.Request]:
    rng = random.Random(seed)
    return [
        routing.Request(
            fleet.MODEL,
            ids.Fingerprint(str(number)),
            fleet.QUOTE,
            0.0,
            1_200,
            tuple(rng.randrange(500) for _ in range(8)),
        )
        for number in range(count)
    ]


def _fill_prefixes(router: routing.Router, requests: list[routing.Request]) -> None:
    for number, request in enumerate(requests):
        chosen = router.choose(request, 0.1)
        if isinstance(chosen, routing.Routed):
            attempt = (ids.RequestKey(str(number)), 1)
            router.sent(chosen.backend_server, attempt, request, 1_200.0, 0.1)
            router.finished(chosen.backend_server, attempt, None, 0.1)


def candidates_weighed(seed: int, servers: int, decisions: int = 200) -> list[int]:
    """Count the servers weighed in each of some decisions."""
    router, requests = _router_of(seed, servers), _requests(seed, decisions)
    _fill_prefixes(router, requests)
    chosen = [router.choose(request, 0.2) for request in requests]
    return [item.candidates for item in chosen if isinstance(item, routing.Routed)]


def decision_times(seed: int, decisions: int = 2_000) -> list[DecisionTime]:
    """Measure the time of a decision over fleets of several sizes."""
    times = []
    for servers in FLEET_SIZES:
        router, requests = _router_of(seed, servers), _requests(seed, decisions)
        _fill_prefixes(router, requests[: decisions // 2])
        started_s = time.process_time()
        for request in requests:
            router.choose(request, 0.2)
        passed_s = time.process_time() - started_s
        times.append(DecisionTime(servers, passed_s / decisions * 1e6))
    return times


def measure(seed: int = 1) -> list[figures.Figure]:
    """Measure the figures that have bounds.

    Args:
        seed: Seed of arrivals and fleet.

    Returns:
        Figures of a slow server, of a data centre that leaves, and of the decision time.
    """
    bounds = figures.bounds("routing")
    guard = "tests/test_benchmark_routing.py::"
    share, other = (
        run_case(seed, Fault.SLOW, 0.95, policy).figures.in_target
        for policy in (fleet.Policy.EXPECTED_TIME, fleet.Policy.LEAST_OUTSTANDING)
    )
    misses = (1.0 - share) / (1.0 - other) if other < 1.0 else float(share < 1.0)
    out = run_out(seed, fleet.Policy.EXPECTED_TIME)
    slow, leaves = guard + "test_slow_server", guard + "test_data_centre_leaves_and_returns"
    measured = [
        figures.Figure(
            "in target, one slow server at 95 % load",
            share,
            "share",
            bounds["slow_in_target_min"],
            figures.Sense.AT_LEAST,
            slow,
        ),
        figures.Figure(
            "misses beside least-outstanding routing",
            misses,
            "ratio",
            bounds["slow_misses_of_least_outstanding_max"],
            guard=slow,
        ),
        figures.Figure(
            "in target, worst second of a leaving data centre",
            out.worst_second,
            "share",
            bounds["worst_second_in_target_min"],
            figures.Sense.AT_LEAST,
            leaves,
        ),
        figures.Figure("cut requests", out.cut, "requests", bounds["out_cut_max"], guard=leaves),
        figures.Figure(
            "starts 5 s after leaving",
            out.late_starts,
            "attempts",
            bounds["out_late_starts_max"],
            guard=leaves,
        ),
    ]
    for time_of in decision_times(seed):
        bound = bounds["decision_micros_max"] if time_of.servers == max(FLEET_SIZES) else None
        name = f"decision at {time_of.servers} servers"
        measured.append(figures.Figure(name, time_of.micros, "us", bound))
    return measured


def main() -> None:
    """Run and print everything."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(f"seed {seed}; 100 % is {capacity(seed, 0):.0f}/s, with one slow server")
    print(f"{capacity(seed, 1):.0f}/s; times in seconds and milliseconds")
    cases = list(itertools.product(Fault, LOADS, fleet.Policy))
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        runs = [pool.submit(run_case, seed, *case) for case in cases]
        outs = [pool.submit(run_out, seed, policy) for policy in fleet.Policy]
        for run in runs:
            case = run.result()
            of = case.figures
            classes = " ".join(f"{name} {part:.4f}" for name, part in of.in_target_by_class.items())
            print(
                f"{case.fault:5} {case.load:.2f} {case.policy:17} in target {of.in_target:.4f}"
                f" ({classes}) refused {of.refused:.4f}"
                f" first p95 {of.first_p95_s:.2f} p99 {of.first_p99_s:.2f}"
                f" gap p95 {of.gap_p95_s * 1e3:.1f} p99 {of.gap_p99_s * 1e3:.1f}"
            )
        for out in outs:
            print(out.result())
    times = decision_times(seed)
    for item in times:
        ratio = item.micros / times[0].micros
        print(f"decision at {item.servers} servers: {item.micros:.0f} us, ratio {ratio:.2f}")


if __name__ == "__main__":
    main()
