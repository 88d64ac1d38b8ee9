"""Cost and latency of claims at the design size, in virtual time.

Shards are independent, so only `SIMULATED_SHARDS` of them run; their calls are scaled to `SHARDS`.
"""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
import random
import time
import typing

from gentianpaddle_core import claim_limits, claim_verdicts, claims, ids, outcomes, store_calls
from gentianpaddle_standins import faults, object_store

REQUESTS_PER_S = 6_800.0
"""Requests per second at the design size."""
SHARDS = 64
"""Number of shards at the design size."""
SIMULATED_SHARDS = 8
"""Number of shards that run."""
BATCH_S = 0.2
"""Time over which a shard collects the records of one write."""
CALL_TIME_RANGE_S = (0.002, 0.008)
"""Shortest and longest time of an object API call."""
RUN_TIME_RANGE_S = (0.1, 2.0)
"""Shortest and longest time from winning a claim to settling it."""
OUTCOME_BODY = (
    b'{"booking":"4711","crew":"north","pump":"P36","window":"07:30-09:00","state":"confirmed"}'
)


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimFigures:
    """Figures of one run."""

    claims: int
    """Number of simulated claims."""
    won: int
    """Number of simulated claims that won."""
    writes_per_s: float
    """Object API writes of all `SHARDS` shards."""
    reads_per_s: float
    """Object API reads of all `SHARDS` shards."""
    latency_p50_ms: float
    """Median time from a claim to its verdict."""
    latency_p99_ms: float
    """99th percentile of the time from a claim to its verdict."""
    bytes_per_claim: float
    """Bytes written to the ring per won claim, settlement included."""
    folded_bytes_per_claim: float
    """Bytes written to segments per won claim; 0 if nothing was folded yet."""
    bytes_per_s_of_shard: float
    """Bytes per second that the writer of one shard writes, segments included."""
    processor_us_per_claim: float
    """Processor time of claiming and settling, without the object store; noisy."""
    replay_us_per_claim: float
    """Processor time per claim of the replay by a new writer; noisy."""


class _CountingStore(object_store.NonBlockingObjectStore):
    def __init__(self) -> None:
        super().__init__()
        self.bytes_by_ring: collections.Counter[str] = collections.Counter()

    def put(self, key: str, value: bytes, expected_version: int) -> typing.Any:
        self.bytes_by_ring[key.split("/")[2]] += len(value)
        return super().put(key, value, expected_version)


class _Shard:
    """One claim shard with its writer and measurements."""

    def __init__(self, name: str, api: faults.FaultyObjectApi, rng: random.Random) -> None:
        limits = claim_limits.ClaimLimits(batch_delay_s=BATCH_S)
        self.name = name
        self.api = api
        self.rng = rng
        self.claim_shard = claims.new_claim_shard(
            name, ids.VmId("entry"), ids.Incarnation(1), limits
        )
        self.result: store_calls.CallResult | None = None
        self.claimed_s_by_ticket: dict[int, float] = {}
        self.latencies_s: list[float] = []
        self.won: list[claim_verdicts.Won] = []
        self.processor_s = 0.0

    def claim(self, key: str, now_s: float) -> None:
        started_s = time.process_time()
        request = claims.ClaimRequest(ids.RequestKey(key), ids.VmId("agent"), ids.Incarnation(7))
        waiting = self.claim_shard.claim(request, now_s)
        self.processor_s += time.process_time() - started_s
        assert isinstance(waiting, claim_verdicts.Pending)
        self.claimed_s_by_ticket[waiting.ticket] = now_s

    def settle(self, won: claim_verdicts.Won, now_s: float) -> None:
        started_s = time.process_time()
        self.claim_shard.settle(won.claim, outcomes.Done(OUTCOME_BODY), now_s)
        self.processor_s += time.process_time() - started_s

    def step(self, now_s: float) -> float:
        """Consume the last result, start the next call and return the time of the next step."""
        started_s = time.process_time()
        if self.result is not None:
            self.claim_shard.handle_result(self.result, now_s, now_s)
            self.result = None
        for answer in self.claim_shard.take_answers():
            self.latencies_s.append(now_s - self.claimed_s_by_ticket.pop(answer.ticket))
            if isinstance(answer.verdict, claim_verdicts.Won):
                self.won.append(answer.verdict)
        call = self.claim_shard.next_call(now_s, now_s)
        self.processor_s += time.process_time() - started_s
        if isinstance(call, store_calls.Idle):
            return call.until_s
        self.result = store_calls.perform(call, self.api)
        return now_s + self.rng.uniform(*CALL_TIME_RANGE_S)


