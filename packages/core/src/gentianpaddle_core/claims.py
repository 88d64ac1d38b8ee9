"""Claims of non-idempotent calls: at most one winner of a key, kept in a log of the object API.

Every process that claims has a `ClaimShard` for each shard. Any number of them may write at once;
a shard has a preferred writer so that they seldom do. The caller does the calls that `next_call`
returns, feeds their results to `consume` and collects answers from `take_answers`.
"""

from __future__ import annotations

import collections
import dataclasses
from collections.abc import Iterable

from gentianpaddle_core import (
    _claim_log,
    _claim_store,
    _claim_table,
    claim_limits,
    claim_records,
    claim_verdicts,
    ids,
    outcomes,
    store_steps,
)

KEY_LIMIT_BYTES = 512
BATCH_BYTES = 400_000
"""Encoded records in one batch; one batch always fits into a segment."""
RECORDS_LIMIT = _claim_table.POSITION_LIMIT
RELEASE_CODE = "claim_abandoned"


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A wish to run a non-idempotent call."""

    key: ids.RequestKey
    """Key of the request."""
    agent: ids.VmId
    """VM of the only agent that is to run it."""
    agent_incarnation: ids.Incarnation
    """Incarnation of that agent."""
    fingerprint: ids.Fingerprint = claim_records.NO_FINGERPRINT
    """Digest of the request."""


@dataclasses.dataclass(slots=True)
class _Waiter:
    ticket: int
    request: ClaimRequest
    arrived_s: float
    is_question: bool
    wants_claim: bool = False


@dataclasses.dataclass(slots=True)
class _Sent:
    claim: claim_records.Claim
    waiter: _Waiter


class ClaimShard:
    """One process's part in the claim log of one shard; one thread at a time."""

    def __init__(
        self,
        shard: str,
        writer: ids.VmId,
        incarnation: ids.Incarnation,
        limits: claim_limits.ClaimLimits,
    ) -> None:
        self._writer = writer
        self._incarnation = incarnation
        self._limits = limits
        self._store = _claim_store.ShardStore(
            shard, limits.ring_slots, limits.segment_slots, limits.retention_s
        )
        self._waiting: collections.deque[_Waiter] = collections.deque()
        self._settlements: collections.deque[claim_records.Settlement] = collections.deque()
        self._sent_by_position: dict[int, _Sent | claim_records.Settlement] = {}
        self._waiter_by_ticket: dict[int, _Waiter] = {}
        self._answers: list[claim_verdicts.Answer] = []
        self._last_ticket = 0
        self._batches = 0
        self._settled_since_s = float("inf")

    def claim(
        self, request: ClaimRequest, now_s: float
    ) -> claim_verdicts.Waiting | claim_verdicts.Verdict:
        """Ask for the right to run a call.

        Args:
            request: What is to run and where.
            now_s: Monotonic time in seconds.

        Returns:
            The verdict where it is known at once, else a ticket.
        """
        if len(request.key.encode()) > KEY_LIMIT_BYTES:
            return claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.KEY_TOO_LONG)
        known = self._known(request.key)
        if known is not None and (self._is_done(request.key) or self._store.is_down(now_s)):
            return known
        if self._is_free(request.key) and self._store.is_down(now_s):
            return claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.STORE_UNAVAILABLE)
        if len(self._store.log.table) >= self._limits.keys:
            return claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.INDEX_FULL)
        if len(self._waiter_by_ticket) >= self._limits.waiting:
            return claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.QUEUE_FULL)
        # A held key may have been released by another writer since the last read of the log.
        waiter = self._admit(request, now_s, is_question=known is not None)
        waiter.wants_claim = True
        if waiter.is_question:
            self._store.refresh(waiter.ticket)
        else:
            self._waiting.append(waiter)
        return claim_verdicts.Waiting(waiter.ticket)

    def ask(
        self, key: ids.RequestKey, now_s: float
    ) -> claim_verdicts.Waiting | claim_verdicts.Verdict:
        """Ask what is known about a key.

        Args:
            key: Key of a request.
            now_s: Monotonic time in seconds.

        Returns:
            The verdict where it is known at once, else a ticket.
        """
        known = self._known(key) if self._is_done(key) else None
        if known is not None:
            return known
        if len(self._waiter_by_ticket) >= self._limits.waiting:
            return claim_verdicts.Unresolved("too many questions wait")
        nobody = ClaimRequest(key, ids.VmId(""), ids.Incarnation(0))
        waiter = self._admit(nobody, now_s, is_question=True)
        self._store.refresh(waiter.ticket)
        return claim_verdicts.Waiting(waiter.ticket)

    def settle(self, claim: claim_records.Claim, outcome: outcomes.Outcome, now_s: float) -> bool:
        """Record what became of a claim.

        `NotRun` and `Refused` release the key, so they need proof that the attempt did not run
        and will not. `Unknown` may be settled again.

        Args:
            claim: Claim that is settled.
            outcome: What became of it.
            now_s: Monotonic time in seconds.

        Returns:
            False when too many settlements wait; the key then stays held.
        """
        if len(self._settlements) >= self._limits.settlements:
            return False
        if not self._settlements:
            self._settled_since_s = now_s
        self._settlements.append(claim_records.new_settlement(claim, outcome))
        return True

    def next_call(self, now_s: float, unix_s: float) -> store_steps.Call | store_steps.Idle:
        """Return the next call to do.

        Args:
            now_s: Monotonic time in seconds.
            unix_s: Wall-clock time in seconds.

        Returns:
            The call, or until when there is nothing to do unless something new arrives.
        """
        self._expire(now_s)
        call = self._store_call(now_s, unix_s)
        due_s = max(self._due_s(), self._store.wake_s())
        if not call and now_s >= due_s and self._store.is_ready and not self._store.in_flight:
            self._close_batch(now_s, unix_s)
            call = self._store_call(now_s, unix_s)
            due_s = max(self._due_s(), self._store.wake_s())
        if call:
            return call
        busy = self._store.in_flight or not self._store.is_ready
        expiry_s = min(
            (w.arrived_s + self._limits.wait_s for w in self._first_waiters()),
            default=float("inf"),
        )
        return store_steps.Idle(min(expiry_s, self._store.wake_s() if busy else due_s))

    def consume(self, result: store_steps.CallResult, now_s: float, unix_s: float) -> None:
        """Take the result of the last call.

        Args:
            result: Its result; `AnswerLost` where a write may or may not have been done.
            now_s: Monotonic time in seconds.
            unix_s: Wall-clock time in seconds.
        """
        self._handle(self._store.consume(result, now_s, unix_s), now_s)

    def take_answers(self) -> tuple[claim_verdicts.Answer, ...]:
        """Return the answers since the last time."""
        answers = tuple(self._answers)
        self._answers.clear()
        return answers

    @property
    def keys(self) -> int:
        """Keys within the retention, some of them counted twice."""
        return len(self._store.log.table)

    @property
    def is_ready(self) -> bool:
        """Whether the log has been replayed."""
        return self._store.is_ready

    def _is_done(self, key: ids.RequestKey) -> bool:
        state = self._store.log.state(key)
        return state is not None and state.kind is _claim_table.KeyKind.DONE

    def _store_call(self, now_s: float, unix_s: float) -> store_steps.Call | None:
        call = self._store.next_call(now_s, unix_s)
        flight = self._store.in_flight
        if not call and flight and not flight.sequence and self._store.log_is_full(unix_s):
            self._handle(self._store.fail_in_flight(), now_s)
        return call

    def _is_free(self, key: ids.RequestKey) -> bool:
        state = self._store.log.state(key)
        return state is None or state.kind is _claim_table.KeyKind.RELEASED

    def _admit(self, request: ClaimRequest, now_s: float, is_question: bool) -> _Waiter:
        self._last_ticket += 1
        waiter = _Waiter(self._last_ticket, request, now_s, is_question)
        self._waiter_by_ticket[waiter.ticket] = waiter
        return waiter

    def _first_waiters(self) -> Iterable[_Waiter]:
        return [next(iter(self._waiter_by_ticket.values()))] if self._waiter_by_ticket else []

    def _answer(self, ticket: int, verdict: claim_verdicts.Verdict) -> None:
        if self._waiter_by_ticket.pop(ticket, None):
            self._answers.append(claim_verdicts.Answer(ticket, verdict))

    def _known(self, key: ids.RequestKey) -> claim_verdicts.Verdict | None:
        state = self._store.log.state(key)
        if state is None:
            return None
        if state.kind is _claim_table.KeyKind.RELEASED:
            if state.attempt >= _claim_table.ATTEMPT_LIMIT:
                return claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.TOO_MANY_ATTEMPTS)
            return None
        record = self._store.log.pending_record(state)
        if record is None:
            return None
        return _verdict(record, key)

    def _due_s(self) -> float:
        if len(self._waiting) >= self._limits.batch_claims:
            return -float("inf")
        first_s = self._settled_since_s if self._settlements else float("inf")
        if self._waiting:
            first_s = min(first_s, self._waiting[0].arrived_s)
        return first_s + self._limits.batch_s

    def _expire(self, now_s: float) -> None:
        limit_s = now_s - self._limits.wait_s
        late: list[_Waiter] = []
        for waiter in self._waiter_by_ticket.values():
            if waiter.arrived_s > limit_s:
                break
            late.append(waiter)
        if not late:
            return
        unsent = {waiter.ticket for waiter in self._waiting}
        for waiter in late:
            verdict: claim_verdicts.Verdict = claim_verdicts.Unresolved(
                "the claim log gave no answer in time"
            )
            if waiter.ticket in unsent and self._is_free(waiter.request.key):
                verdict = claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.TIMED_OUT)
            self._answer(waiter.ticket, verdict)
        answered = {waiter.ticket for waiter in late}
        self._waiting = collections.deque(w for w in self._waiting if w.ticket not in answered)

    def _close_batch(self, now_s: float, unix_s: float) -> None:
        self._store.log.table.forget(unix_s)
        encoded: list[bytes] = []
        size = 0
        while self._settlements and len(encoded) < RECORDS_LIMIT // 2 and size < BATCH_BYTES // 2:
            settlement = self._settlements.popleft()
            self._sent_by_position[len(encoded)] = settlement
            encoded.append(claim_records.encode_record(settlement))
            size += len(encoded[-1])
        self._settled_since_s = now_s
        again: list[_Waiter] = []
        taken: set[ids.RequestKey] = set()
        claims = 0
        while self._waiting and claims < self._limits.batch_claims and size < BATCH_BYTES:
            waiter = self._waiting.popleft()
            key = waiter.request.key
            if key in taken:
                again.append(waiter)
                continue
            claim = self._claim_to_send(waiter)
            if claim is None:
                continue
            taken.add(key)
            claims += 1
            self._sent_by_position[len(encoded)] = _Sent(claim, waiter)
            encoded.append(claim_records.encode_record(claim))
            size += len(encoded[-1])
        self._waiting.extendleft(reversed(again))
        if encoded:
            self._batches += 1
            batch_id = f"{self._writer}/{self._incarnation}/{self._batches}"
            self._store.begin(batch_id, encoded, int(unix_s))

    def _claim_to_send(self, waiter: _Waiter) -> claim_records.Claim | None:
        request = waiter.request
        state = self._store.log.state(request.key)
        attempt = ids.Attempt(1)
        if state is not None:
            if state.kind is not _claim_table.KeyKind.RELEASED:
                self._answer_from(waiter, state)
                return None
            attempt = ids.Attempt(state.attempt + 1)
        return claim_records.Claim(
            request.key,
            attempt,
            self._writer,
            request.agent,
            request.agent_incarnation,
            request.fingerprint,
        )

    def _answer_from(self, waiter: _Waiter, state: _claim_table.KeyState) -> None:
        record = self._store.log.pending_record(state)
        if record is None:
            self._store.look_up(waiter.ticket, waiter.request.key, state)
        else:
            self._answer(waiter.ticket, _verdict(record, waiter.request.key))

    def _handle(self, events: tuple[_claim_store.Event, ...], now_s: float) -> None:
        for event in events:
            match event:
                case _claim_store.Landed(merged):
                    self._take_landed(merged, now_s)
                case _claim_store.Beaten():
                    self._take_back(drop_claims=None)
                case _claim_store.NotWritten(log_full):
                    reason = (
                        claim_verdicts.RefusalReason.LOG_FULL
                        if log_full
                        else claim_verdicts.RefusalReason.STORE_UNAVAILABLE
                    )
                    self._take_back(drop_claims=reason)
                case _claim_store.LookedUp(ticket, record):
                    self._take_looked_up(ticket, record)
                case _claim_store.Refreshed(ticket):
                    self._answer_questions(ticket)

    def _take_looked_up(self, ticket: int, record: claim_records.Record | None) -> None:
        waiter = self._waiter_by_ticket.get(ticket)
        if waiter is None:
            return
        if record is None:
            self._answer(ticket, claim_verdicts.Unresolved("the log could not be read"))
        else:
            self._answer(ticket, _verdict(record, waiter.request.key))

    def _take_landed(self, merged: _claim_log.Merged, now_s: float) -> None:
        sent_by_position, self._sent_by_position = self._sent_by_position, {}
        again: list[_Waiter] = []
        for position, sent in sent_by_position.items():
            if isinstance(sent, claim_records.Settlement):
                continue
            is_awaited = sent.waiter.ticket in self._waiter_by_ticket
            if merged.effective[position]:
                if is_awaited:
                    self._answer(sent.waiter.ticket, claim_verdicts.Won(sent.claim))
                else:
                    # Nobody was told about this claim, so its attempt never runs.
                    abandoned = outcomes.NotRun(RELEASE_CODE, "the claim came too late")
                    self.settle(sent.claim, abandoned, now_s)
            elif is_awaited:
                again.append(sent.waiter)
        self._waiting.extendleft(reversed(again))

    def _take_back(self, drop_claims: claim_verdicts.RefusalReason | None) -> None:
        sent_by_position, self._sent_by_position = self._sent_by_position, {}
        settlements: list[claim_records.Settlement] = []
        waiters: list[_Waiter] = []
        for sent in sent_by_position.values():
            if isinstance(sent, claim_records.Settlement):
                settlements.append(sent)
            elif sent.waiter.ticket in self._waiter_by_ticket:
                waiters.append(sent.waiter)
        self._settlements.extendleft(reversed(settlements))
        self._waiting.extendleft(reversed(waiters))
        if drop_claims is None:
            return
        for waiter in self._waiting:
            if self._is_free(waiter.request.key):
                self._answer(waiter.ticket, claim_verdicts.RefusedNotRun(drop_claims))
            else:
                self._answer(waiter.ticket, claim_verdicts.Unresolved(drop_claims.value))
        self._waiting.clear()

    def _answer_questions(self, last_ticket: int) -> None:
        questions = [w for w in self._waiter_by_ticket.values() if w.is_question]
        for waiter in questions:
            if waiter.ticket > last_ticket:
                break
            state = self._store.log.state(waiter.request.key)
            if waiter.wants_claim and self._is_free(waiter.request.key):
                waiter.is_question = False
                self._waiting.append(waiter)
            elif state is None:
                self._answer(waiter.ticket, claim_verdicts.NotClaimed())
            else:
                self._answer_from(waiter, state)


def new_claim_shard(
    shard: str,
    writer: ids.VmId,
    incarnation: ids.Incarnation,
    limits: claim_limits.ClaimLimits | None = None,
) -> ClaimShard:
    """Start a process's part in a shard; the log is replayed before the first claim.

    Args:
        shard: Name from `claim_shards.shard_of`.
        writer: VM of this process.
        incarnation: Incarnation of this process; never used before by this VM.
        limits: Bounds; ring sizes must be the same in all processes and never change.

    Returns:
        The shard.
    """
    return ClaimShard(shard, writer, incarnation, limits or claim_limits.ClaimLimits())


def _verdict(record: claim_records.Record, key: ids.RequestKey) -> claim_verdicts.Verdict:
    claim = record if isinstance(record, claim_records.Claim) else record.claim
    if claim.key != key:
        # Two keys with one 64-bit digest: refusing is safe.
        return claim_verdicts.Unresolved("the digests of two keys collide")
    if isinstance(record, claim_records.Claim):
        return claim_verdicts.AlreadyClaimed(record)
    return claim_verdicts.KnownOutcome(record.claim, record.outcome, record.body_omitted)
