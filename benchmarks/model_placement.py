"""Time in target and loaded bytes of model placement over a day, against a fixed placement.

Demand of 15 models rises and falls at different hours, with a burst at dawn, noise, and dips of 20
minutes after which demand comes back. A model is in target while its servers cover its demand.
"""

from __future__ import annotations

import dataclasses
import math
import random

from benchmarks import figures
from gentianpaddle_core import ids, model_placement

MODELS = 15
SERVERS = 80
MEMORY_BYTES = 160_000_000_000
STORE_BYTES_S = 2_000_000_000
STEP_S = 120.0
STEPS = 720
PREFILL_SHARE = 0.3
SEED = 11
PEAK_LOAD = 52.0
"""Largest load of the day over all models, in servers; 1.2 times it fits with a fifth spare."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Outcome of a day."""

    in_target: float
    """Share of the demand served by models whose servers covered it."""
    loaded_bytes: int
    """Bytes that the weight store served after the start."""
    loads: int
    """Loads after the start."""


@dataclasses.dataclass(slots=True)
class Fleet:
    """Backend servers that follow orders; loads share the rate of the weight store."""

    server_by_id: dict[ids.BackendServerId, model_placement.Server]
    """Servers."""
    size_by_weights: dict[model_placement.WeightsId, int]
    """Sizes."""
    left_by_load: dict[tuple[ids.BackendServerId, model_placement.WeightsId], float]
    """Bytes left of loads in progress."""

    def apply(self, order: model_placement.Order) -> None:
        """Carry out an order."""
        server = self.server_by_id[order.server]
        held = server.held
        if isinstance(order, model_placement.LoadWeights):
            self.left_by_load[order.server, order.weights] = self.size_by_weights[order.weights]
            held += (model_placement.Held(order.weights, model_placement.Role.STANDBY, False),)
        elif isinstance(order, model_placement.UnloadWeights):
            held = tuple(h for h in held if h.weights != order.weights)
        else:
            held = tuple(
                dataclasses.replace(
                    h,
                    role=order.role if h.weights == order.weights else model_placement.Role.STANDBY,
                )
                for h in held
            )
        used = sum(self.size_by_weights[h.weights] for h in held)
        assert used <= server.memory_bytes, "an order exceeds the memory of a server"
        self.server_by_id[order.server] = dataclasses.replace(server, held=held)

    def advance(self, seconds: float) -> None:
        """Let loads progress."""
        budget = STORE_BYTES_S * seconds
        while budget > 0.0 and self.left_by_load:
            key = next(iter(self.left_by_load))
            part = min(budget, self.left_by_load[key])
            budget -= part
            self.left_by_load[key] -= part
            if self.left_by_load[key] <= 0.0:
                del self.left_by_load[key]
                server = self.server_by_id[key[0]]
                held = tuple(
                    dataclasses.replace(h, ready=True) if h.weights == key[1] else h
                    for h in server.held
                )
                self.server_by_id[key[0]] = dataclasses.replace(server, held=held)


def demand(rng: random.Random) -> list[list[float]]:
    """Return the load of each model by step, in servers."""
    weights = [rng.lognormvariate(0.0, 0.9) for _ in range(MODELS)]
    peaks = [rng.uniform(8.0, 20.0) for _ in range(MODELS)]
    rush = set(rng.sample(range(MODELS), 3))
    dips = [rng.uniform(9.0, 18.0) for _ in range(MODELS)]
    rows = []
    for step in range(STEPS):
        hour = step * STEP_S / 3_600.0
        row = []
        for model in range(MODELS):
            value = 0.15 + math.exp(-(((hour - peaks[model]) / 3.0) ** 2))
            if model in rush:
                value += 1.5 * math.exp(-(((hour - 6.5) / 0.6) ** 2))
            if dips[model] <= hour < dips[model] + 1 / 3:
                value *= 0.3
            row.append(weights[model] * value * rng.uniform(0.95, 1.05))
        rows.append(row)
    scale = PEAK_LOAD / max(sum(row) for row in rows)
    return [[value * scale for value in row] for row in rows]