def run(seed: int, share: float = 0.05, duration_s: float = 30.0) -> ClaimFigures:
    """Simulate claims at a steady rate.

    Args:
        seed: Seed of arrivals and call times.
        share: Share of requests that are not idempotent and so need a claim.
        duration_s: Virtual time to simulate.

    Returns:
        Figures of the run.
    """
    rng = random.Random(seed)
    store = _CountingStore()
    api = faults.FaultyObjectApi(store, rng)
    shards = [_Shard(f"{index:04d}", api, rng) for index in range(SIMULATED_SHARDS)]
    rate_per_s = REQUESTS_PER_S * share * SIMULATED_SHARDS / SHARDS
    sequence = itertools.count()
    step_timers: list[tuple[float, int, int]] = [
        (0.0, next(sequence), i) for i in range(len(shards))
    ]
    next_step_s_by_shard = [0.0] * len(shards)
    settlements: list[tuple[float, int, int, claim_verdicts.Won]] = []
    next_arrival_s = 1.0 + rng.expovariate(rate_per_s)
    claim_count = 0

    def schedule(index: int, step_s: float) -> None:
        next_step_s_by_shard[index] = step_s
        if step_s < float("inf"):
            heapq.heappush(step_timers, (step_s, next(sequence), index))

    while True:
        next_step_s = step_timers[0][0] if step_timers else float("inf")
        next_settlement_s = settlements[0][0] if settlements else float("inf")
        now_s = min(next_arrival_s, next_step_s, next_settlement_s)
        if now_s > duration_s:
            break
        if now_s == next_step_s:
            _, _, index = heapq.heappop(step_timers)
            if next_step_s_by_shard[index] != now_s:
                continue
        elif now_s == next_settlement_s:
            _, _, index, won = heapq.heappop(settlements)
            shards[index].settle(won, now_s)
        else:
            index = rng.randrange(len(shards))
            claim_count += 1
            shards[index].claim(f"organisation-{claim_count % 8_800}/{claim_count:024x}", now_s)
            next_arrival_s = now_s + rng.expovariate(rate_per_s)
        shard = shards[index]
        if shard.result is not None and now_s < next_step_s_by_shard[index]:
            continue
        before = len(shard.won)
        schedule(index, shard.step(now_s))
        for won in shard.won[before:]:
            heapq.heappush(
                settlements, (now_s + rng.uniform(*RUN_TIME_RANGE_S), next(sequence), index, won)
            )
    return _figures(shards, store, api, duration_s, claim_count)


def _figures(
    shards: list[_Shard],
    store: _CountingStore,
    api: faults.FaultyObjectApi,
    duration_s: float,
    claim_count: int,
) -> ClaimFigures:
    shard_scale = SHARDS / SIMULATED_SHARDS
    latencies_s = sorted(itertools.chain.from_iterable(shard.latencies_s for shard in shards))
    writes = api.calls_by_kind[faults.CallKind.PUT]
    reads = api.calls_by_kind.total() - writes
    written = store.bytes_by_ring
    won = sum(len(shard.won) for shard in shards)
    return ClaimFigures(
        claims=claim_count,
        won=won,
        writes_per_s=writes * shard_scale / duration_s,
        reads_per_s=reads * shard_scale / duration_s,
        latency_p50_ms=1e3 * latencies_s[len(latencies_s) // 2],
        latency_p99_ms=1e3 * latencies_s[len(latencies_s) * 99 // 100],
        bytes_per_claim=written["r"] / won,
        folded_bytes_per_claim=written["s"] / won,
        bytes_per_s_of_shard=written.total() / len(shards) / duration_s,
        processor_us_per_claim=1e6 * sum(shard.processor_s for shard in shards) / won,
        replay_us_per_claim=_replay_us(shards[0], store) / max(1, len(shards[0].won)),
    )


def _replay_us(shard: _Shard, store: object_store.ObjectStore) -> float:
    successor = claims.new_claim_shard(shard.name, ids.VmId("late"), ids.Incarnation(1))
    processor_s = 0.0
    now_s = 0.0
    while not successor.is_ready:
        started_s = time.process_time()
        call = successor.next_call(now_s, 0.0)
        processor_s += time.process_time() - started_s
        now_s += 0.01
        if isinstance(call, store_calls.Idle):
            continue
        result = store_calls.perform(call, store)
        started_s = time.process_time()
        successor.handle_result(result, now_s, 0.0)
        processor_s += time.process_time() - started_s
    return 1e6 * processor_s


def main() -> None:
    """Print the figures for 5 % and 100 % non-idempotent requests."""
    for share in (0.05, 1.0):
        print(f"share {share}:")
        for name, value in dataclasses.asdict(run(1, share)).items():
            print(f"  {name} = {value:.1f}")


if __name__ == "__main__":
    main()
