"""Guards against two claims of one key both winning.

The interleavings of writers, store faults and crashes are generated at random.
"""

from __future__ import annotations

import collections
import random

import pytest
from hypothesis import settings, stateful, strategies

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
from gentianpaddle_standins import faults, object_store

LIMITS = claim_limits.ClaimLimits(
    batch_delay_s=0.0, max_batch_claims=3, ring_slots=8, segment_slots=4_096
)
DONE = outcomes.Done(b"\x00\xff done")
NOT_RUN = outcomes.NotRun("revoked", "the agent has revoked it")
RATES = (
    faults.FaultRates(),
    faults.FaultRates(stale_read=0.4),
    faults.FaultRates(failure_before_effect=0.2, lost_write_response=0.4, stale_read=0.3),
)


def request(key: str) -> claims.ClaimRequest:
    return claims.ClaimRequest(ids.RequestKey(key), ids.VmId("agent"), ids.Incarnation(1))


class Writer:
    """A process that claims, with its own clock and at most one call of the store in progress."""

    def __init__(self, name: str, incarnation: int, limits: claim_limits.ClaimLimits) -> None:
        self.shard = claims.new_claim_shard(
            "0000", ids.VmId(name), ids.Incarnation(incarnation), limits
        )
        self.name = f"{name}/{incarnation}/"
        self.call: store_calls.Call | None = None
        self.key_by_ticket: dict[int, str] = {}
        self.now_s = 0.0
        self.unix_s = 0.0

    def issue(self) -> None:
        if self.call is None:
            step = self.shard.next_call(self.now_s, self.unix_s)
            self.call = None if isinstance(step, store_calls.Idle) else step

    def finish(self, result: store_calls.CallResult) -> None:
        self.call = None
        self.shard.handle_result(result, self.now_s, self.unix_s)

    def run(self, api: object_api.ObjectApi, calls: int = 200) -> None:
        for _ in range(calls):
            self.issue()
            if self.call is None:
                return
            self.finish(store_calls.perform(self.call, api))

    def claim(self, key: str, api: object_api.ObjectApi) -> claim_verdicts.Verdict:
        verdict = self.shard.claim(request(key), self.now_s)
        if not isinstance(verdict, claim_verdicts.Pending):
            return verdict
        for _ in range(20):
            self.run(api)
            for answer in self.shard.take_answers():
                if answer.ticket == verdict.ticket:
                    return answer.verdict
            self.now_s += 0.05
        raise AssertionError("no answer")


class CheckedStore(object_store.NonBlockingObjectStore):
    """Store that decodes the log independently and checks that it is append-only."""

    def __init__(self) -> None:
        super().__init__()
        self.last_sequence = 0
        self.last_compacted = 0
        self.attempt_by_key: dict[str, int] = {}
        self.released_keys: set[str] = set()
        self.owner_by_attempt: dict[tuple[str, int], str] = {}

    def put(self, key: str, value: bytes, expected_version: int) -> object_api.PutResult:
        result = super().put(key, value, expected_version)
        if isinstance(result, object_api.Written) and "/r/" in key:
            batch = claim_records.decode_batch(value)
            assert batch.sequence == self.last_sequence + 1, "a batch was overwritten"
            assert batch.sequence - self.last_compacted <= LIMITS.ring_slots
            self.last_sequence = batch.sequence
            for record in batch.records:
                self._apply(record, batch.id)
        elif isinstance(result, object_api.Written):
            segment = claim_records.decode_segment(value)
            assert segment.first_sequence == self.last_compacted + 1
            self.last_compacted = segment.last_sequence
        return result

    def _apply(self, record: claim_records.Record, batch_id: str) -> None:
        if isinstance(record, claim_records.Claim):
            last = self.attempt_by_key.get(record.key, 0)
            if record.attempt > last and (not last or record.key in self.released_keys):
                self.attempt_by_key[record.key] = record.attempt
                self.released_keys.discard(record.key)
                self.owner_by_attempt[record.key, record.attempt] = batch_id
            return
        claim = record.claim
        releases = isinstance(record.outcome, outcomes.NotRun)
        if releases and self.attempt_by_key.get(claim.key) == claim.attempt:
            self.released_keys.add(claim.key)


