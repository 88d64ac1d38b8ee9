"""Share in target and decision time of routing under faults, overload and a data centre outage.

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
"""Offered loads as shares of the capacity."""
FLEET_SIZES = (20, 200, 2_000)
OUT_AT_S, BACK_AT_S, OUT_UNTIL_S = 10.0, 19.0, 30.0
"""Virtual times at which the data centre leaves and returns, and at which arrivals end."""
OUT_LOAD = 0.6
"""Offered load in the run with a data centre that leaves, as a share of the capacity."""
OUT_APPLIED_WITHIN_S = 5.0
"""Time from leaving after which no attempt may start in the data centre."""
WORKERS = 4


class Fault(enum.StrEnum):
    """Fault injected into a run."""

    NONE = "none"
    SLOW = "slow"
    """The steps of one server take twice as long."""
    LAG = "lag"
    """The engine figures in load reports are 1 s old."""
    COLD = "cold"
    """A quarter of the servers cold-starts at 10 s and another quarter at 20 s."""


@dataclasses.dataclass(frozen=True, slots=True)
class Case:
    """Figures of one run, with its fault, load and policy."""

    fault: Fault
    load: float
    policy: fleet.Policy
    figures: fleet.Figures


@dataclasses.dataclass(frozen=True, slots=True)
class OutFigures:
    """Figures of a run in which one of three data centres leaves and returns."""

    policy: fleet.Policy
    in_target: float
    """Share in target of the calls that arrived after leaving."""
    worst_second: float
    """Lowest share in target of any second from leaving until 10 s after the return."""
    cut: int
    """Number of calls that were cut."""
    late_starts: int
    """Number of attempts started in the data centre from 5 s after leaving until its return."""


@dataclasses.dataclass(frozen=True, slots=True)
class DecisionTime:
    """Processor time of one routing decision; depends on the machine."""

    servers: int
    """Number of servers in the fleet."""
    time_us: float
    """Mean processor time of a decision in microseconds."""


def capacity_per_s(seed: int, slow_servers: int) -> float:
    """Return the calls per second that are taken as 100 % load, with some slow servers."""
    return fleet.capacity(fleet.RunOptions(seed=seed, slow_servers=slow_servers))


def run_case(seed: int, fault: Fault, load: float, policy: fleet.Policy) -> Case:
    """Run one policy under one fault at one load.

    Args:
        seed: Seed of arrivals and fleet.
        fault: Injected fault.
        load: Offered load as a share of the capacity; for `Fault.SLOW`, of the reduced capacity.
        policy: Routing policy.

    Returns:
        Figures of the calls after the warm-up.
    """
    slow_servers = 1 if fault is Fault.SLOW else 0
    options = fleet.RunOptions(
        seed=seed, slow_servers=slow_servers, report_lag_s=1.0 if fault is Fault.LAG else 0.0
    )
    rate_per_s = load * capacity_per_s(seed, slow_servers)
    simulated_fleet = fleet.Fleet(policy, options)
    if fault is Fault.COLD:
        for position, agent in enumerate(simulated_fleet.agent_by_id.values()):
            if position < options.servers // 2:
                simulated_fleet.clock.call_at(10.0 if position % 2 else 20.0, agent.restart)
    calls = simulated_fleet.run(lambda _: rate_per_s, rate_per_s)
    return Case(fault, load, policy, fleet.summarise(calls, options.warm_up_s, options.until_s))


def run_data_centre_outage(seed: int, policy: fleet.Policy) -> OutFigures:
    """Take one of three data centres out of service and back, with spare capacity in the others.

    Args:
        seed: Seed of arrivals and fleet.
        policy: Routing policy.

    Returns:
        Figures of the calls that arrived after the data centre left.
    """
    options = fleet.RunOptions(seed=seed, until_s=OUT_UNTIL_S)
    rate_per_s = OUT_LOAD * capacity_per_s(seed, 0)
    simulated_fleet = fleet.Fleet(policy, options)
    clock, rng = simulated_fleet.clock, random.Random(seed)
    agents_out = [
        simulated_fleet.agent_by_id[server.id]
        for server in simulated_fleet.servers
        if server.place.data_centre == "d1"
    ]
    attempt_counts: list[int] = []

    def count_attempts() -> None:
        attempt_counts.append(sum(agent.attempts for agent in agents_out))

    clock.call_at(OUT_AT_S, lambda: simulated_fleet.set_out_of_service("d1", True, rng))
    clock.call_at(OUT_AT_S + OUT_APPLIED_WITHIN_S, count_attempts)
    clock.call_at(BACK_AT_S, count_attempts)
    clock.call_at(BACK_AT_S, lambda: simulated_fleet.set_out_of_service("d1", False, rng))
    calls = [
        call
        for call in simulated_fleet.run(lambda _: rate_per_s, rate_per_s)
        if call.arrived_s >= OUT_AT_S
    ]
    calls_by_second: dict[int, list[fakes.Call]] = collections.defaultdict(list)
    for call in calls:
        if call.arrived_s < BACK_AT_S + 10.0:
            calls_by_second[int(call.arrived_s)].append(call)
    return OutFigures(
        policy=policy,
        in_target=fleet.share_in_target(calls),
        worst_second=min(map(fleet.share_in_target, calls_by_second.values())),
        cut=sum(call.cut for call in calls),
        late_starts=attempt_counts[1] - attempt_counts[0],
    )


def _new_router(seed: int, servers: int) -> routing.Router:
    place = routing.Place(ids.DataCentreId("d0"), fleet.REGION)
    router = routing.new_router(place)
    rng = random.Random(seed)
    for number in range(servers):
        server = ids.BackendServerId(f"b{number}")
        router.add(routing.BackendServer(server, ids.VmId(server), place, (fleet.MODEL,), 0.0005))
        router.apply_load_report(
            server, scoring.LoadReport(24, rng.randrange(20), 500, 6, 0.015), 0.0
        )
    return router


def _requests(seed: int, request_count: int) -> list[routing.Request]:
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
        for number in range(request_count)
    ]


def _fill_prefixes(router: routing.Router, requests: list[routing.Request]) -> None:
    for number, request in enumerate(requests):
        chosen = router.choose(request, 0.1)
        if isinstance(chosen, routing.Routed):
            attempt = (ids.RequestKey(str(number)), 1)
            router.record_sent(chosen.backend_server, attempt, request, 1_200.0, 0.1)
            router.record_finished(chosen.backend_server, attempt, None, 0.1)


def candidate_counts(seed: int, servers: int, decisions: int = 200) -> list[int]:
    """Return the number of candidate servers that each of some routing decisions compared."""
    router, requests = _new_router(seed, servers), _requests(seed, decisions)
    _fill_prefixes(router, requests)
    chosen = [router.choose(request, 0.2) for request in requests]
    return [item.candidates for item in chosen if isinstance(item, routing.Routed)]


def decision_times(seed: int, decisions: int = 2_000) -> list[DecisionTime]:
    """Measure the processor time of a routing decision at each of `FLEET_SIZES`."""
    times = []
    for servers in FLEET_SIZES:
        router, requests = _new_router(seed, servers), _requests(seed, decisions)
        _fill_prefixes(router, requests[: decisions // 2])
        started_s = time.process_time()
        for request in requests:
            router.choose(request, 0.2)
        elapsed_s = time.process_time() - started_s
        times.append(DecisionTime(servers, elapsed_s / decisions * 1e6))
    return times


def measure(seed: int = 1) -> list[figures.Figure]:
    """Measure the figures that have bounds.

    Args:
        seed: Seed of arrivals and fleet.

    Returns:
        Figures with a slow server, with a data centre that leaves, and of the decision time.
    """
    bounds = figures.bounds("routing")
    test_prefix = "tests/test_benchmark_routing.py::"
    chosen_share, least_outstanding_share = (
        run_case(seed, Fault.SLOW, 0.95, policy).figures.in_target
        for policy in (fleet.Policy.EXPECTED_TIME, fleet.Policy.LEAST_OUTSTANDING)
    )
    misses = (
        (1.0 - chosen_share) / (1.0 - least_outstanding_share)
        if least_outstanding_share < 1.0
        else float(chosen_share < 1.0)
    )
    out = run_data_centre_outage(seed, fleet.Policy.EXPECTED_TIME)
    slow_test, data_centre_test = (
        test_prefix + "test_slow_server",
        test_prefix + "test_data_centre_leaves_and_returns",
    )
    measured = [
        figures.Figure(
            "in target, one slow server at 95 % load",
            chosen_share,
            "share",
            bounds["slow_in_target_min"],
            figures.BoundKind.AT_LEAST,
            slow_test,
        ),
        figures.Figure(
            "misses beside least-outstanding routing",
            misses,
            "ratio",
            bounds["slow_misses_of_least_outstanding_max"],
            guard_test=slow_test,
        ),
        figures.Figure(
            "in target, worst second of a leaving data centre",
            out.worst_second,
            "share",
            bounds["worst_second_in_target_min"],
            figures.BoundKind.AT_LEAST,
            data_centre_test,
        ),
        figures.Figure(
            "cut requests", out.cut, "requests", bounds["out_cut_max"], guard_test=data_centre_test
        ),
        figures.Figure(
            "starts 5 s after leaving",
            out.late_starts,
            "attempts",
            bounds["out_late_starts_max"],
            guard_test=data_centre_test,
        ),
    ]
    for decision_time in decision_times(seed):
        bound = bounds["decision_micros_max"] if decision_time.servers == max(FLEET_SIZES) else None
        name = f"decision at {decision_time.servers} servers"
        measured.append(figures.Figure(name, decision_time.time_us, "us", bound))
    return measured


def main() -> None:
    """Print the figures of all faults, loads and policies, and the decision times."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    print(f"seed {seed}; 100 % is {capacity_per_s(seed, 0):.0f}/s, with one slow server")
    print(f"{capacity_per_s(seed, 1):.0f}/s; times in seconds and milliseconds")
    cases = list(itertools.product(Fault, LOADS, fleet.Policy))
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        runs = [pool.submit(run_case, seed, *case) for case in cases]
        outs = [pool.submit(run_data_centre_outage, seed, policy) for policy in fleet.Policy]
        for run in runs:
            case = run.result()
            summary = case.figures
            classes = " ".join(
                f"{name} {in_target:.4f}" for name, in_target in summary.in_target_by_class.items()
            )
            print(
                f"{case.fault:5} {case.load:.2f} {case.policy:17} in target {summary.in_target:.4f}"
                f" ({classes}) refused {summary.refused:.4f}"
                f" first p95 {summary.ttft_p95_s:.2f} p99 {summary.ttft_p99_s:.2f}"
                f" gap p95 {summary.gap_p95_s * 1e3:.1f} p99 {summary.gap_p99_s * 1e3:.1f}"
            )
        for out in outs:
            print(out.result())
    times = decision_times(seed)
    for item in times:
        ratio = item.time_us / times[0].time_us
        print(f"decision at {item.servers} servers: {item.time_us:.0f} us, ratio {ratio:.2f}")


if __name__ == "__main__":
    main()
