"""Where the experts of a group of engines lie, and which change of it pays.

The load pattern this answers: other experts come into demand every few seconds. All ranks wait for
the one whose experts are asked for most, set by set, so the layout is improved where the fullest
rank is, within the few experts that a rank can copy at once.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Iterable, Iterator, Sequence

from gentianpaddle_core.serving import routes

Layout = tuple[tuple[tuple[int, ...], ...], ...]
"""Experts by set and rank."""

NORM_POWER = 8
"""Power of the norm that stands for the fullest rank. The maximum itself does not fall when one of
two equally full ranks is relieved; this norm does."""

UNEVEN = 1.3
"""Load of the fullest rank of a set, relative to the mean, from which the set is changed. Each
copied expert is priced, and below this the engines meet their targets at the usual load."""

EVEN_ENOUGH = 1.12
"""Same at which a change of a set ends; further copies save less time than they cost."""

LEAST_STEP = 0.001
"""Part of that norm's power by which a step must lower it; smaller ones are not worth a copy."""

TARGETS = 4
"""Emptiest ranks that are tried as the new home of an expert."""

DROPS = 2
"""Least needed experts of such a rank that are tried in exchange."""

STEPS_PER_RANK = 2
"""Most changes of a set for each rank; a rank takes `spare` new experts at a time, mostly two."""


@dataclasses.dataclass(slots=True)
class _Trial:
    gain: float
    """How much the sum of the powers of the loads falls."""
    add: tuple[int, int]
    """Expert and rank."""
    drop: int | None
    """Expert that leaves that rank."""
    swap_to: int | None
    """Rank that takes the dropped expert and gives the added one."""


class _SetWork:
    """One set under change. A rank's load is the demand of its experts, shared with other ranks."""

    def __init__(
        self,
        ranks: Sequence[Sequence[int]],
        demand: Sequence[float],
        slowness: Sequence[float],
        shape: routes.ExpertShape,
    ) -> None:
        self.held = [set(experts) for experts in ranks]
        self.before = [frozenset(experts) for experts in ranks]
        self.demand = demand
        self.slowness = slowness
        self.shape = shape
        self.holders: list[set[int]] = [set() for _ in demand]
        for rank, experts in enumerate(ranks):
            for expert in experts:
                self.holders[expert].add(rank)
        self.loads = [self._load(rank) for rank in range(len(ranks))]
        self.mean = sum(demand) / len(ranks)

    def _load(self, rank: int) -> float:
        total = sum(self.demand[e] / len(self.holders[e]) for e in self.held[rank])
        return total * self.slowness[rank]

    def improve(self) -> None:
        if self.mean <= 0.0 or max(self.loads) < UNEVEN * self.mean:
            return
        for _ in range(STEPS_PER_RANK * len(self.held)):
            if max(self.loads) < EVEN_ENOUGH * self.mean:
                return
            trial = max(self._trials(), key=lambda trial: trial.gain, default=None)
            if trial is None or trial.gain <= LEAST_STEP * self._cost(self.loads):
                return
            self._apply(trial)

    def _cost(self, loads: Iterable[float]) -> float:
        return sum((load / self.mean) ** NORM_POWER for load in loads)

    def _trials(self) -> Iterator[_Trial]:
        hottest = max(range(len(self.loads)), key=self.loads.__getitem__)
        by_load = sorted(range(len(self.loads)), key=self.loads.__getitem__)
        for expert in self.held[hottest]:
            targets = [
                rank
                for rank in by_load
                if rank != hottest and expert not in self.held[rank] and self._room(rank, expert)
            ]
            for rank in targets[:TARGETS]:
                if len(self.held[rank]) < self.shape.places:
                    yield self._tried(_Trial(0.0, (expert, rank), None, None))
                droppable = sorted(self.held[rank], key=self._need)
                for other in droppable[:DROPS]:
                    if len(self.holders[other]) > 1:
                        yield self._tried(_Trial(0.0, (expert, rank), other, None))
                    if other not in self.held[hottest] and self._room(hottest, other):
                        yield self._tried(_Trial(0.0, (expert, rank), other, hottest))

    def _need(self, expert: int) -> float:
        return self.demand[expert] / len(self.holders[expert])

    def _room(self, rank: int, expert: int) -> bool:
        """Whether the rank holds the expert already or may copy another one."""
        if expert in self.before[rank]:
            return True
        return len(self.held[rank] - self.before[rank]) < self.shape.spare

    def _tried(self, trial: _Trial) -> _Trial:
        # Only the ranks that a step touches are compared: a set has 72 ranks on large groups.
        before = self._apply(trial)
        trial.gain = self._cost(before.values()) - self._cost(self.loads[rank] for rank in before)
        self._undo(trial, before)
        return trial

    def _apply(self, trial: _Trial) -> dict[int, float]:
        expert, rank = trial.add
        self._move(rank, add=expert, drop=trial.drop)
        if trial.swap_to is not None:
            self._move(trial.swap_to, add=trial.drop, drop=expert)
        return self._refresh(trial)

    def _undo(self, trial: _Trial, loads: dict[int, float]) -> None:
        expert, rank = trial.add
        if trial.swap_to is not None:
            self._move(trial.swap_to, add=expert, drop=trial.drop)
        self._move(rank, add=trial.drop, drop=expert)
        for touched, load in loads.items():
            self.loads[touched] = load

    def _move(self, rank: int, add: int | None, drop: int | None) -> None:
        if drop is not None:
            self.held[rank].discard(drop)
            self.holders[drop].discard(rank)
        if add is not None:
            self.held[rank].add(add)
            self.holders[add].add(rank)

    def _refresh(self, trial: _Trial) -> dict[int, float]:
        touched = set(self.holders[trial.add[0]]) | {trial.add[1]}
        if trial.drop is not None:
            touched |= self.holders[trial.drop]
        if trial.swap_to is not None:
            touched.add(trial.swap_to)
        before = {rank: self.loads[rank] for rank in touched}
        for rank in touched:
            self.loads[rank] = self._load(rank)
        return before


def fullest(
    ranks: Sequence[Sequence[int]], demand: Sequence[float], slowness: Sequence[float]
) -> float:
    """Return the load of the fullest rank of a set.

    Args:
        ranks: Experts by rank.
        demand: Demand by expert.
        slowness: Time of each rank's work relative to a healthy one.

    Returns:
        The load, in units of demand.
    """
    holders = [0] * len(demand)
    for experts in ranks:
        for expert in experts:
            holders[expert] += 1
    return max(
        slow * sum(demand[expert] / holders[expert] for expert in experts)
        for experts, slow in zip(ranks, slowness, strict=True)
    )


def improved(
    ranks: Sequence[Sequence[int]],
    demand: Sequence[float],
    slowness: Sequence[float],
    shape: routes.ExpertShape,
) -> tuple[tuple[int, ...], ...]:
    """Improve the layout of one set.

    Args:
        ranks: Experts by rank, as they are now.
        demand: Demand by expert.
        slowness: Time of each rank's work relative to a healthy one.
        shape: What the engines allow.

    Returns:
        Experts by rank; each expert is held at least once and each rank copies at most
        `shape.spare` experts.
    """
    work = _SetWork(ranks, demand, slowness, shape)
    work.improve()
    return tuple(tuple(sorted(experts)) for experts in work.held)