class ClaimMachine(stateful.RuleBasedStateMachine):
    """Several writers claim, run and settle calls on a store with faults.

    Guards against a call that runs twice, a winner that is not in the log, and a writer that does
    not recover after faults. Writers crash, and writes whose answer was lost take effect later.
    """

    @stateful.initialize(seed=strategies.integers(0, 2**32))
    def start(self, seed: int):
        self.random = random.Random(seed)
        self.store = CheckedStore()
        self.api = faults.FaultyObjectApi(self.store, self.random, clock=lambda: 0.0)
        self.incarnation = 0
        self.claim_count = 0
        self.delayed_puts: list[store_calls.Put] = []
        self.won_attempts: set[tuple[str, int]] = set()
        self.revoked_attempts: set[tuple[str, int]] = set()
        self.run_count_by_key: collections.Counter[str] = collections.Counter()
        self.writers = [self._new_writer(index) for index in range(3)]

    def _new_writer(self, index: int) -> Writer:
        self.incarnation += 1
        return Writer(f"entry{index}", self.incarnation, LIMITS)

    @stateful.rule(rates=strategies.sampled_from(RATES), down=strategies.integers(0, 4))
    def change_faults(self, rates: faults.FaultRates, down: int):
        self.api.rates = rates
        self.api.start_outage(0.0 if down else 1.0)

    @stateful.rule(steps=strategies.sampled_from([300, 60, 10]))
    def run_random_actions(self, steps: int):
        actions = [self.claim, self.issue, self.perform, self.wait]
        actions += [self.lose_answer_before_effect, self.perform_delayed_put, self.crash]
        for _ in range(steps):
            action = self.random.choices(actions, [20, 30, 30, 12, 4, 4, 1])[0]
            action(self.random.choice(self.writers))

    def claim(self, writer: Writer) -> None:
        self.claim_count += 1
        key = self.random.choice("abc") + str(self.claim_count // 30)
        verdict = writer.shard.claim(request(key), writer.now_s)
        if isinstance(verdict, claim_verdicts.Pending):
            writer.key_by_ticket[verdict.ticket] = key
        else:
            self._check_verdict(writer, key, verdict)

    def issue(self, writer: Writer) -> None:
        writer.issue()
        self._check_answers(writer)

    def perform(self, writer: Writer) -> None:
        if writer.call:
            writer.finish(store_calls.perform(writer.call, self.api))
            self._check_answers(writer)

    def lose_answer_before_effect(self, writer: Writer) -> None:
        if isinstance(writer.call, store_calls.Put):
            self.delayed_puts.append(writer.call)
            writer.finish(object_api.ResponseLost("timed out"))

    def perform_delayed_put(self, _: Writer) -> None:
        if self.delayed_puts:
            put = self.delayed_puts.pop(0)
            self.store.put(put.key, put.value, put.expected_version)

    def crash(self, writer: Writer) -> None:
        if isinstance(writer.call, store_calls.Put):
            self.delayed_puts.append(writer.call)
        index = self.writers.index(writer)
        self.writers[index] = self._new_writer(index)

    def wait(self, writer: Writer) -> None:
        seconds = self.random.choice([0.01, 0.05, 0.05, 0.2, 2.5])
        writer.now_s += seconds
        writer.unix_s += seconds

    def _check_answers(self, writer: Writer) -> None:
        for answer in writer.shard.take_answers():
            self._check_verdict(writer, writer.key_by_ticket.pop(answer.ticket), answer.verdict)

    def _check_verdict(self, writer: Writer, key: str, verdict: claim_verdicts.Verdict) -> None:
        if isinstance(verdict, claim_verdicts.Won):
            attempt = (key, verdict.claim.attempt)
            assert verdict.claim.key == key
            assert attempt not in self.won_attempts, "two winners of one attempt"
            owner = self.store.owner_by_attempt.get(attempt, "")
            assert owner.startswith(writer.name), "a winner that is not in the log"
            self.won_attempts.add(attempt)
            if self.random.random() < 0.3:
                # The agent declines, which proves that the attempt does not run.
                self.revoked_attempts.add(attempt)
                writer.shard.settle(verdict.claim, NOT_RUN, writer.now_s)
            if attempt not in self.revoked_attempts:
                self.run_count_by_key[key] += 1
                assert self.run_count_by_key[key] == 1, "a call ran twice"
                if self.random.random() < 0.7:
                    writer.shard.settle(verdict.claim, DONE, writer.now_s)
        elif isinstance(verdict, claim_verdicts.AlreadyClaimed):
            claim = verdict.claim
            attempt = (key, claim.attempt)
            assert claim.key == key
            if attempt not in self.won_attempts or attempt in self.revoked_attempts:
                # The agent has not seen the attempt, so it is revoked there before it starts.
                self.revoked_attempts.add(attempt)
                writer.shard.settle(claim, NOT_RUN, writer.now_s)
        elif isinstance(verdict, claim_verdicts.KnownOutcome):
            assert verdict.outcome == DONE
            assert self.run_count_by_key[key] == 1

    def teardown(self):
        if not hasattr(self, "api"):
            return
        self.api.rates = faults.FaultRates()
        self.api.end_outage()
        for index, writer in enumerate(self.writers):
            for _ in range(200):
                self.perform(writer)
                writer.now_s += 0.05
                self.issue(writer)
            verdict = writer.claim(f"new{index}", self.api)
            assert isinstance(verdict, claim_verdicts.Won), "a writer does not recover"
        last = self._new_writer(0)
        for key in self.run_count_by_key:
            verdict = last.claim(key, self.api)
            assert isinstance(verdict, claim_verdicts.AlreadyClaimed | claim_verdicts.KnownOutcome)


TestClaimMachine = ClaimMachine.TestCase
TestClaimMachine.settings = settings(stateful_step_count=12)


@pytest.mark.parametrize(
    ("first", "then", "kind"),
    [
        ([DONE], [NOT_RUN], claim_verdicts.KnownOutcome),
        ([outcomes.Unknown("a", "b"), DONE], [NOT_RUN], claim_verdicts.KnownOutcome),
        ([outcomes.Unknown("a", "b"), NOT_RUN], [], claim_verdicts.Won),
        ([NOT_RUN], [DONE], claim_verdicts.Won),
    ],
)
def test_settlements_after_the_final_one_change_nothing(
    first: list[outcomes.Outcome], then: list[outcomes.Outcome], kind: type
):
    """Guards against a late settlement that frees a key whose call ran, or holds a freed one."""
    store = object_store.NonBlockingObjectStore()
    writer = Writer("a", 1, LIMITS)
    won = writer.claim("k", store)
    assert isinstance(won, claim_verdicts.Won)
    for outcome in (*first, *then):
        writer.shard.settle(won.claim, outcome, 0.0)
        writer.run(store)
    assert isinstance(Writer("b", 1, LIMITS).claim("k", store), kind)
    writer.shard.settle(won.claim, NOT_RUN, 0.0)
    writer.run(store)
    assert not isinstance(Writer("c", 1, LIMITS).claim("k", store), claim_verdicts.Won)


def test_verdicts_follow_a_key_from_claim_to_outcome():
    store = object_store.NonBlockingObjectStore()
    first, second = (Writer(name, 1, LIMITS) for name in ("a", "b"))
    won = first.claim("k", store)
    assert isinstance(won, claim_verdicts.Won)
    assert second.claim("k", store) == claim_verdicts.AlreadyClaimed(won.claim)
    first.shard.settle(won.claim, NOT_RUN, 0.0)
    first.run(store)
    again = second.claim("k", store)
    assert isinstance(again, claim_verdicts.Won)
    assert again.claim.attempt == 2
    second.shard.settle(again.claim, outcomes.Unknown("lost", "the link broke"), 0.0)
    second.run(store)
    second.shard.settle(again.claim, DONE, 0.0)
    second.run(store)
    for number in range(20):
        second.claim(f"other{number}", store)
    assert first.claim("k", store) == claim_verdicts.KnownOutcome(again.claim, DONE, False)
    late_writer = Writer("c", 1, LIMITS)
    assert late_writer.claim("k", store) == claim_verdicts.KnownOutcome(again.claim, DONE, False)


@pytest.mark.parametrize(
    ("lost", "verdict"),
    [
        (False, claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.STORE_UNAVAILABLE)),
        (True, claim_verdicts.Unresolved("the claim log gave no answer in time")),
    ],
)
def test_outage_refuses_only_claims_that_cannot_be_in_the_log(lost: bool, verdict: object):
    """Guards against "not run" for a claim whose write may still take effect."""
    store = object_store.NonBlockingObjectStore()
    writer = Writer("a", 1, LIMITS)
    writer.run(store)
    waiting = writer.shard.claim(request("k"), 0.0)
    assert isinstance(waiting, claim_verdicts.Pending)
    writer.issue()
    assert isinstance(writer.call, store_calls.Put)
    if lost:
        store_calls.perform(writer.call, store)
        writer.finish(object_api.ResponseLost("timed out"))
        writer.issue()
    writer.finish(object_api.StoreUnavailable("down"))
    writer.now_s = 5.0
    writer.issue()
    assert writer.shard.take_answers() == (claim_verdicts.Answer(waiting.ticket, verdict),)
    writer.call = None
    writer.finish(object_api.StoreUnavailable("down"))
    writer.now_s = 10.0
    writer.run(store)
    again = Writer("b", 1, LIMITS).claim("k", store)
    assert isinstance(again, claim_verdicts.Won), "a late claim of which nobody was told is freed"
    assert again.claim.attempt == (2 if lost else 1)


