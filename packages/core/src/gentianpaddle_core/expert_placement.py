"""Where the experts of a group lie, and which share of its tokens each replica takes.

Ranks advance in lock-step, so a layer takes as long as its slowest rank. Changing shares moves no
bytes; a new replica is loaded through the rate-limited weight store into free memory. A plan is
prepared and activated as one expert map: during its preparation a rank holds the replicas of the
old map and the new ones, and replicas are dropped only after the activation.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Sequence

from gentianpaddle_core import _leveling, ids

SHARE_UNITS = 64
"""Shares are whole numbers of this; finer ones would make the dispatch table of a rank large."""

RELEVEL_GAIN = 0.005
"""Least share of the step time for which new shares alone are worth a change of map."""


@dataclasses.dataclass(frozen=True, slots=True)
class Group:
    """A group of ranks."""

    rates: tuple[float, ...]
    """Measured speed of each rank relative to a healthy one; a slow rank has less than 1."""
    memory_bytes: tuple[int, ...]
    """Memory for experts at each rank, over all layers."""
    expert_bytes: int
    """Size of one expert of one layer."""
    store_bytes_s: float
    """Rate at which the weight store serves this group."""
    reserve_bytes: int
    """Memory of each rank to keep free where possible, so that the next plan has room."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replica:
    """One copy of an expert."""

    rank: ids.RankIndex
    """Rank that holds it."""
    units: int
    """Share of the expert's tokens, in `SHARE_UNITS`; 0 for a copy that is only kept."""


ExpertReplicas = tuple[Replica, ...]
"""Copies of one expert by rank."""


@dataclasses.dataclass(frozen=True, slots=True)
class ExpertMap:
    """Replicas of every expert of every layer."""

    layers: tuple[tuple[ExpertReplicas, ...], ...]
    """By layer and expert."""

    def held_bytes(self, group: Group) -> list[int]:
        """Return the memory that the replicas take at each rank.

        Args:
            group: The group.

        Returns:
            Bytes by rank.
        """
        held = [0] * len(group.rates)
        for layer in self.layers:
            for replicas in layer:
                for replica in replicas:
                    held[replica.rank] += group.expert_bytes
        return held


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Place:
    """One expert at one rank."""

    layer: int
    """Layer from 0."""
    expert: ids.ExpertId
    """Expert."""
    rank: ids.RankIndex
    """Rank."""


@dataclasses.dataclass(frozen=True, slots=True)
class Plan:
    """A change of the expert map."""

    loads: tuple[Place, ...]
    """Replicas to load before the activation; there is room for them beside the old ones."""
    drops: tuple[Place, ...]
    """Replicas to drop after the activation."""
    new_map: ExpertMap
    """Map to activate."""
    moved_bytes: int
    """Bytes that the weight store serves."""
    gain: float
    """Expected share of the step time that is saved."""
    reason: str
    """Why, for the decision log."""

    def moves(self) -> tuple[tuple[Place, Place], ...]:
        """Return pairs of a load and a drop of the same expert; other loads are replications."""
        drop_by_expert = {(drop.layer, drop.expert): drop for drop in self.drops}
        return tuple(
            (load, drop_by_expert[load.layer, load.expert])
            for load in self.loads
            if (load.layer, load.expert) in drop_by_expert
        )


@dataclasses.dataclass(frozen=True, slots=True)
class Keep:
    """The map stays as it is."""

    reason: str
    """Why, for the decision log."""


def skew(expert_map: ExpertMap, loads: Sequence[Sequence[float]], group: Group) -> float:
    """Return the step time relative to ranks that all take the mean time.

    Args:
        expert_map: Map in force.
        loads: Share of each expert by layer.
        group: The group.

    Returns:
        Sum over layers of the longest rank time, over the sum of the mean rank times.
    """
    rates = _leveling.usable(group.rates)
    longest = mean = 0.0
    for replicas, load in zip(expert_map.layers, loads, strict=True):
        times = [0.0] * len(group.rates)
        for expert, copies in enumerate(replicas):
            for copy in copies:
                part = load[expert] * copy.units / SHARE_UNITS
                times[copy.rank] += part / rates[copy.rank]
        longest += max(times)
        mean += sum(times) / len(times)
    return longest / mean if mean > 0.0 else 1.0


