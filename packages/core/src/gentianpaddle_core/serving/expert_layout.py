"""Placement of the experts of an engine group, and the changes to it that are worth their cost.

The demand for experts shifts every few seconds. In each set all ranks wait for the most loaded one,
so each change relieves the most loaded rank, within the few experts that a rank can copy at once.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Sequence

from gentianpaddle_core.serving import routes

Layout = tuple[tuple[tuple[int, ...], ...], ...]
"""Expert numbers by set and rank."""

NORM_POWER = 8
"""Exponent of the norm that approximates the maximum load. The maximum itself does not fall when
one of two equally loaded ranks is relieved; this norm does."""

REBALANCE_START_RATIO = 1.3
"""Ratio of maximum to mean rank load from which a set is rebalanced. Each copied expert has a cost,
and below this ratio the engines meet their targets at the usual load."""

REBALANCE_STOP_RATIO = 1.12
"""Ratio of maximum to mean rank load at which rebalancing a set stops; further copies save less
time than they cost."""

MIN_RELATIVE_GAIN = 0.001
"""Minimum gain of a move, relative to the sum of the powers of the loads; a smaller gain is not
worth a copy."""

MAX_TARGET_RANKS = 4
"""Number of least loaded ranks that are considered as the target of an expert."""

MAX_DROPPED_EXPERTS = 2
"""Number of experts with the least demand that are considered for removal from a target rank."""

MAX_MOVES_PER_RANK = 2
"""Maximum number of moves in a set, per rank; a rank takes up to `max_new_experts` new experts at a
time, usually two."""


@dataclasses.dataclass(slots=True)
class _CandidateMove:
    gain: float
    """Reduction of the sum of the powers of the loads."""
    add: tuple[int, int]
    """Expert to copy, and the rank that receives it."""
    drop: int | None
    """Expert that the receiving rank drops, or None."""
    swap_rank: int | None
    """Rank that receives the dropped expert and drops the copied one, or None."""


class _SetRebalancer:
    """Rebalances one set.

    The demand of an expert is divided evenly among the ranks that hold it. The load of a rank is
    its part of the demand of its experts, multiplied by its slowness.
    """

    def __init__(
        self,
        experts_by_rank: Sequence[Sequence[int]],
        demand: Sequence[float],
        slowness: Sequence[float],
        shape: routes.ExpertLimits,
    ) -> None:
        self.held_experts = [set(experts) for experts in experts_by_rank]
        self.initial_experts = [frozenset(experts) for experts in experts_by_rank]
        self.demand = demand
        self.slowness = slowness
        self.shape = shape
        self.ranks_by_expert: list[set[int]] = [set() for _ in demand]
        for rank, experts in enumerate(experts_by_rank):
            for expert in experts:
                self.ranks_by_expert[expert].add(rank)
        self.loads = [self._rank_load(rank) for rank in range(len(experts_by_rank))]
        self.mean_load = sum(demand) / len(experts_by_rank)

    def _rank_load(self, rank: int) -> float:
        total = sum(
            self.demand[expert] / len(self.ranks_by_expert[expert])
            for expert in self.held_experts[rank]
        )
        return total * self.slowness[rank]

    def rebalance(self) -> None:
        if self.mean_load <= 0.0 or max(self.loads) < REBALANCE_START_RATIO * self.mean_load:
            return
        for _ in range(MAX_MOVES_PER_RANK * len(self.held_experts)):
            if max(self.loads) < REBALANCE_STOP_RATIO * self.mean_load:
                return
            best = max(self._candidates(), key=lambda candidate: candidate.gain, default=None)
            if best is None or best.gain <= MIN_RELATIVE_GAIN * self._imbalance(self.loads):
                return
            self._apply(best)

    def _imbalance(self, loads: Iterable[float]) -> float:
        return sum((load / self.mean_load) ** NORM_POWER for load in loads)

    def _candidates(self) -> Iterator[_CandidateMove]:
        fullest_rank = max(range(len(self.loads)), key=self.loads.__getitem__)
        ranks_by_load = sorted(range(len(self.loads)), key=self.loads.__getitem__)
        for expert in self.held_experts[fullest_rank]:
            target_ranks = [
                rank
                for rank in ranks_by_load
                if rank != fullest_rank
                and expert not in self.held_experts[rank]
                and self._can_hold(rank, expert)
            ]
            for rank in target_ranks[:MAX_TARGET_RANKS]:
                if len(self.held_experts[rank]) < self.shape.max_experts_per_rank:
                    yield self._with_gain(_CandidateMove(0.0, (expert, rank), None, None))
                drop_candidates = sorted(self.held_experts[rank], key=self._demand_per_replica)
                for dropped in drop_candidates[:MAX_DROPPED_EXPERTS]:
                    if len(self.ranks_by_expert[dropped]) > 1:
                        yield self._with_gain(_CandidateMove(0.0, (expert, rank), dropped, None))
                    if dropped not in self.held_experts[fullest_rank] and self._can_hold(
                        fullest_rank, dropped
                    ):
                        yield self._with_gain(
                            _CandidateMove(0.0, (expert, rank), dropped, fullest_rank)
                        )

    def _demand_per_replica(self, expert: int) -> float:
        return self.demand[expert] / len(self.ranks_by_expert[expert])

    def _can_hold(self, rank: int, expert: int) -> bool:
        """Return whether the rank held the expert before, or may copy one more."""
        if expert in self.initial_experts[rank]:
            return True
        return (
            len(self.held_experts[rank] - self.initial_experts[rank]) < self.shape.max_new_experts
        )

    def _with_gain(self, candidate: _CandidateMove) -> _CandidateMove:
        """Apply and revert a move to find its gain."""
        # Compares only the ranks affected by the move: a set has 72 ranks in large groups.
        previous_loads = self._apply(candidate)
        candidate.gain = self._imbalance(previous_loads.values()) - self._imbalance(
            self.loads[rank] for rank in previous_loads
        )
        self._revert(candidate, previous_loads)
        return candidate

    def _apply(self, candidate: _CandidateMove) -> dict[int, float]:
        expert, rank = candidate.add
        self._change_experts(rank, add=expert, drop=candidate.drop)
        if candidate.swap_rank is not None:
            self._change_experts(candidate.swap_rank, add=candidate.drop, drop=expert)
        return self._update_loads(candidate)

    def _revert(self, candidate: _CandidateMove, loads: dict[int, float]) -> None:
        expert, rank = candidate.add
        if candidate.swap_rank is not None:
            self._change_experts(candidate.swap_rank, add=expert, drop=candidate.drop)
        self._change_experts(rank, add=candidate.drop, drop=expert)
        for affected_rank, load in loads.items():
            self.loads[affected_rank] = load

    def _change_experts(self, rank: int, add: int | None, drop: int | None) -> None:
        if drop is not None:
            self.held_experts[rank].discard(drop)
            self.ranks_by_expert[drop].discard(rank)
        if add is not None:
            self.held_experts[rank].add(add)
            self.ranks_by_expert[add].add(rank)

    def _update_loads(self, candidate: _CandidateMove) -> dict[int, float]:
        """Recompute the loads of the affected ranks and return their previous loads."""
        affected = set(self.ranks_by_expert[candidate.add[0]]) | {candidate.add[1]}
        if candidate.drop is not None:
            affected |= self.ranks_by_expert[candidate.drop]
        if candidate.swap_rank is not None:
            affected.add(candidate.swap_rank)
        previous_loads = {rank: self.loads[rank] for rank in affected}
        for rank in affected:
            self.loads[rank] = self._rank_load(rank)
        return previous_loads


def max_rank_load(
    experts_by_rank: Sequence[Sequence[int]], demand: Sequence[float], slowness: Sequence[float]
) -> float:
    """Return the load of the most loaded rank of a set.

    Args:
        experts_by_rank: Expert numbers by rank.
        demand: Demand by expert.
        slowness: Processing time of each rank relative to a healthy one.

    Returns:
        The load, in the unit of `demand`.
    """
    replica_counts = [0] * len(demand)
    for experts in experts_by_rank:
        for expert in experts:
            replica_counts[expert] += 1
    return max(
        rank_slowness * sum(demand[expert] / replica_counts[expert] for expert in experts)
        for experts, rank_slowness in zip(experts_by_rank, slowness, strict=True)
    )


def rebalanced(
    experts_by_rank: Sequence[Sequence[int]],
    demand: Sequence[float],
    slowness: Sequence[float],
    shape: routes.ExpertLimits,
) -> tuple[tuple[int, ...], ...]:
    """Return a better balanced layout of one set.

    Args:
        experts_by_rank: Expert numbers by rank in the current layout.
        demand: Demand by expert.
        slowness: Processing time of each rank relative to a healthy one.
        shape: Placement limits of the engines.

    Returns:
        Expert numbers by rank. Each expert is held by at least one rank, and each rank copies at
        most `shape.max_new_experts` experts.
    """
    rebalancer = _SetRebalancer(experts_by_rank, demand, slowness, shape)
    rebalancer.rebalance()
    return tuple(tuple(sorted(experts)) for experts in rebalancer.held_experts)
