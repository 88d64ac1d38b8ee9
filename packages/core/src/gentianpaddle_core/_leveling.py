"""Balance of one layer: amounts of load by expert and rank, leveled over the replicas."""

from __future__ import annotations

import heapq
from collections.abc import Collection, Sequence

LEVEL_ROUNDS = 12
"""Rounds over all replicated experts; the longest time changes by less than 1 % after them."""

LEVEL_PRECISION = 1e-3
"""Relative change of the longest time at which leveling ends."""

TIGHT = 0.995
"""Ranks within this share of the longest time count as hottest."""

COST_POWER = 16
"""Power of the norm that stands for the longest time. The maximum itself does not fall when one of
two equally hot ranks is relieved; this norm does."""

TRIALS = 6
"""Replicas that are tried in full of those that look best."""


LEAST_RATE = 0.01
"""Rate that a stalled rank counts with, so that it keeps an order among ranks."""


class Layer:
    """Load of one layer. `amounts[expert][rank]` adds up to `loads[expert]`."""

    __slots__ = ("amounts", "loads", "rank_loads", "rates")

    def __init__(
        self, loads: list[float], amounts: list[dict[int, float]], rates: Sequence[float]
    ) -> None:
        self.loads = loads
        self.amounts = amounts
        self.rates = usable(rates)
        self.rank_loads = [0.0] * len(rates)
        for by_rank in amounts:
            for rank, amount in by_rank.items():
                self.rank_loads[rank] += amount

    def copy(self) -> Layer:
        return Layer(self.loads, [dict(by_rank) for by_rank in self.amounts], self.rates)

    def longest(self) -> float:
        return max(map(_time, self.rank_loads, self.rates))

    def skew(self) -> float:
        times = list(map(_time, self.rank_loads, self.rates))
        return max(times) * len(times) / (sum(times) or 1.0)

    def level(self) -> None:
        replicated = [expert for expert, by_rank in enumerate(self.amounts) if len(by_rank) > 1]
        longest = self.longest()
        for _ in range(LEVEL_ROUNDS):
            for expert in replicated:
                self._fill(expert)
            previous, longest = longest, self.longest()
            if previous - longest <= LEVEL_PRECISION * longest:
                break

    def without(self, expert: int, rank: int) -> Layer:
        """Return the leveled layer without one of several replicas of an expert."""
        trial = self.copy()
        trial.rank_loads[rank] -= trial.amounts[expert].pop(rank)
        trial._fill(expert)
        trial.level()
        return trial

    def spare_at(self, rank: int) -> list[int]:
        return [
            expert
            for expert, by_rank in enumerate(self.amounts)
            if rank in by_rank and len(by_rank) > 1
        ]

    def cost(self) -> float:
        """Return a smooth stand-in for the longest time."""
        longest = self.longest()
        if longest <= 0.0:
            return 0.0
        times = map(_time, self.rank_loads, self.rates)
        total = sum((time / longest) ** COST_POWER for time in times)
        return float(longest * (total / len(self.rates)) ** (1.0 / COST_POWER))

    def trials(self, room: Collection[int]) -> list[tuple[Layer, int, int]]:
        """Return the layer with one more replica, its expert and rank, for promising replicas."""
        found = []
        for expert, rank in self._promising(room):
            trial = self.copy()
            trial.amounts[expert][rank] = 0.0
            trial.level()
            found.append((trial, expert, rank))
        return found

    def _promising(self, room: Collection[int]) -> list[tuple[int, int]]:
        """Return pairs of a hot expert and a rank, best first by the level they would reach.

        Ranks that share replicated experts level out, so a new replica joins two sets of ranks.
        """
        times = list(map(_time, self.rank_loads, self.rates))
        limit = max(times) * TIGHT
        set_of = self._connected()
        load_of = [0.0] * len(times)
        rate_of = [0.0] * len(times)
        for rank, index in enumerate(set_of):
            load_of[index] += self.rank_loads[rank]
            rate_of[index] += self.rates[rank]
        scored = []
        for expert, by_rank in enumerate(self.amounts):
            hot = [rank for rank, amount in by_rank.items() if amount and times[rank] >= limit]
            if not hot:
                continue
            movable = sum(by_rank[rank] for rank in hot)
            source = set_of[hot[0]]
            for rank in room:
                if rank in by_rank or times[rank] >= limit:
                    continue
                target = set_of[rank]
                if target == source:
                    level = limit
                else:
                    level = (load_of[source] + load_of[target]) / (
                        rate_of[source] + rate_of[target]
                    )
                level = max(level, (load_of[source] - movable) / rate_of[source])
                scored.append((level, -movable, times[rank], expert, rank))
        return [pair[3:] for pair in heapq.nsmallest(TRIALS, scored)]

    def _connected(self) -> list[int]:
        """Return for each rank the least rank that it shares load with, if only through others."""
        set_of = list(range(len(self.rates)))

        def root(rank: int) -> int:
            while set_of[rank] != rank:
                rank = set_of[rank]
            return rank

        for by_rank in self.amounts:
            first, *others = map(root, by_rank)
            for other in others:
                low, high = sorted((root(first), root(other)))
                set_of[high] = low
                first = low
        return [root(rank) for rank in range(len(set_of))]

    def _fill(self, expert: int) -> None:
        """Distribute an expert so that the ranks that take part of it have equal times."""
        by_rank = self.amounts[expert]
        loads, rates = self.rank_loads, self.rates
        for rank, amount in by_rank.items():
            loads[rank] -= amount
            by_rank[rank] = 0.0
        ranks = sorted(by_rank, key=lambda rank: loads[rank] / rates[rank])
        load_sum, rate_sum = self.loads[expert], 0.0
        used = 0
        for rank in ranks:
            if used and load_sum / rate_sum <= loads[rank] / rates[rank]:
                break
            load_sum += loads[rank]
            rate_sum += rates[rank]
            used += 1
        time = load_sum / rate_sum
        for rank in ranks[:used]:
            amount = max(0.0, time * rates[rank] - loads[rank])
            by_rank[rank] = amount
            loads[rank] += amount


