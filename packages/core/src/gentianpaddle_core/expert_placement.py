"""Placement of expert replicas on the ranks of a group, and the share of tokens of each replica.

Ranks run in lock-step, so a layer takes as long as its slowest rank. Changing shares transfers no
weights; a new replica is loaded from the rate-limited weight store into free memory. A plan is
prepared and activated as one expert map: during the preparation a rank holds the replicas of both
maps, and replicas are dropped only after the activation.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from gentianpaddle_core import _leveling, ids

SHARE_UNITS = 64
"""Number of units that the tokens of an expert are split into. Finer shares would make the dispatch
table of a rank large."""

MIN_RESPLIT_GAIN = 0.005
"""Minimum gain, as a share of the step time, for which new token shares alone justify a new map."""


@dataclasses.dataclass(frozen=True, slots=True)
class RankGroup:
    """Ranks of a group with their rates, memory and access to the weight store."""

    rates: tuple[float, ...]
    """Measured speed of each rank relative to a healthy one; a slow rank has less than 1."""
    memory_bytes: tuple[int, ...]
    """Memory for experts of all layers by rank."""
    expert_bytes: int
    """Size of one expert of one layer."""
    store_bytes_s: float
    """Bandwidth of the weight store for this group, in bytes per second."""
    reserve_bytes: int
    """Memory kept free at each rank where possible, so that the next plan can load replicas."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """Replica of an expert at one rank."""

    rank: ids.RankIndex
    """Rank that holds it."""
    units: int
    """Number of the `SHARE_UNITS` units of the expert's tokens; 0 for a replica without tokens."""


