"""Balance of one layer: amounts of load by expert and rank, leveled over the replicas."""

from __future__ import annotations

from collections.abc import Sequence

LEVEL_ROUNDS = 12
"""Rounds over all replicated experts; the longest time changes by less than 1 % after them."""

LEVEL_PRECISION = 1e-3
"""Relative change of the longest time at which leveling ends."""

TIGHT = 0.995
"""Ranks within this share of the longest time count as hottest."""


class Layer:
    """Load of one layer. `amounts[expert][rank]` adds up to `loads[expert]`."""

    __slots__ = ("amounts", "loads", "rank_loads", "rates")

    def __init__(
        self, loads: list[float], amounts: list[dict[int, float]], rates: Sequence[float]
    ) -> None:
        self.loads = loads
        self.amounts = amounts
        self.rates = rates
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

    def add(self, expert: int, rank: int) -> None:
        self.amounts[expert][rank] = 0.0

    def remove(self, expert: int, rank: int) -> None:
        self.rank_loads[rank] -= self.amounts[expert].pop(rank)
        self._fill(expert)

    def spare_at(self, rank: int) -> list[int]:
        return [
            expert
            for expert, by_rank in enumerate(self.amounts)
            if rank in by_rank and len(by_rank) > 1
        ]

    def best_replica(self, room: Sequence[int]) -> tuple[int, int] | None:
        """Return expert and rank of the replica that takes most from the hottest ranks."""
        times = list(map(_time, self.rank_loads, self.rates))
        limit = max(times) * TIGHT
        best: tuple[float, int, int] | None = None
        for expert, by_rank in enumerate(self.amounts):
            hot = sum(amount for rank, amount in by_rank.items() if times[rank] >= limit)
            if hot <= 0.0:
                continue
            for rank in room:
                if rank in by_rank or times[rank] >= limit:
                    continue
                space = (limit - times[rank]) * self.rates[rank]
                score = min(hot, space / 2.0)
                if best is None or score > best[0]:
                    best = (score, expert, rank)
        return None if best is None else best[1:]

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
