"""Load balancing within one layer: splits the load of each expert over its replicas.

A load is a share of the tokens of the layer. A rate is the speed of a rank relative to a healthy
one. The time of a rank is its load divided by its rate.
"""

from __future__ import annotations

import heapq
from collections.abc import Collection, Sequence

MAX_BALANCE_ROUNDS = 12
"""Maximum number of passes over all replicated experts. Further passes change the largest rank time
by less than 1 %."""

BALANCE_TOLERANCE = 1e-3
"""Relative decrease of the largest rank time per pass at or below which balancing stops."""

HOT_TIME_SHARE = 0.995
"""Share of the largest rank time from which a rank counts as hot."""

COST_NORM_ORDER = 16
"""Order of the norm that approximates the largest rank time. The maximum itself does not fall when
one of two equally hot ranks is relieved; this norm does."""

MAX_EVALUATED_REPLICAS = 6
"""Number of best-ranked candidate replicas for which the layer is balanced in full."""

MIN_RATE = 0.01
"""Lower bound of a rank's rate. It avoids a division by zero for a stalled rank and keeps the
comparison between ranks defined."""


class LayerLoad:
    """Load of one layer by expert and rank.

    `amounts[expert]` maps each rank that holds a replica to its part of `loads[expert]`.
    """

    __slots__ = ("amounts", "loads", "rank_loads", "rates")

    def __init__(
        self, loads: list[float], amounts: list[dict[int, float]], rates: Sequence[float]
    ) -> None:
        self.loads = loads
        self.amounts = amounts
        self.rates = clamped_rates(rates)
        self.rank_loads = [0.0] * len(rates)
        for by_rank in amounts:
            for rank, amount in by_rank.items():
                self.rank_loads[rank] += amount

    def copy(self) -> LayerLoad:
        return LayerLoad(self.loads, [dict(by_rank) for by_rank in self.amounts], self.rates)

    def max_time(self) -> float:
        """Return the largest rank time, which is the time of the layer."""
        return max(map(_rank_time, self.rank_loads, self.rates))

    def skew(self) -> float:
        """Return the largest rank time divided by the mean rank time."""
        times = list(map(_rank_time, self.rank_loads, self.rates))
        return max(times) * len(times) / (sum(times) or 1.0)

    def balance(self) -> None:
        """Split the loads of all replicated experts anew, in several passes.

        Stops when a pass lowers the largest rank time by at most `BALANCE_TOLERANCE` of it, or
        after `MAX_BALANCE_ROUNDS` passes.
        """
        replicated = [expert for expert, by_rank in enumerate(self.amounts) if len(by_rank) > 1]
        max_time = self.max_time()
        for _ in range(MAX_BALANCE_ROUNDS):
            for expert in replicated:
                self._split_expert(expert)
            previous_max_time, max_time = max_time, self.max_time()
            if previous_max_time - max_time <= BALANCE_TOLERANCE * max_time:
                break

    def without_replica(self, expert: int, rank: int) -> LayerLoad:
        """Return a balanced copy of the layer without one of several replicas of an expert."""
        trial = self.copy()
        trial.rank_loads[rank] -= trial.amounts[expert].pop(rank)
        trial._split_expert(expert)
        trial.balance()
        return trial

    def redundant_experts_at(self, rank: int) -> list[int]:
        """Return the experts at a rank that also have a replica at another rank."""
        return [
            expert
            for expert, by_rank in enumerate(self.amounts)
            if rank in by_rank and len(by_rank) > 1
        ]

    def cost(self) -> float:
        """Return a smooth approximation of the largest rank time."""
        max_time = self.max_time()
        if max_time <= 0.0:
            return 0.0
        times = map(_rank_time, self.rank_loads, self.rates)
        total = sum((rank_time / max_time) ** COST_NORM_ORDER for rank_time in times)
        return float(max_time * (total / len(self.rates)) ** (1.0 / COST_NORM_ORDER))

    def with_added_replica(
        self, ranks_with_free_memory: Collection[int]
    ) -> list[tuple[LayerLoad, int, int]]:
        """Return balanced copies of the layer with one more replica each, best candidates only.

        Args:
            ranks_with_free_memory: Ranks that can hold another replica.

        Returns:
            Changed layer, expert and rank of the added replica.
        """
        changed_layers = []
        for expert, rank in self._candidate_replicas(ranks_with_free_memory):
            trial = self.copy()
            trial.amounts[expert][rank] = 0.0
            trial.balance()
            changed_layers.append((trial, expert, rank))
        return changed_layers

    def _candidate_replicas(self, ranks_with_free_memory: Collection[int]) -> list[tuple[int, int]]:
        """Return pairs of a hot expert and a rank, sorted by the estimated rank time.

        Ranks that share replicated experts can balance their load among each other, so a new
        replica joins two connected components of ranks.
        """
        times = list(map(_rank_time, self.rank_loads, self.rates))
        limit = max(times) * HOT_TIME_SHARE
        component_by_rank = self._components()
        load_by_component = [0.0] * len(times)
        rate_by_component = [0.0] * len(times)
        for rank, index in enumerate(component_by_rank):
            load_by_component[index] += self.rank_loads[rank]
            rate_by_component[index] += self.rates[rank]
        scored_replicas = []
        for expert, by_rank in enumerate(self.amounts):
            hot = [rank for rank, amount in by_rank.items() if amount and times[rank] >= limit]
            if not hot:
                continue
            movable_load = sum(by_rank[rank] for rank in hot)
            source = component_by_rank[hot[0]]
            for rank in ranks_with_free_memory:
                if rank in by_rank or times[rank] >= limit:
                    continue
                target = component_by_rank[rank]
                if target == source:
                    balanced_time = limit
                else:
                    balanced_time = (load_by_component[source] + load_by_component[target]) / (
                        rate_by_component[source] + rate_by_component[target]
                    )
                balanced_time = max(
                    balanced_time,
                    (load_by_component[source] - movable_load) / rate_by_component[source],
                )
                scored_replicas.append((balanced_time, -movable_load, times[rank], expert, rank))
        return [
            scored_replica[3:]
            for scored_replica in heapq.nsmallest(MAX_EVALUATED_REPLICAS, scored_replicas)
        ]

    def _components(self) -> list[int]:
        """Return the connected component of each rank, named by its lowest rank.

        Two ranks are connected when both hold a replica of the same expert.
        """
        component_by_rank = list(range(len(self.rates)))

        def root(rank: int) -> int:
            while component_by_rank[rank] != rank:
                rank = component_by_rank[rank]
            return rank

        for by_rank in self.amounts:
            first, *others = map(root, by_rank)
            for other in others:
                low, high = sorted((root(first), root(other)))
                component_by_rank[high] = low
                first = low
        return [root(rank) for rank in range(len(component_by_rank))]

    def _split_expert(self, expert: int) -> None:
        """Split the load of an expert so that all ranks with a part of it have equal times.

        Ranks whose other load alone takes at least that time get no part.
        """
        by_rank = self.amounts[expert]
        loads, rates = self.rank_loads, self.rates
        for rank, amount in by_rank.items():
            loads[rank] -= amount
            by_rank[rank] = 0.0
        ranks = sorted(by_rank, key=lambda rank: loads[rank] / rates[rank])
        load_sum, rate_sum = self.loads[expert], 0.0
        used_count = 0
        for rank in ranks:
            if used_count and load_sum / rate_sum <= loads[rank] / rates[rank]:
                break
            load_sum += loads[rank]
            rate_sum += rates[rank]
            used_count += 1
        balanced_time = load_sum / rate_sum
        for rank in ranks[:used_count]:
            amount = max(0.0, balanced_time * rates[rank] - loads[rank])
            by_rank[rank] = amount
            loads[rank] += amount


