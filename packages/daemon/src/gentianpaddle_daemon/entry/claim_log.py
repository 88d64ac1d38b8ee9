"""Claim log of this entry: runs the claim shards against the object API."""

from __future__ import annotations

import asyncio
import time
from concurrent import futures

from gentianpaddle_core import (
    claim_limits,
    claim_records,
    claim_shards,
    claim_verdicts,
    claims,
    ids,
    object_api,
    outcomes,
    store_calls,
)
from gentianpaddle_daemon.entry import claiming

SHARD_COUNT = 2
"""Number of shards. With 8 entries and a batch every 50 ms, 2 shards make at most 320 writes/s."""
BATCH_PERIOD_S = 0.05
"""Time over which a shard collects records for one write."""
MAX_IDLE_S = 1.0
"""Maximum wait of an idle shard, also if `next_call` allows a longer one or an unlimited one."""
VERDICT_TIMEOUT_S = 5.0
"""Time-out of a verdict. It takes effect only if a call of the object API blocks the worker;
otherwise the shard itself gives a verdict within `ClaimLimits.max_wait_s`."""


class _ShardWorker:
    """Performs the calls of one claim shard and passes its verdicts to the waiting callers."""

    def __init__(
        self, shard: claims.ClaimShard, store: object_api.ObjectApi, threads: futures.Executor
    ) -> None:
        self.shard = shard
        self.wake_event = asyncio.Event()
        self._store = store
        self._threads = threads
        self._future_by_ticket: dict[int, asyncio.Future[claim_verdicts.Verdict]] = {}

    async def await_verdict(
        self, ticket_or_verdict: claim_verdicts.Pending | claim_verdicts.Verdict
    ) -> claim_verdicts.Verdict:
        if not isinstance(ticket_or_verdict, claim_verdicts.Pending):
            return ticket_or_verdict
        future = asyncio.get_running_loop().create_future()
        self._future_by_ticket[ticket_or_verdict.ticket] = future
        self.wake_event.set()
        try:
            return await asyncio.wait_for(future, VERDICT_TIMEOUT_S)
        except TimeoutError:
            return claim_verdicts.Unresolved("the claim log gave no answer in time")
        finally:
            self._future_by_ticket.pop(ticket_or_verdict.ticket, None)

    async def run(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            call = self.shard.next_call(time.monotonic(), time.time())
            self._publish_verdicts()
            if isinstance(call, store_calls.Idle):
                await self._wait_idle(call.until_s)
                continue
            result = await loop.run_in_executor(
                self._threads, store_calls.perform, call, self._store
            )
            self.shard.handle_result(result, time.monotonic(), time.time())
            self._publish_verdicts()

    async def _wait_idle(self, until_s: float) -> None:
        wait_s = min(MAX_IDLE_S, max(0.0, until_s - time.monotonic()))
        try:
            await asyncio.wait_for(self.wake_event.wait(), wait_s)
        except TimeoutError:
            return
        self.wake_event.clear()

    def _publish_verdicts(self) -> None:
        for answer in self.shard.take_answers():
            future = self._future_by_ticket.get(answer.ticket)
            if future is not None and not future.done():
                future.set_result(answer.verdict)


class ClaimLog:
    """Distributes keys over the claim shards; implements `claiming.Claims`."""

    def __init__(
        self,
        writer: ids.VmId,
        incarnation: ids.Incarnation,
        store: object_api.ObjectApi,
        threads: futures.Executor,
    ) -> None:
        limits = claim_limits.ClaimLimits(batch_delay_s=BATCH_PERIOD_S)
        self._worker_by_shard = {
            name: _ShardWorker(
                claims.new_claim_shard(name, writer, incarnation, limits), store, threads
            )
            for name in map(_shard_name, range(SHARD_COUNT))
        }

    async def run(self) -> None:
        """Replay and serve all shards until cancelled."""
        await asyncio.gather(*(worker.run() for worker in self._worker_by_shard.values()))

    async def claim(self, claim_request: claims.ClaimRequest) -> claiming.ClaimResult:
        """Claim a key; see `claiming.Claims`."""
        worker = self._worker_for(claim_request.key)
        verdict = await worker.await_verdict(worker.shard.claim(claim_request, time.monotonic()))
        found = _look_up_result(verdict)
        if isinstance(verdict, claim_verdicts.Won):
            return claiming.Won(verdict.claim)
        if isinstance(found, claiming.Unclaimed):
            # The answer to the claim is an outcome that the log holds for the key. This outcome
            # leaves the key free, but the claim has not won it, so the call must not run.
            return claiming.ClaimFailed("claim_lost")
        return found

    async def look_up(self, key: ids.RequestKey) -> claiming.LookUpResult:
        """Return the state of a key; see `claiming.Claims`."""
        worker = self._worker_for(key)
        return _look_up_result(
            await worker.await_verdict(worker.shard.look_up(key, time.monotonic()))
        )

    def queue_outcome(self, claim: claim_records.Claim, outcome: outcomes.Outcome) -> bool:
        """Queue the outcome of a claim to be recorded; see `claiming.Claims`."""
        worker = self._worker_for(claim.key)
        accepted = worker.shard.settle(claim, outcome, time.monotonic())
        worker.wake_event.set()
        return accepted

    def _worker_for(self, key: ids.RequestKey) -> _ShardWorker:
        return self._worker_by_shard[claim_shards.shard_of(key, SHARD_COUNT)]


def _shard_name(number: int) -> str:
    return f"{number:04d}"


def _look_up_result(verdict: claim_verdicts.Verdict) -> claiming.LookUpResult:
    match verdict:
        case claim_verdicts.AlreadyClaimed(claim):
            return claiming.Held(claim)
        case claim_verdicts.KnownOutcome(claim, outcome, body_omitted):
            return _finished(claim, outcome, body_omitted)
        case claim_verdicts.RefusedNotRun(reason):
            return claiming.ClaimFailed(reason.value)
        case claim_verdicts.Unresolved():
            return claiming.ClaimFailed("claim_unresolved")
    return claiming.Unclaimed()


def _finished(
    claim: claim_records.Claim, outcome: outcomes.Outcome, body_omitted: bool
) -> claiming.LookUpResult:
    if isinstance(outcome, outcomes.NotRun | outcomes.Refused):
        return claiming.Unclaimed()
    if body_omitted:
        message = "the call ran once; its answer was too large to keep"
        return claiming.Finished(claim, outcomes.Unknown("answer_not_kept", message))
    return claiming.Finished(claim, outcome)


def new_claim_log(
    writer: ids.VmId,
    incarnation: ids.Incarnation,
    store: object_api.ObjectApi,
    threads: futures.Executor,
) -> ClaimLog:
    """Create the claim log of this entry.

    Args:
        writer: VM of this entry, as the writer of the records.
        incarnation: Incarnation of this process.
        store: Object API.
        threads: Executor for calls of the object API.

    Returns:
        The claim log, which serves claims once `run` has replayed it.
    """
    return ClaimLog(writer, incarnation, store, threads)