class StaleListStore(object_store.NonBlockingObjectStore):
    """Store whose next range reads leave out some keys, as a stale reply does."""

    hidden_text: str = ""
    stale_reply_count: int = 0

    def list_after(self, prefix: str, after_key: str, limit: int) -> object_api.ListResult:
        found = super().list_after(prefix, after_key, limit)
        if not self.stale_reply_count or isinstance(found, object_api.StoreUnavailable):
            return found
        self.stale_reply_count -= 1
        return tuple(item for item in found if self.hidden_text not in item.key)


@pytest.mark.parametrize("replies", [1, 2, 3])
@pytest.mark.parametrize("hidden", ["s/000000", "s/000001", "s/", "r/", "r/000001"])
def test_replay_detects_objects_missing_from_stale_range_reads(hidden: str, replies: int):
    store = StaleListStore()
    first = Writer("a", 1, LIMITS)
    for number in range(30):
        assert isinstance(first.claim(f"k{number}", store), claim_verdicts.Won)
    store.hidden_text, store.stale_reply_count = hidden, replies
    second = Writer("b", 1, LIMITS)
    for number in range(30):
        assert isinstance(second.claim(f"k{number}", store), claim_verdicts.AlreadyClaimed)


@pytest.mark.parametrize(
    ("limits", "reason"),
    [
        (claim_limits.ClaimLimits(max_pending=2), claim_verdicts.RefusalReason.QUEUE_FULL),
        (claim_limits.ClaimLimits(max_keys=0), claim_verdicts.RefusalReason.INDEX_FULL),
    ],
)
def test_claims_above_a_limit_are_refused(
    limits: claim_limits.ClaimLimits, reason: claim_verdicts.RefusalReason
):
    writer = Writer("a", 1, limits)
    verdicts = [writer.shard.claim(request(f"k{number}"), 0.0) for number in range(3)]
    assert verdicts[-1] == claim_verdicts.RefusedNotRun(reason)