def place_greedily(
    loads: Sequence[float], rates: Sequence[float], slots: Sequence[int]
) -> LayerLoad:
    """Place all experts greedily.

    The hottest experts get the additional replicas. Each replica goes to the rank with the least
    time among those with a free slot.

    Args:
        loads: Share of the layer's tokens by expert.
        rates: Rate of each rank relative to a healthy one.
        slots: Number of replicas that each rank can hold.

    Returns:
        The layer, with the load of each expert split evenly over its replicas.

    Raises:
        ValueError: An expert fits on no rank.
    """
    rates = clamped_rates(rates)
    replica_counts = [1] * len(loads)
    for _ in range(sum(slots) - len(loads)):
        candidates = [
            expert_index
            for expert_index in range(len(loads))
            if replica_counts[expert_index] < len(rates)
        ]
        if not candidates:
            break
        replica_counts[
            max(candidates, key=lambda expert: loads[expert] / replica_counts[expert])
        ] += 1
    amounts: list[dict[int, float]] = [{} for _ in loads]
    times = [0.0] * len(rates)
    free_slots = list(slots)
    order = sorted(range(len(loads)), key=lambda expert: -loads[expert] / replica_counts[expert])
    for first_replica in (True, False):
        for expert in order:
            load_per_replica = loads[expert] / replica_counts[expert]
            for _ in range(1 if first_replica else replica_counts[expert] - 1):
                eligible_ranks = [
                    r for r in range(len(rates)) if free_slots[r] > 0 and r not in amounts[expert]
                ]
                if not eligible_ranks:
                    break
                rank = min(
                    eligible_ranks, key=lambda r: (times[r] + load_per_replica / rates[r], r)
                )
                amounts[expert][rank] = load_per_replica
                times[rank] += load_per_replica / rates[rank]
                free_slots[rank] -= 1
    for expert, by_rank in enumerate(amounts):
        if not by_rank:
            raise ValueError("group memory cannot hold one replica of every expert")
        for rank in by_rank:
            by_rank[rank] = loads[expert] / len(by_rank)
    return LayerLoad(list(loads), amounts, rates)


def clamped_rates(rates: Sequence[float]) -> tuple[float, ...]:
    """Return the rates with `MIN_RATE` as their lower bound, so that they can be divided by."""
    return tuple(max(MIN_RATE, rate) for rate in rates)


def rounded_units(amounts: dict[int, float], load: float, total: int) -> dict[int, int]:
    """Round amounts to whole units that add up to the total (largest remainder method).

    Args:
        amounts: Parts of the load by rank.
        load: Sum of the amounts; without load the lowest rank gets all units.
        total: Number of units to distribute.

    Returns:
        Number of units by rank.
    """
    if load <= 0.0:
        first = min(amounts)
        return {rank: total if rank == first else 0 for rank in amounts}
    exact = {rank: amount / load * total for rank, amount in amounts.items()}
    rounded = {rank: int(value) for rank, value in exact.items()}
    missing = total - sum(rounded.values())
    ranks_by_remainder = sorted(exact, key=lambda rank: (rounded[rank] - exact[rank], rank))
    for position in range(missing):
        rounded[ranks_by_remainder[position % len(ranks_by_remainder)]] += 1
    return rounded


def _rank_time(load: float, rate: float) -> float:
    return load / rate