def solve(loads: Sequence[Sequence[float]], group: Group) -> ExpertMap:
    """Place all experts afresh, without regard to where they lie.

    Args:
        loads: Share of each expert by layer.
        group: The group; its memory must hold every expert once.

    Returns:
        A balanced map that uses all memory but the reserve.
    """
    count = len(loads)
    slots = [(memory - group.reserve_bytes) // group.expert_bytes for memory in group.memory_bytes]
    layers = []
    for index, load in enumerate(loads):
        # A rank's remainder goes to other layers than that of its neighbour.
        room = [
            total // count + ((index + rank) % count < total % count)
            for rank, total in enumerate(slots)
        ]
        working = _leveling.packed(load, group.rates, room)
        working.level()
        layers.append(_quantised(working))
    return ExpertMap(tuple(layers))


def plan(
    current: ExpertMap,
    loads: Sequence[Sequence[float]],
    group: Group,
    validity_s: float,
    budget_bytes: int,
) -> Plan | Keep:
    """Decide on the next change of the map.

    Args:
        current: Map in force.
        loads: Share of each expert by layer.
        group: The group.
        validity_s: Time for which the change is expected to stay valid.
        budget_bytes: Bytes that the weight store may serve for this plan.

    Returns:
        The change, or why there is none.
    """
    work = _Work(current, loads, group)
    before = sum(work.current_times)
    loaded = work.add_replicas(validity_s, budget_bytes)
    dropped = work.drop_for_room(loaded, validity_s)
    after = sum(layer.longest() for layer in work.layers)
    gain = (before - after) / before if before > 0.0 else 0.0
    if not loaded and not dropped and gain < RELEVEL_GAIN:
        return Keep(f"a change would save {gain:.2%} of the step time")
    moved_bytes = len(loaded) * group.expert_bytes
    return Plan(
        loads=tuple(sorted(loaded)),
        drops=tuple(sorted(dropped)),
        new_map=ExpertMap(tuple(_quantised(layer) for layer in work.layers)),
        moved_bytes=moved_bytes,
        gain=gain,
        reason=(
            f"saves {gain:.2%} of the step time for {validity_s:.0f} s with "
            f"{len(loaded)} loads and {len(dropped)} drops"
        ),
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Choice:
    """A replica that may be added or dropped."""

    saved: float
    """Time that it saves, or costs when dropped."""
    layer: _leveling.Layer
    """The layer with the change."""
    place: Place
    """Which replica."""


class _Work:
    """Layers under change, with the free memory of the ranks."""

    def __init__(self, current: ExpertMap, loads: Sequence[Sequence[float]], group: Group) -> None:
        self.group = group
        held = current.held_bytes(group)
        self.free = [memory - used for memory, used in zip(group.memory_bytes, held, strict=True)]
        self.layers = []
        self.current_times = []
        for replicas, load in zip(current.layers, loads, strict=True):
            amounts = [
                {int(copy.rank): load[expert] * copy.units / SHARE_UNITS for copy in copies}
                for expert, copies in enumerate(replicas)
            ]
            layer = _leveling.Layer(list(load), amounts, group.rates)
            self.current_times.append(layer.longest())
            layer.level()
            self.layers.append(layer)

    def add_replicas(self, validity_s: float, budget_bytes: int) -> list[Place]:
        size = self.group.expert_bytes
        step_time = sum(layer.longest() for layer in self.layers) or 1.0
        worth = step_time * size / self.group.store_bytes_s / validity_s
        loaded: list[Place] = []
        queue = [self._best(index, self._room()) for index in range(len(self.layers))]
        while (len(loaded) + 1) * size <= budget_bytes:
            best = max(filter(None, queue), key=lambda choice: choice.saved, default=None)
            if best is None or best.saved <= worth:
                break
            index, rank = best.place.layer, best.place.rank
            if self.free[rank] >= size:
                self.layers[index] = best.layer
                self.free[rank] -= size
                loaded.append(best.place)
            queue[index] = self._best(index, self._room())
        return loaded

    def _room(self) -> set[int]:
        return {r for r, free in enumerate(self.free) if free >= self.group.expert_bytes}

    def _best(self, index: int, room: set[int]) -> _Choice | None:
        return max(self._choices(index, room), key=lambda choice: choice.saved, default=None)

    def _choices(self, index: int, room: set[int]) -> list[_Choice]:
        layer = self.layers[index]
        cost = layer.cost()
        return [
            _Choice(
                cost - changed.cost(),
                changed,
                Place(index, ids.ExpertId(expert), ids.RankIndex(rank)),
            )
            for changed, expert, rank in layer.trials(room)
        ]

    def drop_for_room(self, loaded: list[Place], validity_s: float) -> list[Place]:
        """Drop what is worth less than the replica that the next plan can load in its place."""
        step_time = sum(layer.longest() for layer in self.layers) or 1.0
        size = self.group.expert_bytes
        worth = step_time * size / self.group.store_bytes_s / validity_s
        dropped: list[Place] = []
        fresh = set(loaded)
        full = {r for r, free in enumerate(self.free) if free < self.group.reserve_bytes}
        wish_by_rank = dict.fromkeys(full, worth)
        for index in range(len(self.layers)):
            for choice in self._choices(index, full):
                place = choice.place
                wish_by_rank[place.rank] = max(wish_by_rank[place.rank], choice.saved - worth)
        for rank, wish in sorted(wish_by_rank.items(), key=lambda item: -item[1]):
            least = self._least_useful(rank, fresh)
            if least is not None and least.saved < wish:
                self.layers[least.place.layer] = least.layer
                dropped.append(least.place)
        return dropped

    def _least_useful(self, rank: int, kept: set[Place]) -> _Choice | None:
        least: _Choice | None = None
        for index, layer in enumerate(self.layers):
            for expert in layer.spare_at(rank):
                place = Place(index, ids.ExpertId(expert), ids.RankIndex(rank))
                if place in kept:
                    continue
                trial = layer.without(expert, rank)
                loss = trial.cost() - layer.cost()
                if least is None or loss < least.saved:
                    least = _Choice(loss, trial, place)
        return least


def _quantised(layer: _leveling.Layer) -> tuple[ExpertReplicas, ...]:
    return tuple(
        tuple(
            Replica(ids.RankIndex(rank), units)
            for rank, units in sorted(
                _leveling.units(amounts, layer.loads[expert], SHARE_UNITS).items()
            )
        )
        for expert, amounts in enumerate(layer.amounts)
    )
