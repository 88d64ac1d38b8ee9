"""Load that retries add while a third of the servers is gone.

Run with `python -m benchmarks.retries [seed]`.
"""

from __future__ import annotations

import dataclasses
import sys

from benchmarks import figures, fleet

GONE_AT_S = 10.0
LOADS = (0.5, 0.9)


@dataclasses.dataclass(frozen=True, slots=True)
class Gone:
    """Figures from the loss of a third of the servers on."""

    load: float
    extra: float
    """Attempts beyond the first as a share of the first ones, declined ones included."""
    declined: float
    """Declined attempts as a share of the first attempts."""
    cut: int
    in_target: float
    answered_in_target: float


def run(seed: int, load: float) -> Gone:
    """Lose a third of the servers without warning.

    Args:
        seed: Seed of the arrivals.
        load: Offered load as a share of the capacity before the loss.

    Returns:
        Figures from the loss on.
    """
    shape = fleet.Shape(seed=seed, servers=15, until_s=26.0)
    rate = fleet.capacity(shape) * load
    run_fleet = fleet.Fleet(fleet.Policy.EXPECTED_TIME, shape)
    before: list[tuple[int, int, int]] = []

    def declined() -> int:
        return sum(agent.declined for agent in run_fleet.agent_by_id.values())

    def lose() -> None:
        before.append((run_fleet.first_attempts, run_fleet.attempts, declined()))
        for server in run_fleet.servers:
            if server.place.data_centre == "d1":
                run_fleet.kill(server.id)

    run_fleet.clock.at(GONE_AT_S, lose)
    calls = [call for call in run_fleet.run(lambda _: rate, rate) if call.arrived_s >= GONE_AT_S]
    first = run_fleet.first_attempts - before[0][0]
    answered = [call for call in calls if not call.refused]
    return Gone(
        load=load,
        extra=(run_fleet.attempts - before[0][1]) / first - 1.0,
        declined=(declined() - before[0][2]) / first,
        cut=sum(call.cut for call in calls),
        in_target=fleet.share(calls),
        answered_in_target=fleet.share(answered),
    )


def measure(seed: int = 1) -> list[figures.Figure]:
    """Measure the figures that have bounds.

    Args:
        seed: Seed of the arrivals.

    Returns:
        Extra load by offered load.
    """
    bound = figures.bounds("retries")["extra_with_a_third_gone_max"]
    test = "tests/test_benchmark_routing.py::test_extra_load_from_retries"
    return [
        figures.Figure(
            f"extra load from retries, a third gone at load {load}",
            run(seed, load).extra,
            "share",
            bound,
            guard=f"{test}[{load}]",
        )
        for load in LOADS
    ]


def main() -> None:
    """Run and print everything."""
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    for load in LOADS:
        print(run(seed, load))


if __name__ == "__main__":
    main()