def run(policy: str, seed: int = SEED) -> Result:
    """Run a day.

    Args:
        policy: `fixed` for servers in proportion to the peaks of the day, or `following`, which
            starts from the same servers.
        seed: Seed of the demand.

    Returns:
        Time in target and bytes.
    """
    rng = random.Random(seed)
    rows = demand(rng)
    names = [
        model_placement.WeightsId(ids.ModelName(f"model-{model:02}"), "1")
        for model in range(MODELS)
    ]
    sizes = {name: rng.randrange(30, 121, 10) * 1_000_000_000 for name in names}
    peaks = [max(row[model] for row in rows) for model in range(MODELS)]
    fleet = Fleet(_fixed(names, peaks), sizes, {})
    placer = model_placement.new_model_placer(sizes, int(STORE_BYTES_S * STEP_S))
    split = dict.fromkeys(names, False)
    served = total = 0.0
    loads = loaded_bytes = 0
    for step, row in enumerate(rows):
        for name, value in zip(names, row, strict=True):
            total += value
            served += value if _capacity(fleet, name) >= value else 0.0
        if policy == "following":
            needs = {}
            for name, value in zip(names, row, strict=True):
                load = model_placement.Load(value * PREFILL_SHARE, value * (1.0 - PREFILL_SHARE))
                needs[name] = model_placement.need_of(load, split[name])
                split[name] = model_placement.Role.DECODE in needs[name].count_by_role
            servers = tuple(fleet.server_by_id.values())
            for order in placer.plan(step * STEP_S, servers, needs).orders:
                fleet.apply(order)
                if isinstance(order, model_placement.LoadWeights):
                    loads += 1
                    loaded_bytes += sizes[order.weights]
        fleet.advance(STEP_S)
    return Result(served / total, loaded_bytes, loads)


def measure(seed: int = SEED) -> list[figures.Figure]:
    """Measure the figures that have bounds.

    Args:
        seed: Seed of the demand.

    Returns:
        Demand in target while models follow the demand, and with fixed models.
    """
    test = f"tests/test_benchmark_placement.py::test_models_follow_the_demand_of_the_day[{seed}]"
    return [
        figures.Figure(
            "demand of a day in target, models follow",
            run("following", seed).in_target,
            "share",
            figures.bounds("model_placement")["in_target"],
            figures.Sense.AT_LEAST,
            test,
        ),
        figures.Figure("demand of a day in target, fixed", run("fixed", seed).in_target, "share"),
    ]


def main() -> None:
    """Print all figures."""
    print(f"{'policy':12}{'seed':>5}{'in target':>11}{'loads':>7}{'TB':>8}")
    for seed in (SEED, SEED + 1, SEED + 2):
        for policy in ("fixed", "following"):
            result = run(policy, seed)
            print(
                f"{policy:12}{seed:5}{result.in_target:11.3f}{result.loads:7}"
                f"{result.loaded_bytes / 1e12:8.2f}"
            )


def _fixed(
    names: list[model_placement.WeightsId], peaks: list[float]
) -> dict[ids.BackendServerId, model_placement.Server]:
    """Give each model servers in proportion to its peak, and at least two."""
    counts = [2] * MODELS
    while sum(counts) < SERVERS:
        counts[max(range(MODELS), key=lambda model: peaks[model] / counts[model])] += 1
    owners = [name for name, count in zip(names, counts, strict=True) for _ in range(count)]
    return {
        ids.BackendServerId(f"server-{index:03}"): model_placement.Server(
            ids.BackendServerId(f"server-{index:03}"),
            MEMORY_BYTES,
            (model_placement.Held(owner, model_placement.Role.BOTH),),
        )
        for index, owner in enumerate(owners)
    }


def _capacity(fleet: Fleet, name: model_placement.WeightsId) -> float:
    """Return the load that the servers of a model cover."""
    count_by_role = dict.fromkeys(model_placement.Role, 0)
    for server in fleet.server_by_id.values():
        for held in server.held:
            if held.weights == name and held.ready:
                count_by_role[held.role] += 1
    both = count_by_role[model_placement.Role.BOTH]
    prefill = count_by_role[model_placement.Role.PREFILL]
    decode = count_by_role[model_placement.Role.DECODE]
    return min(
        (prefill + both) / PREFILL_SHARE,
        (decode + both) / (1.0 - PREFILL_SHARE),
        prefill + decode + both,
    )


if __name__ == "__main__":
    main()
