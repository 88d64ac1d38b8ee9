"""Placement of the experts of an engine group, and the changes to it that are worth their cost.

A set is a group of layers that share one placement of experts; each set has its own experts. The
demand for experts shifts every few seconds. In each set all ranks wait for the most loaded one, so
each change relieves the most loaded rank, within the few experts that a rank can copy at once.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Sequence

from gentianpaddle_core.serving import routes

Layout = tuple[tuple[tuple[int, ...], ...], ...]
"""Expert numbers by set and rank."""

NORM_POWER = 8
"""Exponent of the sum of powers of the rank loads that a move is to reduce. The maximum load does
not fall when one of two equally loaded ranks is relieved, but this sum does; with a high exponent,
the most loaded ranks dominate it."""

REBALANCE_START_RATIO = 1.3
"""Ratio of the maximum rank load to the mean demand per rank from which a set is rebalanced. Each
copied expert has a cost, and below this ratio the engines meet their targets at the usual load."""

REBALANCE_STOP_RATIO = 1.12
"""Ratio of the maximum rank load to the mean demand per rank below which rebalancing a set stops;
further copies save less time than they cost."""

MIN_RELATIVE_GAIN = 0.001
"""Minimum gain of a move, relative to the sum of the powers of the relative loads; a smaller gain
is not worth a copy."""

MAX_TARGET_RANKS = 4
"""Maximum number of ranks, least loaded first, that are tried as the target of each expert. Bounds
the computation: the gain of each candidate move is found by applying and reverting it."""

MAX_DROP_CANDIDATES = 2
"""Maximum number of experts, least demand per replica first, that are tried for removal from a
target rank. Bounds the computation like `MAX_TARGET_RANKS`."""

MAX_MOVES_PER_RANK = 2
"""Maximum number of moves in a set, divided by the number of ranks. Only the total is limited; a
single rank may take part in more moves. The number of experts of a set that a rank copies is
limited by `max_new_experts`, usually two."""


@dataclasses.dataclass(slots=True)
class _CandidateMove:
    gain: float
    """Reduction of the sum of the powers of the relative loads."""
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
        limits: routes.ExpertLimits,
    ) -> None:
        self.held_experts = [set(experts) for experts in experts_by_rank]
        self.initial_experts = [frozenset(experts) for experts in experts_by_rank]
        self.demand = demand
        self.slowness = slowness
        self.limits = limits
        self.ranks_by_expert: list[set[int]] = [set() for _ in demand]
        for rank, experts in enumerate(experts_by_rank):
            for expert in experts:
                self.ranks_by_expert[expert].add(rank)
        self.loads = [self._rank_load(rank) for rank in range(len(experts_by_rank))]
        self.mean_demand = sum(demand) / len(experts_by_rank)
        """Mean demand per rank, not weighted by slowness."""

    def _rank_load(self, rank: int) -> float:
        total = sum(
            self.demand[expert] / len(self.ranks_by_expert[expert])
            for expert in self.held_experts[rank]
        )
        return total * self.slowness[rank]

    def rebalance(self) -> None:
        if self.mean_demand <= 0.0 or max(self.loads) < REBALANCE_START_RATIO * self.mean_demand:
            return
        for _ in range(MAX_MOVES_PER_RANK * len(self.held_experts)):
            if max(self.loads) < REBALANCE_STOP_RATIO * self.mean_demand:
                return
            best = max(self._candidate_moves(), key=lambda candidate: candidate.gain, default=None)
            if best is None or best.gain <= MIN_RELATIVE_GAIN * self._sum_of_powers(self.loads):
                return
            self._apply(best)

    def _sum_of_powers(self, loads: Iterable[float]) -> float:
        """Return the sum of the powers of the loads, each relative to the mean demand."""
        return sum((load / self.mean_demand) ** NORM_POWER for load in loads)

    def _candidate_moves(self) -> Iterator[_CandidateMove]:
        """Yield moves that copy an expert of the most loaded rank to another rank, with their gain.

        The other rank has room for the expert, drops one that is also held elsewhere, or swaps one
        with the most loaded rank.
        """
        most_loaded_rank = max(range(len(self.loads)), key=self.loads.__getitem__)
        ranks_by_ascending_load = sorted(range(len(self.loads)), key=self.loads.__getitem__)
        for expert in self.held_experts[most_loaded_rank]:
            target_ranks = [
                rank
                for rank in ranks_by_ascending_load
                if rank != most_loaded_rank
                and expert not in self.held_experts[rank]
                and self._can_hold(rank, expert)
            ]
            for rank in target_ranks[:MAX_TARGET_RANKS]:
                if len(self.held_experts[rank]) < self.limits.max_experts_per_rank:
                    yield self._with_gain(_CandidateMove(0.0, (expert, rank), None, None))
                drop_candidates = sorted(self.held_experts[rank], key=self._demand_per_replica)
                for dropped in drop_candidates[:MAX_DROP_CANDIDATES]:
                    if len(self.ranks_by_expert[dropped]) > 1:
                        yield self._with_gain(_CandidateMove(0.0, (expert, rank), dropped, None))
                    if dropped not in self.held_experts[most_loaded_rank] and self._can_hold(
                        most_loaded_rank, dropped
                    ):
                        yield self._with_gain(
                            _CandidateMove(0.0, (expert, rank), dropped, most_loaded_rank)
                        )

    def _demand_per_replica(self, expert: int) -> float:
        return self.demand[expert] / len(self.ranks_by_expert[expert])

    def _can_hold(self, rank: int, expert: int) -> bool:
        """Return whether the rank held the expert before, or may copy one more."""
        if expert in self.initial_experts[rank]:
            return True
        return (
            len(self.held_experts[rank] - self.initial_experts[rank]) < self.limits.max_new_experts
        )

    def _with_gain(self, candidate: _CandidateMove) -> _CandidateMove:
        """Set the gain of a move, found by applying and reverting it, and return the move."""
        # Compares only the ranks affected by the move: a set has 72 ranks in large groups.
        previous_loads = self._apply(candidate)
        candidate.gain = self._sum_of_powers(previous_loads.values()) - self._sum_of_powers(
            self.loads[rank] for rank in previous_loads
        )
        self._revert(candidate, previous_loads)
        return candidate

    def _apply(self, candidate: _CandidateMove) -> dict[int, float]:
        """Apply a move and return the previous loads of the affected ranks."""
        expert, rank = candidate.add
        self._change_experts(rank, add=expert, drop=candidate.drop)
        if candidate.swap_rank is not None:
            self._change_experts(candidate.swap_rank, add=candidate.drop, drop=expert)
        return self._update_loads(candidate)

    def _revert(self, candidate: _CandidateMove, previous_loads: dict[int, float]) -> None:
        """Undo `_apply` and restore the loads that it returned."""
        expert, rank = candidate.add
        if candidate.swap_rank is not None:
            self._change_experts(candidate.swap_rank, add=expert, drop=candidate.drop)
        self._change_experts(rank, add=candidate.drop, drop=expert)
        for affected_rank, load in previous_loads.items():
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
        The demand on that rank, multiplied by its slowness.
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
    limits: routes.ExpertLimits,
) -> tuple[tuple[int, ...], ...]:
    """Return a better balanced layout of one set.

    Args:
        experts_by_rank: Expert numbers by rank in the current layout.
        demand: Demand by expert.
        slowness: Processing time of each rank relative to a healthy one.
        limits: Placement limits of the engines.

    Returns:
        Expert numbers by rank. Each expert is held by at least one rank, and each rank copies at
        most `limits.max_new_experts` experts.
    """
    rebalancer = _SetRebalancer(experts_by_rank, demand, slowness, limits)
    rebalancer.rebalance()
    return tuple(tuple(sorted(experts)) for experts in rebalancer.held_experts)