def packed(loads: Sequence[float], rates: Sequence[float], slots: Sequence[int]) -> Layer:
    """Give the hottest experts replicas and put the replicas on the ranks with most room."""
    rates = usable(rates)
    copies = [1] * len(loads)
    for _ in range(sum(slots) - len(loads)):
        candidates = [e for e in range(len(loads)) if copies[e] < len(rates)]
        if not candidates:
            break
        copies[max(candidates, key=lambda expert: loads[expert] / copies[expert])] += 1
    amounts: list[dict[int, float]] = [{} for _ in loads]
    times = [0.0] * len(rates)
    room = list(slots)
    order = sorted(range(len(loads)), key=lambda expert: -loads[expert] / copies[expert])
    for first in (True, False):
        for expert in order:
            part = loads[expert] / copies[expert]
            for _ in range(1 if first else copies[expert] - 1):
                free = [r for r in range(len(rates)) if room[r] > 0 and r not in amounts[expert]]
                if not free:
                    break
                rank = min(free, key=lambda r: (times[r] + part / rates[r], r))
                amounts[expert][rank] = part
                times[rank] += part / rates[rank]
                room[rank] -= 1
    for expert, by_rank in enumerate(amounts):
        if not by_rank:
            raise ValueError("the memory of the group does not hold every expert")
        for rank in by_rank:
            by_rank[rank] = loads[expert] / len(by_rank)
    return Layer(list(loads), amounts, rates)


def usable(rates: Sequence[float]) -> tuple[float, ...]:
    """Return rates that can be divided by."""
    return tuple(max(LEAST_RATE, rate) for rate in rates)


def units(amounts: dict[int, float], load: float, total: int) -> dict[int, int]:
    """Round amounts to whole units that add up to the total, by largest remainder."""
    if load <= 0.0:
        first = min(amounts)
        return {rank: total if rank == first else 0 for rank in amounts}
    exact = {rank: amount / load * total for rank, amount in amounts.items()}
    rounded = {rank: int(value) for rank, value in exact.items()}
    missing = total - sum(rounded.values())
    by_remainder = sorted(exact, key=lambda rank: (rounded[rank] - exact[rank], rank))
    for position in range(missing):
        rounded[by_remainder[position % len(by_remainder)]] += 1
    return rounded


def _time(load: float, rate: float) -> float:
    return load / rate
