"""Cost and latency of claims at the design size, in virtual time.

Shards do not depend on each other, so a few of them are simulated and calls are scaled up.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import time
import typing

from gentianpaddle_core import claim_limits, claim_verdicts, claims, ids, outcomes, store_steps
from gentianpaddle_standins import faults, object_store

REQUESTS_PER_S = 6_800.0
SHARDS = 64
SIMULATED_SHARDS = 8
BATCH_S = 0.2
CALL_S = (0.002, 0.008)
RUN_S = (0.1, 2.0)
BODY = b'{"booking":"4711","crew":"north","pump":"P36","window":"07:30-09:00","state":"confirmed"}'


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFigures:
    """Figures of one run; calls and bytes are for all shards."""

    claims: int
    """Claims that were simulated."""
    won: int
    """Claims that won."""
    writes_per_s: float
    """Writes of the object API."""
    reads_per_s: float
    """Reads of the object API."""
    latency_p50_ms: float
    """Time from a claim to its verdict."""
    latency_p99_ms: float
    """Time from a claim to its verdict."""
    bytes_per_claim: float
    """Bytes written to the ring for a claim and its settlement."""
    folded_bytes_per_claim: float
    """Bytes kept in segments, 0 when nothing was folded yet."""
    bytes_per_s_of_shard: float
    """Bytes that the writer of one shard writes, segments included."""
    processor_us_per_claim: float
    """Processor time of claiming and settling, without the store; noisy."""
    replay_us_per_claim: float
    """Processor time of a new writer's replay; noisy."""


class _CountingStore(object_store.NonBlockingObjectStore):
    def __init__(self) -> None:
        super().__init__()
        self.bytes_by_ring: collections.Counter[str] = collections.Counter()

    def put(self, key: str, value: bytes, expected_version: int) -> typing.Any:
        self.bytes_by_ring[key.split("/")[2]] += len(value)
        return super().put(key, value, expected_version)


class _Shard:
    """One shard with its preferred writer and a timer for its calls."""

    def __init__(self, name: str, api: faults.FaultyObjectApi, source: random.Random) -> None:
        limits = claim_limits.ClaimLimits(batch_s=BATCH_S)
        self.name = name
        self.api = api
        self.source = source
        self.state = claims.new_claim_shard(name, ids.VmId("entry"), ids.Incarnation(1), limits)
        self.result: store_steps.CallResult | None = None
        self.asked_s_by_ticket: dict[int, float] = {}
        self.latencies_s: list[float] = []
        self.won: list[claim_verdicts.Won] = []
        self.processor_s = 0.0

    def claim(self, key: str, now_s: float) -> None:
        started_s = time.process_time()
        request = claims.ClaimRequest(ids.RequestKey(key), ids.VmId("agent"), ids.Incarnation(7))
        waiting = self.state.claim(request, now_s)
        self.processor_s += time.process_time() - started_s
        assert isinstance(waiting, claim_verdicts.Waiting)
        self.asked_s_by_ticket[waiting.ticket] = now_s

    def settle(self, won: claim_verdicts.Won, now_s: float) -> None:
        started_s = time.process_time()
        self.state.settle(won.claim, outcomes.Done(BODY), now_s)
        self.processor_s += time.process_time() - started_s

    def step(self, now_s: float) -> float:
        """Do what is due and return the next time to do so."""
        started_s = time.process_time()
        if self.result is not None:
            self.state.consume(self.result, now_s, now_s)
            self.result = None
        for answer in self.state.take_answers():
            self.latencies_s.append(now_s - self.asked_s_by_ticket.pop(answer.ticket))
            if isinstance(answer.verdict, claim_verdicts.Won):
                self.won.append(answer.verdict)
        call = self.state.next_call(now_s, now_s)
        self.processor_s += time.process_time() - started_s
        if isinstance(call, store_steps.Idle):
            return call.until_s
        self.result = store_steps.perform(call, self.api)
        return now_s + self.source.uniform(*CALL_S)