ExpertReplicas = tuple[Replica, ...]
"""Replicas of one expert, sorted by rank."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertMap:
    """Replicas of every expert of every layer."""

    layers: tuple[tuple[ExpertReplicas, ...], ...]
    """Replicas, indexed by layer and expert."""

    def held_bytes(self, group: RankGroup) -> list[int]:
        """Return the memory that the replicas occupy at each rank.

        Args:
            group: The group.

        Returns:
            Bytes by rank.
        """
        held_bytes_by_rank = [0] * len(group.rates)
        for layer in self.layers:
            for replicas in layer:
                for replica in replicas:
                    held_bytes_by_rank[replica.rank] += group.expert_bytes
        return held_bytes_by_rank


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class ReplicaLocation:
    """Location of a replica: layer, expert and rank."""

    layer: int
    """Index of the layer, from 0."""
    expert: ids.ExpertId
    """Expert that is replicated."""
    rank: ids.RankIndex
    """Rank that holds the replica."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """Change of the expert map, with the replicas to load and to drop."""

    loads: tuple[ReplicaLocation, ...]
    """Replicas to load before the activation; they fit into memory beside the old ones."""
    drops: tuple[ReplicaLocation, ...]
    """Replicas to drop after the activation."""
    new_map: ExpertMap
    """Map to activate."""
    moved_bytes: int
    """Number of bytes to load from the weight store."""
    gain: float
    """Expected saving as a share of the step time."""
    reason: str
    """Reason for the decision log."""

    def moves(self) -> tuple[tuple[ReplicaLocation, ReplicaLocation], ...]:
        """Return pairs of a load and a drop of the same expert; all other loads add a replica."""
        drop_by_expert = {(drop.layer, drop.expert): drop for drop in self.drops}
        return tuple(
            (load, drop_by_expert[load.layer, load.expert])
            for load in self.loads
            if (load.layer, load.expert) in drop_by_expert
        )


@dataclasses.dataclass(frozen=True, slots=True)
class NoChange:
    """Decision to keep the current map."""

    reason: str
    """Reason for the decision log."""


def skew(expert_map: ExpertMap, loads: Sequence[Sequence[float]], group: RankGroup) -> float:
    """Return the step time relative to that of perfectly balanced ranks.

    Args:
        expert_map: Current map.
        loads: Share of the layer's tokens by layer and expert.
        group: The group.

    Returns:
        Sum over layers of the largest rank time, divided by the sum of the mean rank times.
    """
    rates = _leveling.clamped_rates(group.rates)
    longest = mean = 0.0
    for replicas, load in zip(expert_map.layers, loads, strict=True):
        times = [0.0] * len(group.rates)
        for expert, copies in enumerate(replicas):
            for copy in copies:
                load_on_rank = load[expert] * copy.units / SHARE_UNITS
                times[copy.rank] += load_on_rank / rates[copy.rank]
        longest += max(times)
        mean += sum(times) / len(times)
    return longest / mean if mean > 0.0 else 1.0


def place_from_scratch(loads: Sequence[Sequence[float]], group: RankGroup) -> ExpertMap:
    """Compute a placement from scratch, without regard to the current one.

    Args:
        loads: Share of the layer's tokens by layer and expert.
        group: The group; its memory must hold every expert once.

    Returns:
        A balanced map that uses all memory except the reserve.
    """
    layer_count = len(loads)
    slots_by_rank = [
        (memory - group.reserve_bytes) // group.expert_bytes for memory in group.memory_bytes
    ]
    layers = []
    for index, load in enumerate(loads):
        # Slots that do not divide evenly go to different layers on neighbouring ranks.
        slots_of_layer = [
            total // layer_count + ((index + rank) % layer_count < total % layer_count)
            for rank, total in enumerate(slots_by_rank)
        ]
        layer_load = _leveling.place_greedily(load, group.rates, slots_of_layer)
        layer_load.balance()
        layers.append(_replicas_of_layer(layer_load))
    return ExpertMap(tuple(layers))


def plan(
    current: ExpertMap,
    loads: Sequence[Sequence[float]],
    group: RankGroup,
    validity_s: float,
    budget_bytes: int,
) -> Plan | NoChange:
    """Decide on the next change of the map.

    Args:
        current: Current map.
        loads: Share of the layer's tokens by layer and expert.
        group: The group.
        validity_s: Time for which the popularity is expected to stay the same, in seconds.
        budget_bytes: Maximum number of bytes to load for this plan.

    Returns:
        The change, or the reason to keep the current map.
    """
    state = _PlanState(current, loads, group)
    time_before = sum(state.current_times)
    loaded = state.add_replicas(validity_s, budget_bytes)
    dropped = state.drop_for_next_plan(loaded, validity_s)
    time_after = sum(layer.max_time() for layer in state.layers)
    gain = (time_before - time_after) / time_before if time_before > 0.0 else 0.0
    if not loaded and not dropped and gain < MIN_RESPLIT_GAIN:
        return NoChange(f"a change would save {gain:.2%} of the step time")
    moved_bytes = len(loaded) * group.expert_bytes
    return Plan(
        loads=tuple(sorted(loaded)),
        drops=tuple(sorted(dropped)),
        new_map=ExpertMap(tuple(_replicas_of_layer(layer) for layer in state.layers)),
        moved_bytes=moved_bytes,
        gain=gain,
        reason=(
            f"saves {gain:.2%} of the step time for {validity_s:.0f} s with "
            f"{len(loaded)} loads and {len(dropped)} drops"
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Candidate:
    """Replica that can be added or dropped."""

    saved_time: float
    """Layer time that adding the replica saves, or that dropping it adds."""
    layer: _leveling.LayerLoad
    """Balanced layer after the change."""
    location: ReplicaLocation
    """Location of the replica."""


class _PlanState:
    """Layers as changed by the plan so far, and the free memory of each rank."""

    def __init__(
        self, current: ExpertMap, loads: Sequence[Sequence[float]], group: RankGroup
    ) -> None:
        self.group = group
        held_bytes_by_rank = current.held_bytes(group)
        self.free_bytes = [
            memory - used
            for memory, used in zip(group.memory_bytes, held_bytes_by_rank, strict=True)
        ]
        self.layers = []
        self.current_times = []
        for replicas, load in zip(current.layers, loads, strict=True):
            amounts = [
                {int(copy.rank): load[expert] * copy.units / SHARE_UNITS for copy in copies}
                for expert, copies in enumerate(replicas)
            ]
            layer = _leveling.LayerLoad(list(load), amounts, group.rates)
            self.current_times.append(layer.max_time())
            layer.balance()
            self.layers.append(layer)

    def add_replicas(self, validity_s: float, budget_bytes: int) -> list[ReplicaLocation]:
        expert_bytes = self.group.expert_bytes
        step_time = sum(layer.max_time() for layer in self.layers) or 1.0
        transfer_cost = step_time * expert_bytes / self.group.store_bytes_s / validity_s
        loaded: list[ReplicaLocation] = []
        best_by_layer = [
            self._best_candidate(index, self._ranks_with_free_memory())
            for index in range(len(self.layers))
        ]
        while (len(loaded) + 1) * expert_bytes <= budget_bytes:
            best_candidate = max(
                filter(None, best_by_layer),
                key=lambda candidate: candidate.saved_time,
                default=None,
            )
            if best_candidate is None or best_candidate.saved_time <= transfer_cost:
                break
            index, rank = best_candidate.location.layer, best_candidate.location.rank
            if self.free_bytes[rank] >= expert_bytes:
                self.layers[index] = best_candidate.layer
                self.free_bytes[rank] -= expert_bytes
                loaded.append(best_candidate.location)
            best_by_layer[index] = self._best_candidate(index, self._ranks_with_free_memory())
        return loaded

    def _ranks_with_free_memory(self) -> set[int]:
        return {
            r
            for r, free_bytes in enumerate(self.free_bytes)
            if free_bytes >= self.group.expert_bytes
        }

    def _best_candidate(self, index: int, ranks_with_free_memory: set[int]) -> _Candidate | None:
        return max(
            self._candidates(index, ranks_with_free_memory),
            key=lambda candidate: candidate.saved_time,
            default=None,
        )

    def _candidates(self, index: int, ranks_with_free_memory: set[int]) -> list[_Candidate]:
        layer = self.layers[index]
        cost = layer.cost()
        return [
            _Candidate(
                cost - changed.cost(),
                changed,
                ReplicaLocation(index, ids.ExpertId(expert), ids.RankIndex(rank)),
            )
            for changed, expert, rank in layer.with_added_replica(ranks_with_free_memory)
        ]

    def drop_for_next_plan(
        self, loaded: list[ReplicaLocation], validity_s: float
    ) -> list[ReplicaLocation]:
        """Drop replicas that save less time than the next plan could save in their memory."""
        step_time = sum(layer.max_time() for layer in self.layers) or 1.0
        expert_bytes = self.group.expert_bytes
        transfer_cost = step_time * expert_bytes / self.group.store_bytes_s / validity_s
        dropped: list[ReplicaLocation] = []
        new_locations = set(loaded)
        ranks_without_reserve = {
            r
            for r, free_bytes in enumerate(self.free_bytes)
            if free_bytes < self.group.reserve_bytes
        }
        value_by_rank = dict.fromkeys(ranks_without_reserve, transfer_cost)
        for index in range(len(self.layers)):
            for candidate in self._candidates(index, ranks_without_reserve):
                location = candidate.location
                value_by_rank[location.rank] = max(
                    value_by_rank[location.rank], candidate.saved_time - transfer_cost
                )
        for rank, value in sorted(value_by_rank.items(), key=lambda item: -item[1]):
            least_useful = self._least_useful_replica(rank, new_locations)
            if least_useful is not None and least_useful.saved_time < value:
                self.layers[least_useful.location.layer] = least_useful.layer
                dropped.append(least_useful.location)
        return dropped

    def _least_useful_replica(self, rank: int, excluded: set[ReplicaLocation]) -> _Candidate | None:
        least_useful: _Candidate | None = None
        for index, layer in enumerate(self.layers):
            for expert in layer.redundant_experts_at(rank):
                location = ReplicaLocation(index, ids.ExpertId(expert), ids.RankIndex(rank))
                if location in excluded:
                    continue
                trial = layer.without_replica(expert, rank)
                added_time = trial.cost() - layer.cost()
                if least_useful is None or added_time < least_useful.saved_time:
                    least_useful = _Candidate(added_time, trial, location)
        return least_useful


def _replicas_of_layer(layer: _leveling.LayerLoad) -> tuple[ExpertReplicas, ...]:
    """Return the replicas by expert, with the load of each rounded to whole `SHARE_UNITS` units."""
    return tuple(
        tuple(
            Replica(ids.RankIndex(rank), units)
            for rank, units in sorted(
                _leveling.rounded_units(amounts, layer.loads[expert], SHARE_UNITS).items()
            )
        )
        for expert, amounts in enumerate(layer.amounts)
    )
