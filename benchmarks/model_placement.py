"""Demand in target and loaded bytes of model placement over a day, against a fixed placement.

The demand for 15 models peaks at different hours, with noise, a morning burst for three of them and
a dip of 20 minutes for each. A model is in target while its servers cover its demand.
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
"""Share of the load of a model that is prefill; the rest is decode."""
SEED = 11
PEAK_LOAD = 52.0
"""Peak of the total load in servers; 1.2 times this peak fits `SERVERS` with a fifth to spare."""


@dataclasses.dataclass(frozen=True, slots=True)
class Result:
    """Figures of one simulated day."""

    in_target: float
    """Share of the demand that was for models whose servers covered it."""
    loaded_bytes: int
    """Bytes that were ordered from the weight store during the day."""
    load_count: int
    """Number of loads ordered during the day."""


@dataclasses.dataclass(slots=True)
class Fleet:
    """Backend servers that execute orders; the weight store serves their loads one at a time."""

    server_by_id: dict[ids.BackendServerId, model_placement.Server]
    """Servers with the weights they hold."""
    size_by_weights: dict[model_placement.WeightsId, int]
    """Size of the weights in bytes."""
    bytes_left_by_load: dict[tuple[ids.BackendServerId, model_placement.WeightsId], float]
    """Bytes left of the loads in progress, in order of start."""

    def apply(self, order: model_placement.Order) -> None:
        """Execute a load, unload or role change order; loads finish in `progress_loads`."""
        server = self.server_by_id[order.server]
        held = server.held
        if isinstance(order, model_placement.LoadWeights):
            self.bytes_left_by_load[order.server, order.weights] = self.size_by_weights[
                order.weights
            ]
            held += (
                model_placement.HeldWeights(order.weights, model_placement.Role.STANDBY, False),
            )
        elif isinstance(order, model_placement.UnloadWeights):
            held = tuple(item for item in held if item.weights != order.weights)
        else:
            held = tuple(
                dataclasses.replace(
                    item,
                    role=order.role
                    if item.weights == order.weights
                    else model_placement.Role.STANDBY,
                )
                for item in held
            )
        used_bytes = sum(self.size_by_weights[item.weights] for item in held)
        assert used_bytes <= server.memory_bytes, "an order exceeds the memory of a server"
        self.server_by_id[order.server] = dataclasses.replace(server, held=held)

    def progress_loads(self, seconds: float) -> None:
        """Transfer weights for some seconds and mark completed loads as ready."""
        budget_bytes = STORE_BYTES_S * seconds
        while budget_bytes > 0.0 and self.bytes_left_by_load:
            load_key = next(iter(self.bytes_left_by_load))
            transferred_bytes = min(budget_bytes, self.bytes_left_by_load[load_key])
            budget_bytes -= transferred_bytes
            self.bytes_left_by_load[load_key] -= transferred_bytes
            if self.bytes_left_by_load[load_key] <= 0.0:
                del self.bytes_left_by_load[load_key]
                server = self.server_by_id[load_key[0]]
                held = tuple(
                    dataclasses.replace(item, ready=True) if item.weights == load_key[1] else item
                    for item in server.held
                )
                self.server_by_id[load_key[0]] = dataclasses.replace(server, held=held)


def demand_by_step(rng: random.Random) -> list[list[float]]:
    """Return the load of each model at each step, in servers."""
    weights = [rng.lognormvariate(0.0, 0.9) for _ in range(MODELS)]
    peak_hours = [rng.uniform(8.0, 20.0) for _ in range(MODELS)]
    burst_models = set(rng.sample(range(MODELS), 3))
    dip_start_hours = [rng.uniform(9.0, 18.0) for _ in range(MODELS)]
    load_by_step = []
    for step in range(STEPS):
        hour = step * STEP_S / 3_600.0
        load_by_model = []
        for model in range(MODELS):
            model_load = 0.15 + math.exp(-(((hour - peak_hours[model]) / 3.0) ** 2))
            if model in burst_models:
                model_load += 1.5 * math.exp(-(((hour - 6.5) / 0.6) ** 2))
            if dip_start_hours[model] <= hour < dip_start_hours[model] + 1 / 3:
                model_load *= 0.3
            load_by_model.append(weights[model] * model_load * rng.uniform(0.95, 1.05))
        load_by_step.append(load_by_model)
    scale = PEAK_LOAD / max(sum(load_by_model) for load_by_model in load_by_step)
    return [[model_load * scale for model_load in load_by_model] for load_by_model in load_by_step]


def run(policy: str, seed: int = SEED) -> Result:
    """Simulate a day.

    Args:
        policy: `fixed` for servers in proportion to the peak load of each model, or `following` for
            `model_placement` starting from the same servers.
        seed: Seed of the demand.

    Returns:
        Demand in target, loaded bytes and number of loads.
    """
    rng = random.Random(seed)
    load_by_step = demand_by_step(rng)
    all_weights = [
        model_placement.WeightsId(ids.ModelName(f"model-{model:02}"), "1")
        for model in range(MODELS)
    ]
    size_by_weights = {name: rng.randrange(30, 121, 10) * 1_000_000_000 for name in all_weights}
    peaks = [max(load_by_model[model] for load_by_model in load_by_step) for model in range(MODELS)]
    fleet = Fleet(_proportional_servers(all_weights, peaks), size_by_weights, {})
    placer = model_placement.new_model_placer(size_by_weights, int(STORE_BYTES_S * STEP_S))
    has_decode_by_weights = dict.fromkeys(all_weights, False)
    covered_demand = total_demand = 0.0
    load_count = loaded_bytes = 0
    for step, load_by_model in enumerate(load_by_step):
        for name, model_load in zip(all_weights, load_by_model, strict=True):
            total_demand += model_load
            covered_demand += model_load if _covered_load(fleet, name) >= model_load else 0.0
        if policy == "following":
            needs = {}
            for name, model_load in zip(all_weights, load_by_model, strict=True):
                need_load = model_placement.Load(
                    model_load * PREFILL_SHARE, model_load * (1.0 - PREFILL_SHARE)
                )
                needs[name] = model_placement.need_for_load(need_load, has_decode_by_weights[name])
                has_decode_by_weights[name] = (
                    model_placement.Role.DECODE in needs[name].count_by_role
                )
            servers = tuple(fleet.server_by_id.values())
            for order in placer.plan(step * STEP_S, servers, needs).orders:
                fleet.apply(order)
                if isinstance(order, model_placement.LoadWeights):
                    load_count += 1
                    loaded_bytes += size_by_weights[order.weights]
        fleet.progress_loads(STEP_S)
    return Result(covered_demand / total_demand, loaded_bytes, load_count)


def measure(seed: int = SEED) -> list[figures.Figure]:
    """Measure the figures that have bounds.

    Args:
        seed: Seed of the demand.

    Returns:
        Share of the demand in target with model placement and with the fixed placement.
    """
    test = f"tests/test_benchmark_placement.py::test_placement_follows_daily_demand[{seed}]"
    return [
        figures.Figure(
            "demand of a day in target, models follow",
            run("following", seed).in_target,
            "share",
            figures.bounds("model_placement")["in_target"],
            figures.BoundKind.AT_LEAST,
            test,
        ),
        figures.Figure("demand of a day in target, fixed", run("fixed", seed).in_target, "share"),
    ]


def main() -> None:
    """Print the figures of both policies for three seeds."""
    print(f"{'policy':12}{'seed':>5}{'in target':>11}{'loads':>7}{'TB':>8}")
    for seed in (SEED, SEED + 1, SEED + 2):
        for policy in ("fixed", "following"):
            result = run(policy, seed)
            print(
                f"{policy:12}{seed:5}{result.in_target:11.3f}{result.load_count:7}"
                f"{result.loaded_bytes / 1e12:8.2f}"
            )


def _proportional_servers(
    all_weights: list[model_placement.WeightsId], peaks: list[float]
) -> dict[ids.BackendServerId, model_placement.Server]:
    """Return servers in proportion to the peak load of each model, and at least two for each."""
    counts = [2] * MODELS
    while sum(counts) < SERVERS:
        counts[max(range(MODELS), key=lambda model: peaks[model] / counts[model])] += 1
    owners = [name for name, count in zip(all_weights, counts, strict=True) for _ in range(count)]
    return {
        ids.BackendServerId(f"server-{index:03}"): model_placement.Server(
            ids.BackendServerId(f"server-{index:03}"),
            MEMORY_BYTES,
            (model_placement.HeldWeights(owner, model_placement.Role.BOTH),),
        )
        for index, owner in enumerate(owners)
    }


def _covered_load(fleet: Fleet, name: model_placement.WeightsId) -> float:
    """Return the largest load that the ready servers of a model cover, in servers."""
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