def run(seed: int, share: float = 0.05, duration_s: float = 30.0) -> ClaimFigures:
    """Simulate claims at a steady rate.

    Args:
        seed: Seed of arrivals and call times.
        share: Share of requests that are not idempotent.
        duration_s: Virtual seconds.

    Returns:
        The figures.
    """
    source = random.Random(seed)
    store = _CountingStore()
    api = faults.FaultyObjectApi(store, source)
    shards = [_Shard(f"{index:04d}", api, source) for index in range(SIMULATED_SHARDS)]
    rate_per_s = REQUESTS_PER_S * share * SIMULATED_SHARDS / SHARDS
    order = itertools.count()
    timers: list[tuple[float, int, int]] = [(0.0, next(order), i) for i in range(len(shards))]
    wake_s_by_shard = [0.0] * len(shards)
    settlements: list[tuple[float, int, int, claim_verdicts.Won]] = []
    arrival_s = 1.0 + source.expovariate(rate_per_s)
    count = 0

    def wake(index: int, at_s: float) -> None:
        wake_s_by_shard[index] = at_s
        if at_s < float("inf"):
            heapq.heappush(timers, (at_s, next(order), index))

    while True:
        due_s = timers[0][0] if timers else float("inf")
        settle_s = settlements[0][0] if settlements else float("inf")
        now_s = min(arrival_s, due_s, settle_s)
        if now_s > duration_s:
            break
        if now_s == due_s:
            _, _, index = heapq.heappop(timers)
            if wake_s_by_shard[index] != now_s:
                continue
        elif now_s == settle_s:
            _, _, index, won = heapq.heappop(settlements)
            shards[index].settle(won, now_s)
        else:
            index = source.randrange(len(shards))
            count += 1
            shards[index].claim(f"organisation-{count % 8_800}/{count:024x}", now_s)
            arrival_s = now_s + source.expovariate(rate_per_s)
        shard = shards[index]
        if shard.result is not None and now_s < wake_s_by_shard[index]:
            continue
        before = len(shard.won)
        wake(index, shard.step(now_s))
        for won in shard.won[before:]:
            heapq.heappush(settlements, (now_s + source.uniform(*RUN_S), next(order), index, won))
    return _figures(shards, store, api, duration_s, count)


def _figures(
    shards: list[_Shard],
    store: _CountingStore,
    api: faults.FaultyObjectApi,
    duration_s: float,
    count: int,
) -> ClaimFigures:
    scale = SHARDS / SIMULATED_SHARDS
    latencies_s = sorted(itertools.chain.from_iterable(shard.latencies_s for shard in shards))
    writes = api.calls_by_kind[faults.CallKind.PUT]
    reads = api.calls_by_kind.total() - writes
    written = store.bytes_by_ring
    won = sum(len(shard.won) for shard in shards)
    return ClaimFigures(
        claims=count,
        won=won,
        writes_per_s=writes * scale / duration_s,
        reads_per_s=reads * scale / duration_s,
        latency_p50_ms=1e3 * latencies_s[len(latencies_s) // 2],
        latency_p99_ms=1e3 * latencies_s[len(latencies_s) * 99 // 100],
        bytes_per_claim=written["r"] / won,
        folded_bytes_per_claim=written["s"] / won,
        bytes_per_s_of_shard=written.total() / len(shards) / duration_s,
        processor_us_per_claim=1e6 * sum(shard.processor_s for shard in shards) / won,
        replay_us_per_claim=_replay_us(shards[0], store) / max(1, len(shards[0].won)),
    )


def _replay_us(shard: _Shard, store: object_store.ObjectStore) -> float:
    late = claims.new_claim_shard(shard.name, ids.VmId("late"), ids.Incarnation(1))
    spent_s = 0.0
    now_s = 0.0
    while not late.is_ready:
        started_s = time.process_time()
        call = late.next_call(now_s, 0.0)
        spent_s += time.process_time() - started_s
        now_s += 0.01
        if isinstance(call, store_steps.Idle):
            continue
        result = store_steps.perform(call, store)
        started_s = time.process_time()
        late.consume(result, now_s, 0.0)
        spent_s += time.process_time() - started_s
    return 1e6 * spent_s


def main() -> None:
    """Print the figures for 5 % and 100 % of non-idempotent requests."""
    for share in (0.05, 1.0):
        print(f"share {share}:")
        for name, value in dataclasses.asdict(run(1, share)).items():
            print(f"  {name} = {value:.1f}")


if __name__ == "__main__":
    main()