def test_log_drops_keys_after_the_retention_time_and_not_before():
    limits = claim_limits.ClaimLimits(
        batch_delay_s=0.0, ring_slots=4, segment_slots=12, retention_s=86_400.0
    )
    store = object_store.NonBlockingObjectStore()
    writer = Writer("a", 1, limits)
    verdicts = []
    for hour in range(100):
        writer.unix_s = writer.now_s = hour * 3_600.0
        verdicts.append(writer.claim(f"k{hour}", store))
        late_writer = Writer("b", hour, limits)
        late_writer.unix_s = late_writer.now_s = writer.now_s
        for recent_hour in range(max(0, hour - 23), hour + 1, 4):
            assert isinstance(
                late_writer.claim(f"k{recent_hour}", store), claim_verdicts.AlreadyClaimed
            )
    assert all(isinstance(verdict, claim_verdicts.Won) for verdict in verdicts)
    objects = store.list_after("claims/", "", 999)
    assert isinstance(objects, tuple)
    assert len(objects) <= 4 + 12
    assert writer.shard.key_count < 60
    assert isinstance(writer.claim("k1", store), claim_verdicts.Won)


def test_full_log_refuses_claims_and_keeps_earlier_ones():
    limits = claim_limits.ClaimLimits(batch_delay_s=0.0, ring_slots=4, segment_slots=2)
    store = object_store.NonBlockingObjectStore()
    writer = Writer("a", 1, limits)
    verdicts = [writer.claim(f"k{number}", store) for number in range(30)]
    full = claim_verdicts.RefusedNotRun(claim_verdicts.RefusalReason.LOG_FULL)
    won = sum(isinstance(verdict, claim_verdicts.Won) for verdict in verdicts)
    assert verdicts[won:] == [full] * (30 - won)
    late_writer = Writer("b", 1, limits)
    for number in range(won):
        assert isinstance(late_writer.claim(f"k{number}", store), claim_verdicts.AlreadyClaimed)


