"""Extra load from retries after a third of the servers has crashed.

Run with `python -m benchmarks.retries [seed]`.
"""

from __future__ import annotations

import dataclasses
import sys

from benchmarks import figures, fleet

CRASH_AT_S = 10.0
LOADS = (0.5, 0.9)


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """Figures of the time after a third of the servers has crashed."""

    load: float
    """Offered load as a share of the capacity before the crash."""
    extra: float
    """Retries as a share of the first attempts, declined attempts included."""
    declined: float
    """Declined attempts as a share of the first attempts."""
    cut: int
    """Number of calls whose last attempt failed and was not retried."""
    in_target: float
    """Share of the calls that met their targets."""
    answered_in_target: float
    """Share in target of the calls that were not refused."""


def run(seed: int, load: float) -> Gone:
    """Crash a third of the servers at once, without a drain.

    Args:
        seed: Seed of the arrivals.
        load: Offered load as a share of the capacity before the crash.

    Returns:
        Figures of the calls that arrived after the crash.
    """
    options = fleet.RunOptions(seed=seed, servers=15, until_s=26.0)
    rate_per_s = fleet.capacity(options) * load
    simulated_fleet = fleet.Fleet(fleet.Policy.EXPECTED_TIME, options)
    counts_before: list[tuple[int, int, int]] = []

    def declined() -> int:
        return sum(agent.declined for agent in simulated_fleet.agent_by_id.values())

    def crash_servers() -> None:
        counts_before.append((simulated_fleet.first_attempts, simulated_fleet.attempts, declined()))
        for server in simulated_fleet.servers:
            if server.place.data_centre == "d1":
                simulated_fleet.crash_server(server.id)

    simulated_fleet.clock.call_at(CRASH_AT_S, crash_servers)
    calls = [
        call
        for call in simulated_fleet.run(lambda _: rate_per_s, rate_per_s)
        if call.arrived_s >= CRASH_AT_S
    ]
    first_attempts = simulated_fleet.first_attempts - counts_before[0][0]
    answered = [call for call in calls if not call.refused]
    return Gone(
        load=load,
        extra=(simulated_fleet.attempts - counts_before[0][1]) / first_attempts - 1.0,
        declined=(declined() - counts_before[0][2]) / first_attempts,
        cut=sum(call.cut for call in calls),
        in_target=fleet.share_in_target(calls),
        answered_in_target=fleet.share_in_target(answered),
    )


def measure(seed: int = 1) -> list[figures.Figure]:
    """Measure the figures that have bounds.

    Args:
        seed: Seed of the arrivals.

    Returns:
        Extra load from retries at each offered load.
    """
    bound = figures.bounds("retries")["extra_with_a_third_gone_max"]
    test = "tests/test_benchmark_routing.py::test_extra_load_from_retries"
    return [
        figures.Figure(
            f"extra load from retries, a third gone at load {load}",
            run(seed, load).extra,
            "share",
            bound,
            guard_test=f"{test}[{load}]",
        )
        for load in LOADS
    ]


def main() -> None:
    """Print the figures at each load."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for load in LOADS:
        print(run(seed, load))


if __name__ == "__main__":
    main()
