"""Claims of non-idempotent calls: at most one claim holds a key.

Claims are kept in a log that is stored through the object API and split into shards. Every process
that claims has a `ClaimShard` for each shard. Any number of processes may write to a shard at the
same time without harm; each shard has a preferred writer, which makes concurrent writes rare.

This module does no I/O: the caller performs the calls that `next_call` returns, passes their
results to `handle_result` and collects the answers from `take_answers`.
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
    store_calls,
)

KEY_LIMIT_BYTES = 512
BATCH_LIMIT_BYTES = 400_000
"""Size of the encoded records at which a batch is closed; a batch always fits into a segment."""
BATCH_LIMIT_RECORDS = _claim_table.POSITION_LIMIT
"""Highest number of records in a batch; settlements take at most half of it."""
ABANDONED_CODE = "claim_abandoned"
"""Code of the outcome that releases a claim that was won after its request had timed out."""


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request for the right to run a non-idempotent call."""

    key: ids.RequestKey
    """Key of the request."""
    agent: ids.VmId
    """VM of the only agent that may run the call."""
    agent_incarnation: ids.Incarnation
    """Incarnation of that agent."""
    fingerprint: ids.Fingerprint = claim_records.NO_FINGERPRINT
    """Digest of the request."""


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A claim or look-up that has not been answered."""

    ticket: int
    request: ClaimRequest
    arrived_s: float
    awaits_refresh: bool
    """Whether the log must be read before the answer: a look-up, or a claim of a held key."""
    is_claim: bool = False


@dataclasses.dataclass(slots=True)
class _SentClaim:
    claim: claim_records.Claim
    pending: _PendingRequest


class ClaimShard:
    """Access of one process to the claim log of one shard.

    Not thread-safe: only one thread may use it at a time.
    """

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
        self._unsent_claims: collections.deque[_PendingRequest] = collections.deque()
        self._unsent_settlements: collections.deque[claim_records.Settlement] = collections.deque()
        self._sent_by_position: dict[int, _SentClaim | claim_records.Settlement] = {}
        self._pending_by_ticket: dict[int, _PendingRequest] = {}
        self._answers: list[claim_verdicts.Answer] = []
        self._last_ticket = 0
        self._batch_count = 0
        self._settlements_since_s = float("inf")

    def claim(
        self, request: ClaimRequest, now_s: float
    ) -> claim_verdicts.Pending | claim_verdicts.Verdict:
        """Claim the right to run a call.

        Args:
            request: Key of the call and the agent that is to run it.
            now_s: Monotonic time in seconds.

        Returns:
            The verdict if it is known at once, otherwise a ticket for an answer that
            `take_answers` returns later.
        """
        if len(request.key.encode()) > KEY_LIMIT_BYTES:
            return claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.KEY_TOO_LONG)
        known = self._known_verdict(request.key)
        if known is not None and (self._is_done(request.key) or self._store.is_down(now_s)):
            return known
        if self._is_free(request.key) and self._store.is_down(now_s):
            return claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.STORE_UNAVAILABLE)
        if len(self._store.log.table) >= self._limits.max_keys:
            return claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.INDEX_FULL)
        if len(self._pending_by_ticket) >= self._limits.max_pending:
            return claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.QUEUE_FULL)
        # Another writer may have released a held key since the log was last read.
        pending = self._add_pending(request, now_s, awaits_refresh=known is not None)
        pending.is_claim = True
        if pending.awaits_refresh:
            self._store.refresh(pending.ticket)
        else:
            self._unsent_claims.append(pending)
        return claim_verdicts.Pending(pending.ticket)

    def look_up(
        self, key: ids.RequestKey, now_s: float
    ) -> claim_verdicts.Pending | claim_verdicts.Verdict:
        """Look up what is known about a key, without claiming it.

        Args:
            key: Key of a request.
            now_s: Monotonic time in seconds.

        Returns:
            The verdict if it is known at once, otherwise a ticket for an answer that
            `take_answers` returns later.
        """
        known = self._known_verdict(key) if self._is_done(key) else None
        if known is not None:
            return known
        if len(self._pending_by_ticket) >= self._limits.max_pending:
            return claim_verdicts.Unresolved("too many claims and look-ups are pending")
        look_up_request = ClaimRequest(key, ids.VmId(""), ids.Incarnation(0))
        pending = self._add_pending(look_up_request, now_s, awaits_refresh=True)
        self._store.refresh(pending.ticket)
        return claim_verdicts.Pending(pending.ticket)

    def settle(self, claim: claim_records.Claim, outcome: outcomes.Outcome, now_s: float) -> bool:
        """Record the outcome of a claim.

        `NotRun` and `Refused` release the key, so they need proof that the attempt did not run
        and will not run. A claim settled as `Unknown` may be settled again.

        Args:
            claim: Claim to settle.
            outcome: Outcome of the call.
            now_s: Monotonic time in seconds.

        Returns:
            Whether the settlement was queued. False when too many settlements are waiting; the
            key then stays held.
        """
        if len(self._unsent_settlements) >= self._limits.max_unsent_settlements:
            return False
        if not self._unsent_settlements:
            self._settlements_since_s = now_s
        self._unsent_settlements.append(claim_records.new_settlement(claim, outcome))
        return True

    def next_call(self, now_s: float, unix_s: float) -> store_calls.Call | store_calls.Idle:
        """Return the next call of the object API to perform.

        Args:
            now_s: Monotonic time in seconds.
            unix_s: Wall-clock time in seconds.

        Returns:
            The call, or `Idle` with the time until which there is nothing to do unless a new
            claim, look-up or settlement arrives.
        """
        self._expire_pending(now_s)
        call = self._next_store_call(now_s, unix_s)
        due_s = max(self._batch_due_s(), self._store.wake_s())
        if not call and now_s >= due_s and self._store.is_ready and not self._store.in_flight:
            self._close_batch(now_s, unix_s)
            call = self._next_store_call(now_s, unix_s)
            due_s = max(self._batch_due_s(), self._store.wake_s())
        if call:
            return call
        busy = self._store.in_flight or not self._store.is_ready
        expiry_s = min(
            (pending.arrived_s + self._limits.max_wait_s for pending in self._oldest_pending()),
            default=float("inf"),
        )
        return store_calls.Idle(min(expiry_s, self._store.wake_s() if busy else due_s))

    def handle_result(self, result: store_calls.CallResult, now_s: float, unix_s: float) -> None:
        """Process the result of the last call.

        Args:
            result: Result of the call; `ResponseLost` when a write may or may not have taken
                effect.
            now_s: Monotonic time in seconds.
            unix_s: Wall-clock time in seconds.
        """
        self._handle_events(self._store.handle_result(result, now_s, unix_s), now_s)

    def take_answers(self) -> tuple[claim_verdicts.Answer, ...]:
        """Return the answers given since the last call of this method."""
        answers = tuple(self._answers)
        self._answers.clear()
        return answers

    @property
    def key_count(self) -> int:
        """Number of keys within the retention time; a key may be counted more than once."""
        return len(self._store.log.table)

    @property
    def is_ready(self) -> bool:
        """Whether the log has been replayed."""
        return self._store.is_ready

    def _is_done(self, key: ids.RequestKey) -> bool:
        state = self._store.log.state(key)
        return state is not None and state.kind is _claim_table.KeyKind.DONE

    def _next_store_call(self, now_s: float, unix_s: float) -> store_calls.Call | None:
        call = self._store.next_call(now_s, unix_s)
        flight = self._store.in_flight
        if not call and flight and not flight.sequence and self._store.is_log_full(unix_s):
            self._handle_events(self._store.fail_in_flight(), now_s)
        return call

    def _is_free(self, key: ids.RequestKey) -> bool:
        state = self._store.log.state(key)
        return state is None or state.kind is _claim_table.KeyKind.RELEASED

    def _add_pending(
        self, request: ClaimRequest, now_s: float, awaits_refresh: bool
    ) -> _PendingRequest:
        self._last_ticket += 1
        pending = _PendingRequest(self._last_ticket, request, now_s, awaits_refresh)
        self._pending_by_ticket[pending.ticket] = pending
        return pending

    def _oldest_pending(self) -> Iterable[_PendingRequest]:
        return [next(iter(self._pending_by_ticket.values()))] if self._pending_by_ticket else []

    def _answer(self, ticket: int, verdict: claim_verdicts.Verdict) -> None:
        if self._pending_by_ticket.pop(ticket, None):
            self._answers.append(claim_verdicts.Answer(ticket, verdict))

    def _known_verdict(self, key: ids.RequestKey) -> claim_verdicts.Verdict | None:
        state = self._store.log.state(key)
        if state is None:
            return None
        if state.kind is _claim_table.KeyKind.RELEASED:
            if state.attempt >= _claim_table.ATTEMPT_LIMIT:
                return claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.TOO_MANY_ATTEMPTS)
            return None
        record = self._store.log.uncompacted_record(state)
        if record is None:
            return None
        return _verdict(record, key)

    def _batch_due_s(self) -> float:
        if len(self._unsent_claims) >= self._limits.max_batch_claims:
            return -float("inf")
        first_s = self._settlements_since_s if self._unsent_settlements else float("inf")
        if self._unsent_claims:
            first_s = min(first_s, self._unsent_claims[0].arrived_s)
        return first_s + self._limits.batch_delay_s

    def _expire_pending(self, now_s: float) -> None:
        arrival_limit_s = now_s - self._limits.max_wait_s
        expired: list[_PendingRequest] = []
        # Tickets are in order of arrival, so the first recent one ends the search.
        for pending in self._pending_by_ticket.values():
            if pending.arrived_s > arrival_limit_s:
                break
            expired.append(pending)
        if not expired:
            return
        unsent_tickets = {pending.ticket for pending in self._unsent_claims}
        for pending in expired:
            verdict: claim_verdicts.Verdict = claim_verdicts.Unresolved(
                "the claim log gave no answer in time"
            )
            # The call of a claim that was not sent has not run if the key is free; a claim that is
            # being written may still win.
            if pending.ticket in unsent_tickets and self._is_free(pending.request.key):
                verdict = claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.TIMED_OUT)
            self._answer(pending.ticket, verdict)
        expired_tickets = {pending.ticket for pending in expired}
        self._unsent_claims = collections.deque(
            pending for pending in self._unsent_claims if pending.ticket not in expired_tickets
        )

    def _close_batch(self, now_s: float, unix_s: float) -> None:
        self._store.log.table.drop_expired(unix_s)
        encoded: list[bytes] = []
        size_bytes = 0
        while (
            self._unsent_settlements
            and len(encoded) < BATCH_LIMIT_RECORDS // 2
            and size_bytes < BATCH_LIMIT_BYTES // 2
        ):
            settlement = self._unsent_settlements.popleft()
            self._sent_by_position[len(encoded)] = settlement
            encoded.append(claim_records.encode_record(settlement))
            size_bytes += len(encoded[-1])
        # Settlements that did not fit wait a full batch time again.
        self._settlements_since_s = now_s
        retried: list[_PendingRequest] = []
        batched_keys: set[ids.RequestKey] = set()
        claim_count = 0
        while (
            self._unsent_claims
            and claim_count < self._limits.max_batch_claims
            and size_bytes < BATCH_LIMIT_BYTES
        ):
            pending = self._unsent_claims.popleft()
            key = pending.request.key
            if key in batched_keys:
                # A batch holds at most one claim of a key; the others wait for its result.
                retried.append(pending)
                continue
            claim = self._claim_to_send(pending)
            if claim is None:
                continue
            batched_keys.add(key)
            claim_count += 1
            self._sent_by_position[len(encoded)] = _SentClaim(claim, pending)
            encoded.append(claim_records.encode_record(claim))
            size_bytes += len(encoded[-1])
        self._unsent_claims.extendleft(reversed(retried))
        if encoded:
            self._batch_count += 1
            batch_id = f"{self._writer}/{self._incarnation}/{self._batch_count}"
            self._store.begin(batch_id, encoded, int(unix_s))

    def _claim_to_send(self, pending: _PendingRequest) -> claim_records.Claim | None:
        request = pending.request
        state = self._store.log.state(request.key)
        attempt = ids.Attempt(1)
        if state is not None:
            if state.kind is not _claim_table.KeyKind.RELEASED:
                self._answer_from_state(pending, state)
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

    def _answer_from_state(self, pending: _PendingRequest, state: _claim_table.KeyState) -> None:
        record = self._store.log.uncompacted_record(state)
        if record is None:
            self._store.read_record(pending.ticket, pending.request.key, state)
        else:
            self._answer(pending.ticket, _verdict(record, pending.request.key))

    def _handle_events(self, events: tuple[_claim_store.Event, ...], now_s: float) -> None:
        for event in events:
            match event:
                case _claim_store.Appended(merged):
                    self._handle_appended(merged, now_s)
                case _claim_store.SlotTaken():
                    self._requeue_sent(refusal=None)
                case _claim_store.NotWritten(log_full):
                    reason = (
                        claim_verdicts.RefusalReason.LOG_FULL
                        if log_full
                        else claim_verdicts.RefusalReason.STORE_UNAVAILABLE
                    )
                    self._requeue_sent(refusal=reason)
                case _claim_store.RecordRead(ticket, record):
                    self._handle_record_read(ticket, record)
                case _claim_store.Refreshed(ticket):
                    self._answer_after_refresh(ticket)

    def _handle_record_read(self, ticket: int, record: claim_records.Record | None) -> None:
        pending = self._pending_by_ticket.get(ticket)
        if pending is None:
            return
        if record is None:
            self._answer(
                ticket,
                claim_verdicts.Unresolved("the claim log could not be read"),
            )
        else:
            self._answer(ticket, _verdict(record, pending.request.key))

    def _handle_appended(self, merged: _claim_log.MergedBatch, now_s: float) -> None:
        sent_by_position, self._sent_by_position = self._sent_by_position, {}
        retried: list[_PendingRequest] = []
        for position, sent in sent_by_position.items():
            if isinstance(sent, claim_records.Settlement):
                continue
            is_awaited = sent.pending.ticket in self._pending_by_ticket
            if merged.effective[position]:
                if is_awaited:
                    self._answer(sent.pending.ticket, claim_verdicts.Won(sent.claim))
                else:
                    # The request was answered before its claim won, so its attempt never runs.
                    abandoned = outcomes.NotRun(ABANDONED_CODE, "the claim came too late")
                    self.settle(sent.claim, abandoned, now_s)
            elif is_awaited:
                retried.append(sent.pending)
        self._unsent_claims.extendleft(reversed(retried))

    def _requeue_sent(self, refusal: claim_verdicts.RefusalReason | None) -> None:
        sent_by_position, self._sent_by_position = self._sent_by_position, {}
        settlements: list[claim_records.Settlement] = []
        pending_claims: list[_PendingRequest] = []
        for sent in sent_by_position.values():
            if isinstance(sent, claim_records.Settlement):
                settlements.append(sent)
            elif sent.pending.ticket in self._pending_by_ticket:
                pending_claims.append(sent.pending)
        self._unsent_settlements.extendleft(reversed(settlements))
        self._unsent_claims.extendleft(reversed(pending_claims))
        if refusal is None:
            return
        for pending in self._unsent_claims:
            if self._is_free(pending.request.key):
                self._answer(pending.ticket, claim_verdicts.RefusedNotRun(refusal))
            else:
                self._answer(pending.ticket, claim_verdicts.Unresolved(refusal.value))
        self._unsent_claims.clear()

    def _answer_after_refresh(self, last_ticket: int) -> None:
        awaiting_refresh = [
            pending for pending in self._pending_by_ticket.values() if pending.awaits_refresh
        ]
        for pending in awaiting_refresh:
            if pending.ticket > last_ticket:
                break
            state = self._store.log.state(pending.request.key)
            if pending.is_claim and self._is_free(pending.request.key):
                pending.awaits_refresh = False
                self._unsent_claims.append(pending)
            elif state is None:
                self._answer(pending.ticket, claim_verdicts.Unclaimed())
            else:
                self._answer_from_state(pending, state)


def new_claim_shard(
    shard: str,
    writer: ids.VmId,
    incarnation: ids.Incarnation,
    limits: claim_limits.ClaimLimits | None = None,
) -> ClaimShard:
    """Return the access of a process to a shard; the log is replayed before the first claim.

    Args:
        shard: Name from `claim_shards.shard_of`.
        writer: VM of this process.
        incarnation: Incarnation of this process; this VM must never have used it before.
        limits: Limits; the ring sizes must be the same in all processes and must never change.

    Returns:
        A shard whose log has not been read yet.
    """
    return ClaimShard(shard, writer, incarnation, limits or claim_limits.ClaimLimits())


def _verdict(record: claim_records.Record, key: ids.RequestKey) -> claim_verdicts.Verdict:
    claim = record if isinstance(record, claim_records.Claim) else record.claim
    if claim.key != key:
        # Two keys have the same 64-bit digest. Refusing the claim is safe.
        return claim_verdicts.Unresolved("two keys in the claim log have equal digests")
    if isinstance(record, claim_records.Claim):
        return claim_verdicts.AlreadyClaimed(record)
    return claim_verdicts.KnownOutcome(record.claim, record.outcome, record.body_omitted)