@pytest.mark.parametrize(
    "outcome",
    [
        DONE,
        outcomes.Done(bytes(range(256)) * 90),
        NOT_RUN,
        outcomes.Unknown("a", "b"),
        outcomes.Refused("a", "b", 422),
    ],
)
def test_records_are_equal_after_encoding_and_decoding(outcome: outcomes.Outcome):
    claim = claim_records.Claim(
        ids.RequestKey('k"\n,é'), ids.Attempt(3), ids.VmId("e"), ids.VmId("a"), ids.Incarnation(9)
    )
    settlement = claim_records.new_settlement(claim, outcome)
    encoded = [claim_records.encode_record(claim), claim_records.encode_record(settlement)]
    batch = claim_records.decode_batch(claim_records.encode_batch("id", 4, 5, encoded))
    assert batch.records == (claim, settlement)
    is_large = isinstance(outcome, outcomes.Done) and len(outcome.body) > 20_000
    assert settlement.body_omitted == is_large


def test_departing_writer_moves_only_its_own_shards():
    entries = [ids.VmId(f"e{number}") for number in range(8)]
    shards = {claim_shards.shard_of(ids.RequestKey(f"k{n}"), 64) for n in range(2_000)}
    assert len(shards) == 64
    before = {shard: claim_shards.preferred_writer(shard, entries) for shard in shards}
    after = {shard: claim_shards.preferred_writer(shard, entries[1:]) for shard in shards}
    assert {s for s in shards if before[s] != after[s]} == {
        s for s in shards if before[s] == entries[0]
    }
    assert set(before.values()) == set(entries)
